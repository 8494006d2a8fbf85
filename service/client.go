package service

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/internal/httponce"
)

// Headers between springweir and services.
const (
	// AttemptHeader carries the attempt; an endpoint may echo it.
	AttemptHeader = "Springweir-Attempt"
	// NotRunHeader, set to true beside an echoed attempt, is the endpoint's
	// word that it has not started the call and will not.
	NotRunHeader = "Springweir-Not-Run"
	// LeavingHeader, set to true in any answer, tells that the endpoint leaves.
	LeavingHeader = "Springweir-Leaving"
	// IdempotencyKeyHeader is passed on to the endpoint as the caller gave it.
	IdempotencyKeyHeader = "Idempotency-Key"
)

const headerTrue = "true"

// Options are the limits of a Client. Zero values take the defaults.
type Options struct {
	// Address is the endpoint's host:port, by IP number.
	Address string
	// Dial opens connections; nil dials TCP.
	Dial httponce.DialFunc
	// ConnectTimeout bounds a dial; the default is 1 s.
	ConnectTimeout time.Duration
	// HeaderTimeout bounds the wait for an answer's head; the default is 60 s.
	HeaderTimeout time.Duration
	// KeepAlive and MaxIdle bound the unused connections kept for calls that
	// only read; the defaults are 30 s and 16.
	KeepAlive time.Duration
	MaxIdle   int
}

const (
	defaultConnectTimeout = time.Second
	defaultHeaderTimeout  = time.Minute
	defaultKeepAlive      = 30 * time.Second
	defaultMaxIdle        = 16
)

func orDefault[T int | time.Duration](v, d T) T {
	if v == 0 {
		return d
	}
	return v
}

// Client is an Endpoint over HTTP. Calls that may change something go over a
// connection of their own: a kept one may be dying, and then nobody knows
// whether the call ran, whereas a connection that can't be opened proves that it
// did not. Calls that only read share kept connections.
type Client struct {
	address string
	single  *http.Transport
	kept    *http.Transport
}

var _ Endpoint = (*Client)(nil)

// NewClient returns a client of one endpoint. It connects when first used.
func NewClient(o Options) *Client {
	limits := httponce.TransportOptions{
		Dial:           o.Dial,
		ConnectTimeout: orDefault(o.ConnectTimeout, defaultConnectTimeout),
		HeaderTimeout:  orDefault(o.HeaderTimeout, defaultHeaderTimeout),
	}
	single := httponce.NewTransport(limits)
	limits.KeepAlive = orDefault(o.KeepAlive, defaultKeepAlive)
	limits.MaxIdle = orDefault(o.MaxIdle, defaultMaxIdle)
	return &Client{
		address: o.Address,
		single:  single,
		kept:    httponce.NewTransport(limits),
	}
}

// Close closes the unused connections.
func (c *Client) Close() { c.kept.CloseIdleConnections() }

// Do implements Endpoint.
func (c *Client) Do(ctx context.Context, call Call) (*Response, error) {
	req, err := c.request(ctx, call)
	if err != nil {
		return nil, err
	}
	resp, err := httponce.Send(c.transport(call), req)
	if err != nil {
		return nil, sendFailure(ctx, err)
	}
	if err := check(resp.Response, call); err != nil {
		resp.Abort()
		return nil, err
	}
	return &Response{
		Attempt: resp.Header.Get(AttemptHeader),
		Status:  resp.StatusCode,
		Header:  resp.Header,
		Leaving: resp.Header.Get(LeavingHeader) == headerTrue,
		Body:    &body{ReadCloser: resp.Body},
	}, nil
}

func (c *Client) transport(call Call) *http.Transport {
	if call.Header.Get(IdempotencyKeyHeader) != "" {
		return c.single
	}
	switch call.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return c.kept
	}
	return c.single
}

func (c *Client) request(ctx context.Context, call Call) (*http.Request, error) {
	// Without the slash the path could name another host.
	if !strings.HasPrefix(call.Path, "/") {
		return nil, failed(failure.BadRequest, failure.NotRun, "path must begin with /", nil)
	}
	url := "http://" + c.address + call.Path
	req, err := http.NewRequestWithContext(ctx, call.Method, url, bytes.NewReader(call.Body))
	if err != nil {
		return nil, failed(failure.BadRequest, failure.NotRun, "call cannot be built", err)
	}
	if call.Header != nil {
		req.Header = call.Header.Clone()
	}
	removeHopHeaders(req.Header)
	req.Header.Set(AttemptHeader, call.Attempt)
	return req, nil
}

// removeHopHeaders removes the headers that concern one connection only
// (RFC 9110, section 7.6.1).
func removeHopHeaders(h http.Header) {
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// check refuses answers that are not this call's or cannot be proved whole, and
// turns the endpoint's own refusal into a failure.
func check(resp *http.Response, call Call) error {
	echoed := resp.Header.Get(AttemptHeader)
	if echoed != "" && echoed != call.Attempt {
		cause := &ResponseError{Code: failure.AnswerMismatch, Detail: fmt.Sprintf("attempt %q", echoed)}
		return failed(failure.AnswerMismatch, failure.Unknown, "answer belongs to another attempt", cause)
	}
	if resp.Header.Get(NotRunHeader) == headerTrue && echoed != "" {
		f := failed(failure.EndpointRefused, failure.NotRun, "endpoint refused", nil)
		if resp.Header.Get(LeavingHeader) == headerTrue {
			f.Cause = &LeavingError{}
		}
		f.RetryAfter = retryAfter(resp.Header)
		return f
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		cause := &ResponseError{Code: failure.AnswerTruncated, Detail: "neither length nor chunks"}
		return failed(failure.AnswerTruncated, failure.Unknown, "answer cannot be proved whole", cause)
	}
	removeHopHeaders(resp.Header)
	return nil
}

func retryAfter(h http.Header) time.Duration {
	n, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || n < 0 {
		return 0
	}
	return time.Duration(n) * time.Second
}

// body tells a broken answer from a whole one.
type body struct{ io.ReadCloser }

// Read implements io.Reader. It fails with *failure.Request.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == nil || errors.Is(err, io.EOF) {
		return n, err
	}
	return n, failed(failure.AnswerTruncated, failure.Unknown, "answer broke off", err)
}

// LeavingError is the cause of a refusal whose endpoint said that it leaves.
type LeavingError struct{}

// Error implements error.
func (*LeavingError) Error() string { return "endpoint is leaving" }

// Reason implements failure.Coded.
func (*LeavingError) Reason() failure.Reason { return failure.EndpointLeaving }

// ResponseError is an answer that cannot be passed on.
type ResponseError struct {
	Code   failure.Reason
	Detail string
}

// Error implements error.
func (e *ResponseError) Error() string { return "answer has " + e.Detail }

// Reason implements failure.Coded.
func (e *ResponseError) Reason() failure.Reason { return e.Code }

func sendFailure(ctx context.Context, err error) error {
	var e *httponce.Error
	if !errors.As(err, &e) {
		return failed(failure.Internal, failure.Unknown, "service call failed", err)
	}
	code, message := e.Reason(), "endpoint did not answer"
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		code, message = failure.DeadlinePassed, "call was given up"
	case ctx.Err() != nil:
		code, message = failure.CallerGone, "call was given up"
	}
	return failed(code, e.Outcome(), message, err)
}

func failed(code failure.Reason, ran failure.Outcome, message string, cause error) *failure.Request {
	return &failure.Request{Code: code, Ran: ran, Message: message, Cause: cause}
}
