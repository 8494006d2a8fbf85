// Package peer is the system's view of its own entries: the calls between the
// entries of a zone, and from the zone's acting controller to them.
//
// Client makes the calls, Server answers them, and Exchanger keeps an entry in
// contact with its zone.
package peer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/springweir/springweir/contact"
	"github.com/springweir/springweir/peer/entrypb"
	"github.com/springweir/springweir/peer/share"
	"github.com/springweir/springweir/rollout"
	"github.com/springweir/springweir/withhold"
)

// Bounds of a call.
const (
	// callTimeout bounds a call; one that carries over longBody bytes of
	// configuration gets configTimeout.
	callTimeout = time.Second
	// askTimeout bounds a call that only asks, and is made again soon: two that
	// hang must not use up contact.Lapse.
	askTimeout    = 500 * time.Millisecond
	configTimeout = 5 * time.Second
	longBody      = 64 << 10
	dialTimeout   = 500 * time.Millisecond
	idleTimeout   = 90 * time.Second
	// maxConns bounds the connections to one peer.
	maxConns = 4
	// maxMessage bounds a request in bytes.
	maxMessage = rollout.MaxText + 1<<20
)

// Client calls entries. It is safe for concurrent use, never repeats a call by
// itself, and bounds its time. Errors are *CallError.
type Client struct {
	member *contact.Member
	book   *share.ReportStore
	ack    func() *entrypb.Ack
	http   entrypb.HTTPClient

	// mu guards stubs. It is a leaf.
	mu    sync.Mutex
	stubs map[string]entrypb.Entry
}

// maxStubs bounds the stubs kept; past it they are made anew.
const maxStubs = 1000

// NewClient returns a client for an entry, whose exchanges tell what it holds.
func NewClient(server *Server, transport http.RoundTripper) *Client {
	c := NewControllerClient(transport)
	c.member, c.book, c.ack = server.member, server.book, server.ack
	return c
}

// NewControllerClient returns a client for a process that does not exchange.
func NewControllerClient(transport http.RoundTripper) *Client {
	return &Client{http: newOnceClient(transport), stubs: map[string]entrypb.Entry{}}
}

// NewTransport returns the transport for calls between the system's processes.
func NewTransport() *http.Transport {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: idleTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxConnsPerHost:     maxConns,
		MaxIdleConnsPerHost: maxConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true, // bodies that gain from it are compressed already
	}
}

// onceClient sends each request at most once: without GetBody the standard
// transport cannot repeat one whose connection died.
type onceClient struct{ http.Client }

func newOnceClient(transport http.RoundTripper) *onceClient {
	return &onceClient{http.Client{
		Transport: transport,
		// A redirect would send the call a second time.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Do implements the HTTPClient of the generated code.
func (c *onceClient) Do(req *http.Request) (*http.Response, error) {
	req.GetBody = nil
	// Headers that the other side does not need; they would be a fifth of an
	// exchange.
	req.Header.Set("User-Agent", "")
	req.Header.Del("Accept")
	req.Header.Del("Twirp-Version")
	return c.Client.Do(req)
}

func (c *Client) stub(address string) entrypb.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s, ok := c.stubs[address]; ok {
		return s
	}
	if len(c.stubs) >= maxStubs {
		clear(c.stubs)
	}
	s := entrypb.NewEntryProtobufClient("http://"+address, c.http)
	c.stubs[address] = s
	return s
}

// call makes one bounded call and types its error.
func call[Req, Resp any](ctx context.Context, vm contact.VM, timeout time.Duration, method func(context.Context, Req) (Resp, error), req Req) (Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	calls.Inc()
	resp, err := method(ctx, req)
	if err != nil {
		callFailures.Inc()
		return resp, &CallError{VM: vm.Name, Address: vm.Address, Cause: err}
	}
	return resp, nil
}

// Probe implements contact.Peers and rollout.Pusher.
func (c *Client) Probe(ctx context.Context, vm contact.VM) (contact.Ack, error) {
	a, err := call(ctx, vm, askTimeout, c.stub(vm.Address).ConfigVersion, &entrypb.ConfigVersionRequest{})
	return ackFrom(a), err
}

// Shun implements contact.Peers.
func (c *Client) PushRoster(ctx context.Context, vm contact.VM, r contact.Roster) (contact.Ack, error) {
	a, err := call(ctx, vm, callTimeout, c.stub(vm.Address).Shun, &entrypb.ShunRequest{Roster: r.Encode()})
	return ackFrom(a), err
}

// ApplyConfig implements rollout.Pusher. A VM that takes longer puts the document
// in force all the same, and says so when it is asked again.
func (c *Client) ApplyConfig(ctx context.Context, vm contact.VM, u rollout.Update) (contact.Ack, error) {
	timeout := askTimeout
	if len(u.Body) > longBody {
		timeout = configTimeout
	}
	a, err := call(ctx, vm, timeout, c.stub(vm.Address).ApplyConfig, updateTo(u))
	return ackFrom(a), err
}

// FetchConfig implements rollout.Peers.
func (c *Client) FetchConfig(ctx context.Context, vm contact.VM, have rollout.Version) (rollout.Update, error) {
	u, err := call(ctx, vm, configTimeout, c.stub(vm.Address).FetchConfig, &entrypb.FetchConfigRequest{Have: uint64(have)})
	if err != nil {
		return rollout.Update{}, err
	}
	return updateFrom(u), nil
}

// Exchange implements rollout.Peers. It also takes in the load reports that
// the peer holds and this entry lacks.
func (c *Client) Exchange(ctx context.Context, vm contact.VM) (rollout.ExchangeResponse, error) {
	mine := c.member.Roster()
	req := &entrypb.ExchangeRequest{From: c.member.Name(), Holds: c.ack(), Seen: c.book.VersionVector(mine)}
	req.Holds.Roster = mine.Revision // Seen goes by it
	resp, err := call(ctx, vm, askTimeout, c.stub(vm.Address).Exchange, req)
	if err != nil {
		return rollout.ExchangeResponse{}, err
	}
	roster, err := contact.Decode(resp.Roster)
	if err != nil {
		return rollout.ExchangeResponse{}, err
	}
	labels := mine
	if roster.Revision > mine.Revision {
		labels = roster
	}
	if labels.Revision == resp.Holds.GetRoster() {
		c.book.Merge(labels, resp.Batches)
	}
	return rollout.ExchangeResponse{
		Ack: ackFrom(resp.Holds), Confirmed: resp.Vouched, Serving: resp.Serving, Roster: roster,
	}, nil
}

// Withhold implements withhold.Peers.
func (c *Client) Withhold(ctx context.Context, vm contact.VM, endpoint string, epoch uint64) (withhold.EntryState, error) {
	req := &entrypb.WithholdRequest{Endpoint: endpoint, Epoch: epoch}
	resp, err := call(ctx, vm, callTimeout, c.stub(vm.Address).Withhold, req)
	return answerFrom(resp), err
}

// Restore implements withhold.Peers.
func (c *Client) Restore(ctx context.Context, vm contact.VM, endpoint string, epoch uint64) (withhold.EntryState, error) {
	req := &entrypb.WithholdRequest{Endpoint: endpoint, Epoch: epoch}
	resp, err := call(ctx, vm, callTimeout, c.stub(vm.Address).Restore, req)
	return answerFrom(resp), err
}

// NoteLeaving tells the VM that an endpoint said it is leaving.
func (c *Client) NoteLeaving(ctx context.Context, vm contact.VM, endpoint, incarnation string) error {
	req := &entrypb.LeavingNotice{Endpoint: endpoint, Incarnation: incarnation}
	_, err := call(ctx, vm, callTimeout, c.stub(vm.Address).NoteLeaving, req)
	return err
}
