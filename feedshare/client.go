package feedshare

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/springweir/springweir/feedshare/feedpb"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/internal/network"
	"github.com/springweir/springweir/table"
)

// Peers asks other VMs for tables. Its errors are *NotReaderError, *BehindError,
// *UnreachableError and, from Changes, *table.HistoryGoneError.
type Peers interface {
	List(ctx context.Context, address, name string) ([]table.Row, table.Version, error)
	Changes(ctx context.Context, address, name string, after table.Version, wait time.Duration) ([]table.Change, table.Version, error)
}

// idlePeers is how long a connection to another VM is kept unused.
const idlePeers = 10 * time.Second

// Client asks other VMs over their connections. It implements Peers and is safe for
// concurrent use.
type Client struct {
	http *http.Client

	// mu guards byAddress. It is a leaf.
	mu        sync.Mutex
	byAddress map[string]feedpb.Feed
}

var _ Peers = (*Client)(nil)

// NewClient returns a client of all VMs.
func NewClient(n network.Network) *Client {
	transport := &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, connectTimeout)
			defer cancel()
			return n.Connect(ctx, address)
		},
		IdleConnTimeout: idlePeers,
	}
	return &Client{http: &http.Client{Transport: transport}, byAddress: map[string]feedpb.Feed{}}
}

func (c *Client) of(address string) feedpb.Feed {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.byAddress[address]
	if f == nil {
		f = feedpb.NewFeedProtobufClient("http://"+address, c.http)
		c.byAddress[address] = f
	}
	return f
}

// List implements Peers.
func (c *Client) List(ctx context.Context, address, name string) ([]table.Row, table.Version, error) {
	answer, err := c.of(address).List(ctx, &feedpb.ListRequest{Table: name})
	if err != nil {
		return nil, 0, fromTwirp(address, name, 0, err)
	}
	rows := make([]table.Row, len(answer.Rows))
	for i, row := range answer.Rows {
		rows[i] = fromPB(name, row)
	}
	return rows, table.Version(answer.Version), nil
}

// Changes implements Peers.
func (c *Client) Changes(ctx context.Context, address, name string, after table.Version, wait time.Duration) ([]table.Change, table.Version, error) {
	answer, err := c.of(address).Changes(ctx, &feedpb.ChangesRequest{
		Table: name, After: uint64(after), WaitMs: uint32(wait.Milliseconds()),
	})
	if err != nil {
		return nil, 0, fromTwirp(address, name, after, err)
	}
	now := clock.Now()
	changes := make([]table.Change, len(answer.Changes))
	for i, change := range answer.Changes {
		changes[i] = table.Change{Row: fromPB(name, change.Row), Deleted: change.Deleted}
		if change.AgeMs > 0 {
			changes[i].NotBefore = now.Add(-time.Duration(change.AgeMs) * time.Millisecond)
		}
	}
	return changes, table.Version(answer.Version), nil
}

func fromPB(name string, row *feedpb.Row) table.Row {
	r := table.Row{Key: table.Key{Table: name, Row: row.GetKey()}, Version: table.Version(row.GetVersion())}
	if row != nil && len(row.Value) > 0 {
		r.Value = row.Value
	}
	return r
}

// fromTwirp gives the error that a code of feed.proto stands for. Whatever else went
// wrong, there was no answer.
func fromTwirp(address, name string, after table.Version, err error) error {
	var coded twirp.Error
	if errors.As(err, &coded) {
		switch coded.Code() {
		case twirp.FailedPrecondition:
			return &NotReaderError{Table: name}
		case twirp.OutOfRange:
			return &table.HistoryGoneError{Table: name, After: after}
		case twirp.Aborted:
			return &BehindError{Local: after}
		}
	}
	return &UnreachableError{Address: address, Cause: err}
}
