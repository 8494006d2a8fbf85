package usage

import (
	"context"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/springweir/springweir/duties/usage/usagepb"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/internal/h1"
	"github.com/springweir/springweir/internal/network"
)

const (
	// readTimeout bounds one read from a replica. A replica that does not respond is read again if
	// the window is incomplete without it.
	readTimeout = 400 * time.Millisecond
	// idleConnTimeout is how long an unused connection to a replica is kept open: longer than a
	// window.
	idleConnTimeout = 30 * time.Second
)

// Accounts are the accounts of one window held by one VM.
type Accounts = []*usagepb.Account

// server serves the local ledger to other VMs. It implements usagepb.Ledger.
type server struct{ ledger *Ledger }

// Handler returns the HTTP handler that serves a ledger to other VMs below PathPrefix.
func Handler(l *Ledger) http.Handler { return usagepb.NewLedgerServer(&server{l}) }

// PathPrefix is the path prefix of Handler.
const PathPrefix = usagepb.LedgerPathPrefix

// Read implements usagepb.Ledger.
func (s *server) Read(_ context.Context, r *usagepb.ReadRequest) (*usagepb.ReadResponse, error) {
	return &usagepb.ReadResponse{Accounts: s.ledger.Read(Window(r.Window))}, nil
}

// Client reads accounts from other VMs. It implements Replicas.
type Client struct {
	http *http.Client
	// addresses returns the addresses of the replicas.
	addresses func() []string
}

var _ Replicas = (*Client)(nil)

// NewClient returns a client of the replicas at addresses (host:port). The result of addresses may
// change over time.
func NewClient(n network.Network, addresses func() []string) *Client {
	return &Client{http: h1.LimitBodies(n.HTTPClient(0, idleConnTimeout), h1.MaxFailureBody), addresses: addresses}
}

// Read implements Replicas. It queries all replicas concurrently.
func (c *Client) Read(ctx context.Context, w Window) []Accounts {
	ctx, cancel := clock.WithTimeout(ctx, readTimeout)
	defer cancel()
	addresses := c.addresses()
	responses := make([]Accounts, len(addresses))
	var queries sync.WaitGroup
	for i, address := range addresses {
		queries.Go(func() {
			response, err := usagepb.NewLedgerProtobufClient("http://"+address, c.http).Read(ctx, &usagepb.ReadRequest{Window: uint64(w)})
			if err != nil {
				replicasUnread.Inc()
				klog.InfoS("usage: reading accounts from VM failed", "vm", address, "window", w, "err", err)
				return
			}
			responses[i] = response.Accounts
		})
	}
	queries.Wait()
	return responses
}
