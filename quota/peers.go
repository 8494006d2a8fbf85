package quota

import (
	"context"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/internal/h1"
	"github.com/springweir/springweir/internal/network"
	"github.com/springweir/springweir/quota/quotapb"
)

// Peers asks other VMs, by their addresses, for parts of limits. The errors are of any type; each
// means that it is unknown whether the VM has done what was asked.
type Peers interface {
	Reserve(ctx context.Context, address, organisation string, cost float64) (wait time.Duration, err error)
	Refund(ctx context.Context, address, organisation string, cost float64) error
}

const (
	// askTimeout bounds a question to a granter. It is several round trips between regions.
	askTimeout = 200 * time.Millisecond
	// idleTimeout is how long an unused connection to a granter is kept open.
	idleTimeout = 30 * time.Second
)

// Client implements Peers over HTTP. It is safe for concurrent use.
type Client struct{ http *http.Client }

var _ Peers = (*Client)(nil)

// NewClient returns a client for all VMs that are reachable over n.
func NewClient(n network.Network) *Client {
	return &Client{http: h1.LimitBodies(n.HTTPClient(askTimeout, idleTimeout), h1.MaxFailureBody)}
}

// Reserve implements Peers.
func (c *Client) Reserve(ctx context.Context, address, organisation string, cost float64) (time.Duration, error) {
	ctx, cancel := clock.WithTimeout(ctx, askTimeout)
	defer cancel()
	response, err := c.granter(address).Reserve(ctx, &quotapb.ReserveRequest{Organisation: organisation, Cost: cost})
	if err != nil {
		return 0, err
	}
	return time.Duration(response.WaitMs) * time.Millisecond, nil
}

// Refund implements Peers.
func (c *Client) Refund(ctx context.Context, address, organisation string, cost float64) error {
	ctx, cancel := clock.WithTimeout(ctx, askTimeout)
	defer cancel()
	_, err := c.granter(address).Refund(ctx, &quotapb.RefundRequest{Organisation: organisation, Cost: cost})
	return err
}

func (c *Client) granter(address string) quotapb.Quota {
	return quotapb.NewQuotaProtobufClient("http://"+address, c.http)
}

// server serves a Granter to other VMs. It implements quotapb.Quota.
type server struct{ granter *Granter }

// PathPrefix is the path prefix of Limiter.Handler.
const PathPrefix = quotapb.QuotaPathPrefix

// Handler returns the HTTP handler by which other VMs ask this one, below PathPrefix.
func (l *Limiter) Handler() http.Handler { return quotapb.NewQuotaServer(&server{l.granter}) }

// Reserve implements quotapb.Quota.
func (s *server) Reserve(_ context.Context, r *quotapb.ReserveRequest) (*quotapb.ReserveResponse, error) {
	wait, err := s.granter.reserve(r.Organisation, r.Cost)
	if err != nil {
		return nil, twirp.NotFoundError(err.Error())
	}
	return &quotapb.ReserveResponse{WaitMs: uint32((wait + time.Millisecond - 1) / time.Millisecond)}, nil
}

// Refund implements quotapb.Quota.
func (s *server) Refund(_ context.Context, r *quotapb.RefundRequest) (*quotapb.RefundResponse, error) {
	if err := s.granter.refund(r.Organisation, r.Cost); err != nil {
		return nil, twirp.NotFoundError(err.Error())
	}
	return &quotapb.RefundResponse{}, nil
}
