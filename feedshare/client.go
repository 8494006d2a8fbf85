package feedshare

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/springweir/springweir/feedshare/feedpb"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/internal/h1"
	"github.com/springweir/springweir/internal/network"
	"github.com/springweir/springweir/internal/watchdog"
	"github.com/springweir/springweir/table"
)

// Peers reads tables from other VMs. Its errors are *NotReaderError, *BehindError,
// *UnreachableError, from List *NotReadYetError and, from Changes, *table.HistoryGoneError.
type Peers interface {
	List(ctx context.Context, address, name string) ([]table.Row, table.Version, error)
	Changes(ctx context.Context, address, name string, after table.Version, wait time.Duration) ([]table.Change, table.Version, error)
	// CloseIdle closes the connections that no query uses.
	CloseIdle()
}

// peerIdleTimeout is how long an unused connection to another VM is kept open.
const peerIdleTimeout = 10 * time.Second

// maxTableBytes bounds a response of another VM, which holds a table or its changes, in bytes.
const maxTableBytes = 16 << 20

// Client reads tables from other VMs over HTTP. It implements Peers and is safe for concurrent
// use.
type Client struct {
	http *http.Client

	// mu guards byAddress. It is a leaf lock.
	mu        sync.Mutex
	byAddress map[string]feedpb.Feed
}

var _ Peers = (*Client)(nil)

// NewClient returns a client for all VMs that are reachable over n.
func NewClient(n network.Network) *Client {
	client := h1.LimitBodies(n.HTTPClient(connectTimeout, peerIdleTimeout), maxTableBytes)
	client.Transport = &progressTransport{client.Transport}
	return &Client{http: client, byAddress: map[string]feedpb.Feed{}}
}

func (c *Client) feed(address string) feedpb.Feed {
	c.mu.Lock()
	defer c.mu.Unlock()
	feed := c.byAddress[address]
	if feed == nil {
		feed = feedpb.NewFeedProtobufClient("http://"+address, c.http)
		c.byAddress[address] = feed
	}
	return feed
}

// List implements Peers.
func (c *Client) List(ctx context.Context, address, name string) ([]table.Row, table.Version, error) {
	ctx, dog := watchdog.New(ctx, listTimeout)
	defer dog.Stop()
	ctx = withProgress(ctx, func() { dog.Reset(listTimeout) })
	response, err := c.feed(address).List(ctx, &feedpb.ListRequest{Table: name})
	if err != nil {
		return nil, 0, errorFromTwirp(address, name, 0, err)
	}
	return rowsFromProto(name, response.Rows), table.Version(response.Version), nil
}

// Changes implements Peers.
func (c *Client) Changes(ctx context.Context, address, name string, after table.Version, wait time.Duration) ([]table.Change, table.Version, error) {
	response, err := c.feed(address).Changes(ctx, &feedpb.ChangesRequest{
		Table: name, After: uint64(after), WaitMs: uint32(wait.Milliseconds()),
	})
	if err != nil {
		return nil, 0, errorFromTwirp(address, name, after, err)
	}
	now := clock.Now()
	changes := make([]table.Change, len(response.Changes))
	for i, change := range response.Changes {
		changes[i] = table.Change{Row: rowFromProto(name, change.Row), Deleted: change.Deleted}
		if change.AgeMs > 0 {
			changes[i].NotBefore = now.Add(-time.Duration(change.AgeMs) * time.Millisecond)
		}
	}
	return changes, table.Version(response.Version), nil
}

// CloseIdle implements Peers.
func (c *Client) CloseIdle() { c.http.CloseIdleConnections() }

func rowsFromProto(name string, encoded []*feedpb.Row) []table.Row {
	rows := make([]table.Row, len(encoded))
	for i, row := range encoded {
		rows[i] = rowFromProto(name, row)
	}
	return rows
}

func rowFromProto(name string, row *feedpb.Row) table.Row {
	r := table.Row{Key: table.Key{Table: name, Row: row.GetKey()}, Version: table.Version(row.GetVersion())}
	if row != nil && len(row.Value) > 0 {
		r.Value = row.Value
	}
	return r
}

// errorFromTwirp converts a twirp error code as documented in feed.proto into an error of this
// package. Every other failure is an *UnreachableError.
func errorFromTwirp(address, name string, after table.Version, err error) error {
	var twirpErr twirp.Error
	if errors.As(err, &twirpErr) {
		switch twirpErr.Code() {
		case twirp.FailedPrecondition:
			return &NotReaderError{Table: name}
		case twirp.Unavailable:
			return &NotReadYetError{Table: name}
		case twirp.OutOfRange:
			return &table.HistoryGoneError{Table: name, After: after}
		case twirp.Aborted:
			return &BehindError{Local: after}
		}
	}
	return &UnreachableError{Address: address, Cause: err}
}
