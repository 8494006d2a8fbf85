package gateway

import (
	"time"

	"github.com/springweir/springweir/loadshare"
	"github.com/springweir/springweir/origin"
)

// takeUpMargin is how long after the break of a stream its caller may take it up, including the time in
// which an endpoint that is no longer registered may still be sent requests.
const takeUpMargin = 10 * time.Second

// newOrigins returns the tracker of the software that began each stream.
func (g *Gateway) newOrigins() *origin.Tracker {
	return origin.New(origin.Config{
		Window:  func() time.Duration { return time.Duration(g.state.longestStream.Load()) + takeUpMargin },
		Publish: func(records ...loadshare.StreamRecord) { g.exchange.PublishStreams(records...) },
		Peers:   func() ([]loadshare.Peer, int) { return g.exchange.StreamKeepers() },
		Asker:   origin.NewClient(g.network),
	})
}
