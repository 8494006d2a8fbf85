// Package peer implements the protocol between the system's own processes: the calls
// between the entries of a zone, and from the zone's acting controller to its entries.
//
// Client makes the calls, Server serves them, and Exchanger keeps an entry in contact with
// its zone.
package peer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/springweir/springweir/contact"
	"github.com/springweir/springweir/internal/h1"
	"github.com/springweir/springweir/peer/entrypb"
	"github.com/springweir/springweir/peer/share"
	"github.com/springweir/springweir/rollout"
	"github.com/springweir/springweir/withhold"
)

// Bounds of a call.
const (
	// callTimeout bounds a call. Calls that transfer more than largeConfigBytes of
	// configuration get configTimeout.
	callTimeout = time.Second
	// queryTimeout bounds a call that is repeated soon: two calls that hang must not use up
	// contact.Lapse.
	queryTimeout     = 500 * time.Millisecond
	configTimeout    = 5 * time.Second
	largeConfigBytes = 64 << 10
	dialTimeout      = 500 * time.Millisecond
	idleTimeout      = 90 * time.Second
	// maxConns bounds the number of connections to one peer.
	maxConns = 4
	// maxMessage bounds the size of a request and of a response, in bytes, and maxHeadBytes the head of a response.
	maxMessage   = rollout.MaxText + 1<<20
	maxHeadBytes = 64 << 10
)

// Client calls entries. It is safe for concurrent use, never retries a call, and bounds the
// duration of each. Errors are *CallError.
type Client struct {
	member  *contact.Member
	reports *share.ReportStore
	ack     func() *entrypb.Ack
	http    entrypb.HTTPClient

	// mu guards stubs. It is a leaf lock.
	mu    sync.Mutex
	stubs map[string]entrypb.Entry
}

// maxStubs bounds the number of cached stubs. When it is reached the cache is cleared.
const maxStubs = 1000

// NewClient returns the client of an entry. Its exchanges report the entry's state.
func NewClient(server *Server, transport http.RoundTripper) *Client {
	c := NewControllerClient(transport)
	c.member, c.reports, c.ack = server.member, server.reports, server.ack
	return c
}

// NewControllerClient returns a client for a process that does not exchange reports.
func NewControllerClient(transport http.RoundTripper) *Client {
	return &Client{http: newOnceClient(transport), stubs: map[string]entrypb.Entry{}}
}

// NewTransport returns a transport for calls between the system's processes.
func NewTransport() *http.Transport {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: idleTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxConnsPerHost:     maxConns,
		MaxIdleConnsPerHost: maxConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true, // large bodies are already compressed

		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

// onceClient sends each request at most once: without GetBody the standard transport cannot
// retry a request whose connection failed.
type onceClient struct{ http.Client }

func newOnceClient(transport http.RoundTripper) *onceClient {
	return &onceClient{*h1.LimitBodies(&http.Client{
		Transport: transport,
		// A followed redirect would send the call twice.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}, maxMessage)}
}

// Do implements the HTTPClient of the generated code.
func (c *onceClient) Do(req *http.Request) (*http.Response, error) {
	req.GetBody = nil
	// The receiver does not use these headers, which would be a fifth of an exchange's
	// bytes.
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

// call makes one call with a timeout and wraps its error.
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
	a, err := call(ctx, vm, queryTimeout, c.stub(vm.Address).ConfigVersion, &entrypb.ConfigVersionRequest{})
	return ackFrom(a), err
}

// PushRoster implements contact.Peers.
func (c *Client) PushRoster(ctx context.Context, vm contact.VM, r contact.Roster) (contact.Ack, error) {
	a, err := call(ctx, vm, callTimeout, c.stub(vm.Address).Shun, &entrypb.ShunRequest{Roster: r.Encode()})
	return ackFrom(a), err
}

// ApplyConfig implements rollout.Pusher. A VM that takes longer than the timeout still
// applies the document, and reports this when it is probed.
func (c *Client) ApplyConfig(ctx context.Context, vm contact.VM, u rollout.Update) (contact.Ack, error) {
	timeout := queryTimeout
	if len(u.Body) > largeConfigBytes {
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

// Exchange implements rollout.Peers. It also merges the load reports that the peer has and
// this entry lacks.
func (c *Client) Exchange(ctx context.Context, vm contact.VM) (rollout.ExchangeResponse, error) {
	localRoster := c.member.Roster()
	req := &entrypb.ExchangeRequest{From: c.member.Name(), Holds: c.ack(), Seen: c.reports.VersionVector(localRoster)}
	req.Holds.Roster = localRoster.Revision // the roster by which Seen is indexed
	resp, err := call(ctx, vm, queryTimeout, c.stub(vm.Address).Exchange, req)
	if err != nil {
		return rollout.ExchangeResponse{}, err
	}
	roster, err := contact.Decode(resp.Roster)
	if err != nil {
		return rollout.ExchangeResponse{}, err
	}
	indexRoster := localRoster
	if roster.Revision > localRoster.Revision {
		indexRoster = roster
	}
	if indexRoster.Revision == resp.Holds.GetRoster() {
		c.reports.Merge(indexRoster, resp.Batches)
	}
	return rollout.ExchangeResponse{
		Ack: ackFrom(resp.Holds), Confirmed: resp.Vouched, Serving: resp.Serving, Roster: roster,
	}, nil
}

// Withhold implements withhold.Peers.
func (c *Client) Withhold(ctx context.Context, vm contact.VM, endpoint string, epoch uint64) (withhold.EntryState, error) {
	req := &entrypb.WithholdRequest{Endpoint: endpoint, Epoch: epoch}
	resp, err := call(ctx, vm, callTimeout, c.stub(vm.Address).Withhold, req)
	return entryStateFrom(resp), err
}

// Restore implements withhold.Peers.
func (c *Client) Restore(ctx context.Context, vm contact.VM, endpoint string, epoch uint64) (withhold.EntryState, error) {
	req := &entrypb.WithholdRequest{Endpoint: endpoint, Epoch: epoch}
	resp, err := call(ctx, vm, callTimeout, c.stub(vm.Address).Restore, req)
	return entryStateFrom(resp), err
}

// NoteLeaving informs the VM that an endpoint reported that it is leaving.
func (c *Client) NoteLeaving(ctx context.Context, vm contact.VM, endpoint, incarnation string) error {
	req := &entrypb.LeavingNotice{Endpoint: endpoint, Incarnation: incarnation}
	_, err := call(ctx, vm, callTimeout, c.stub(vm.Address).NoteLeaving, req)
	return err
}
