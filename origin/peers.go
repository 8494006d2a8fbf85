package origin

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/springweir/springweir/internal/h1"
	"github.com/springweir/springweir/internal/network"
	"github.com/springweir/springweir/origin/originpb"
)

// Asker asks other VMs, by their addresses, about a stream. An error of any type means that the VM gave no
// answer.
type Asker interface {
	Find(ctx context.Context, address string, stream uint64, service string) (Answer, error)
}

const (
	// askTimeout bounds the question to other VMs. It is several round trips between regions.
	askTimeout = 200 * time.Millisecond
	// idleTimeout is how long an unused connection to another VM is kept open.
	idleTimeout = 30 * time.Second
)

// Client implements Asker over HTTP. It is safe for concurrent use.
type Client struct{ http *http.Client }

var _ Asker = (*Client)(nil)

// NewClient returns a client for all VMs that are reachable over n.
func NewClient(n network.Network) *Client {
	return &Client{http: h1.LimitBodies(n.HTTPClient(askTimeout, idleTimeout), h1.MaxFailureBody)}
}

// Find implements Asker.
func (c *Client) Find(ctx context.Context, address string, stream uint64, service string) (Answer, error) {
	peer := originpb.NewOriginsProtobufClient("http://"+address, c.http)
	r, err := peer.Find(ctx, &originpb.FindRequest{Stream: stream, Service: service})
	var coded twirp.Error
	switch {
	case errors.As(err, &coded) && coded.Code() == twirp.BadRoute:
		return Answer{}, nil // an older build knows nothing, but shows that this VM is not cut off
	case err != nil:
		return Answer{}, err
	}
	return Answer{Software: r.Software, Age: time.Duration(r.AgeMs) * time.Millisecond, Versions: r.Versions, Covered: r.Covered, Current: r.Current}, nil
}

// server serves a Tracker to other VMs. It implements originpb.Origins.
type server struct{ tracker *Tracker }

// PathPrefix is the path prefix of Tracker.Handler.
const PathPrefix = originpb.OriginsPathPrefix

// Handler returns the HTTP handler by which other VMs ask this one, below PathPrefix.
func (t *Tracker) Handler() http.Handler { return originpb.NewOriginsServer(&server{t}) }

// Find implements originpb.Origins.
func (s *server) Find(_ context.Context, r *originpb.FindRequest) (*originpb.FindResponse, error) {
	a := s.tracker.answer(r.Stream, r.Service)
	return &originpb.FindResponse{Software: a.Software, AgeMs: uint32(a.Age.Milliseconds()), Versions: a.Versions, Covered: a.Covered, Current: a.Current}, nil
}
