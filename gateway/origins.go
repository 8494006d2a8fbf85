package gateway

import (
	"time"

	"github.com/springweir/springweir/loadshare"
	"github.com/springweir/springweir/origin"
)

// takeUpMargin is how long after the break of a stream its caller may take it up, including the time in
// which an endpoint that is no longer registered may still be sent requests.
const takeUpMargin = 10 * time.Second

// registerSpread is the time for each VM over which the VMs spread their writes of a new software version. maxRegisterSpread
// limits the total.
const (
	registerSpread    = 4 * time.Millisecond
	maxRegisterSpread = time.Second
)

// newOrigins returns the tracker of the software that began each stream.
func (g *Gateway) newOrigins() *origin.Tracker {
	return origin.New(origin.Config{
		Window:  g.takeUpWindow,
		Publish: func(records ...loadshare.StreamRecord) { g.exchange.PublishStreams(records...) },
		Peers:   func() ([]loadshare.Peer, int) { return g.exchange.StreamKeepers() },
		Asker:   origin.NewClient(g.network),
		Rows:    g.platform.Rows, Epoch: g.platform.Epoch,
		WriteSpread: func() time.Duration {
			return min(maxRegisterSpread, time.Duration(len(g.roster.Others()))*registerSpread)
		},
	})
}

// takeUpWindow returns for how long records of streams are kept, or zero before the configuration is known.
func (g *Gateway) takeUpWindow() time.Duration {
	if g.state.config.Load() == nil {
		return 0
	}
	return time.Duration(g.state.longestStream.Load()) + takeUpMargin
}
