package usage

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/springweir/springweir/duties/usage/usagepb"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/internal/network"
)

const (
	// readTimeout bounds a question to a keeper. One that does not answer is asked again, if
	// something is missing without it.
	readTimeout = 400 * time.Millisecond
	// idleKeepers is how long a connection to a keeper is kept unused: longer than a window.
	idleKeepers = 30 * time.Second
)

// Accounts are those of one window that one VM holds.
type Accounts = []*usagepb.Account

// server answers other VMs from the ledger of this one. It implements usagepb.Ledger.
type server struct{ ledger *Ledger }

// Handler serves a ledger to the other VMs, below PathPrefix.
func Handler(l *Ledger) http.Handler { return usagepb.NewLedgerServer(&server{l}) }

// PathPrefix is where Handler serves.
const PathPrefix = usagepb.LedgerPathPrefix

// Read implements usagepb.Ledger.
func (s *server) Read(_ context.Context, r *usagepb.ReadRequest) (*usagepb.ReadResponse, error) {
	return &usagepb.ReadResponse{Accounts: s.ledger.Read(Window(r.Window))}, nil
}

// Client reads the accounts of other VMs. It implements Replicas.
type Client struct {
	http *http.Client
	// addresses returns where the keepers take questions.
	addresses func() []string
}

var _ Replicas = (*Client)(nil)

// NewClient returns a client of the keepers at addresses (host:port), which may change.
func NewClient(n network.Network, addresses func() []string) *Client {
	transport := &http.Transport{
		DialContext:     func(ctx context.Context, _, address string) (net.Conn, error) { return n.Connect(ctx, address) },
		IdleConnTimeout: idleKeepers,
	}
	return &Client{http: &http.Client{Transport: transport}, addresses: addresses}
}

// Read implements Replicas. All are asked at once.
func (c *Client) Read(ctx context.Context, w Window) []Accounts {
	ctx, cancel := clock.WithTimeout(ctx, readTimeout)
	defer cancel()
	addresses := c.addresses()
	answers := make([]Accounts, len(addresses))
	var asked sync.WaitGroup
	for i, address := range addresses {
		asked.Go(func() {
			answer, err := usagepb.NewLedgerProtobufClient("http://"+address, c.http).Read(ctx, &usagepb.ReadRequest{Window: uint64(w)})
			if err != nil {
				unread.Inc()
				klog.InfoS("usage: VM gave no accounts", "vm", address, "window", w, "err", err)
				return
			}
			answers[i] = answer.Accounts
		})
	}
	asked.Wait()
	return answers
}
