package hop

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"net/http"
	"slices"

	"github.com/springweir/springweir/caller/wire"
	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/internal/h1"
)

// Peer is another VM.
type Peer struct {
	Name string
	// Address is the host:port at which it serves other VMs.
	Address string
}

// Client hands requests to other VMs. It never retries. It is safe for concurrent use.
type Client struct {
	self  string
	pools *h1.Pools
}

// NewClient returns a client of the VM named self. The options apply to the connections to other VMs.
func NewClient(self string, o h1.Options) *Client {
	return &Client{self: self, pools: h1.NewPools(o)}
}

// Retain closes the idle connections to addresses that are not in the list, and those idle for too
// long.
func (c *Client) Retain(addresses []string) {
	c.pools.Retain(func(address string) bool { return slices.Contains(addresses, address) })
}

// Do sends out to vm, which passes it to e, and returns the endpoint's response. Both the fields of
// out and the response are as with h1.Pool.Do on a connection to the endpoint, except that
// out.BeforeWrite is called once there is a connection to vm, and that a response that out.Accept
// rejects ends the exchange. The request is sent at most once.
//
// The error is *Error if vm reported a failure, otherwise *h1.Error, whose cause is an
// *ExchangeError or the error of out.BeforeWrite.
func (c *Client) Do(ctx context.Context, vm Peer, e *directory.Endpoint, out *h1.Request) (*h1.Response, error) {
	response, err := c.exchange(ctx, vm, e, out, nil)
	if err != nil {
		return nil, err
	}
	if out.Accept != nil && !out.Accept(response.Status, response.Header) {
		response.Close()
		return nil, strayResponse(vm, response.Status)
	}
	return response, nil
}

// Connect asks vm to open a connection to e. The errors are those of Do.
func (c *Client) Connect(ctx context.Context, vm Peer, e *directory.Endpoint) error {
	return c.ask(ctx, vm, e, "1")
}

// Ready asks vm whether it would pass on a request to e. It opens no connection to e. The errors are those of Do, but
// no request was sent whatever they say.
func (c *Client) Ready(ctx context.Context, vm Peer, e *directory.Endpoint) error {
	return c.ask(ctx, vm, e, wire.ConnectNotNow)
}

// Check asks vm whether e responds to it. The errors are those of Do.
func (c *Client) Check(ctx context.Context, vm Peer, e *directory.Endpoint) error {
	return c.ask(ctx, vm, e, wire.ConnectAndAsk)
}

func (c *Client) ask(ctx context.Context, vm Peer, e *directory.Endpoint, connect string) error {
	out := &h1.Request{Method: http.MethodGet, Target: wire.PathConnect, Host: vm.Address, Header: http.Header{}}
	response, err := c.exchange(ctx, vm, e, out, http.Header{wire.HeaderConnect: {connect}})
	if err != nil {
		return err
	}
	defer response.Close()
	if response.Status != http.StatusNoContent {
		return &h1.Error{Sent: true, Cause: &ExchangeError{VM: vm.Name, Cause: &StatusError{Status: response.Status}}}
	}
	return nil
}

// exchange sends out to vm with the headers for e and extra, and returns the response without the
// headers of springweir and of the connection.
func (c *Client) exchange(ctx context.Context, vm Peer, e *directory.Endpoint, out *h1.Request, extra http.Header) (*h1.Response, error) {
	attempt := rand.Text()
	sent := *out
	sent.Accept = func(_ int, h http.Header) bool { return mayAnswer(h, attempt) }
	withdrawn := false
	sent.BeforeWrite = func(r *h1.Request) error {
		if out.BeforeWrite != nil {
			if err := out.BeforeWrite(r); err != nil {
				withdrawn = true
				return err
			}
		}
		r.Header = c.header(ctx, r.Header, e, attempt, extra)
		return nil
	}
	response, err := c.pools.Get(vm.Address).Do(ctx, &sent)
	if err != nil {
		if withdrawn {
			return nil, err
		}
		return nil, exchangeFailure(vm, err)
	}
	return checkResponse(vm, response, attempt)
}

// header returns the headers of a request to another VM, given those of the request to the endpoint.
func (c *Client) header(ctx context.Context, from http.Header, e *directory.Endpoint, attempt string, extra http.Header) http.Header {
	h := http.Header{}
	if from != nil {
		h = from.Clone()
	}
	removeConnectionHeaders(h)
	removeOwnHeaders(h)
	SetHeaders(ctx, h, c.self, attempt)
	h.Set(wire.HeaderEndpoint, e.ID)
	h.Set(wire.HeaderIncarnation, e.Incarnation())
	for name, values := range extra {
		h[name] = values
	}
	return h
}

// mayAnswer reports whether a response may belong to an attempt. One without an attempt is no
// Server's, and the only one to be expected.
func mayAnswer(h http.Header, attempt string) bool {
	return EchoesAttempt(h, "") || EchoesAttempt(h, attempt)
}

// checkResponse returns the endpoint's response, or the error if it belongs to another attempt or
// reports a failure.
func checkResponse(vm Peer, response *h1.Response, attempt string) (*h1.Response, error) {
	if !EchoesAttempt(response.Header, attempt) {
		response.Close()
		return nil, strayResponse(vm, response.Status)
	}
	if ReportsFailure(response.Header) {
		defer response.Close()
		return nil, readError(vm, response)
	}
	response.UntilClose = response.Header.Get(wire.HeaderUntilClose) != ""
	removeOwnHeaders(response.Header)
	removeConnectionHeaders(response.Header)
	return response, nil
}

// readError returns the failure that vm reported.
func readError(vm Peer, response *h1.Response) *Error {
	body, err := response.ReadAll(maxErrorBody)
	if err != nil {
		return &Error{VM: vm.Name, Code: failure.EndpointBroke, Outcome: failure.Unknown, Cause: err}
	}
	failed, err := ReadFailure(response.Header, bytes.NewReader(body))
	if err != nil {
		return &Error{VM: vm.Name, Code: failure.EndpointBroke, Outcome: failure.Unknown, Cause: err}
	}
	reported := newError(vm.Name, failed)
	reported.Impaired = response.Header.Get(wire.HeaderImpaired) != ""
	return reported
}

func strayResponse(vm Peer, status int) *h1.Error {
	return &h1.Error{Sent: true, Cause: &ExchangeError{VM: vm.Name, Cause: &h1.StrayResponseError{Status: status}}}
}

// exchangeFailure returns the error of a failed exchange with vm.
func exchangeFailure(vm Peer, err error) *h1.Error {
	var exchange *h1.Error
	if !errors.As(err, &exchange) {
		return &h1.Error{Sent: true, Cause: &ExchangeError{VM: vm.Name, Cause: err}}
	}
	return &h1.Error{Sent: exchange.Sent, Reused: exchange.Reused, Cause: &ExchangeError{VM: vm.Name, Cause: exchange.Cause}}
}
