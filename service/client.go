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

// Headers exchanged with services.
const (
	// AttemptHeader carries the attempt; an endpoint may echo it.
	AttemptHeader = "Springweir-Attempt"
	// NotRunHeader, set to true with an echoed attempt, guarantees that the
	// endpoint has not started the call and will not.
	NotRunHeader = "Springweir-Not-Run"
	// LeavingHeader, set to true in any response, reports that the endpoint is
	// shutting down.
	LeavingHeader = "Springweir-Leaving"
	// IdempotencyKeyHeader is forwarded to the endpoint unchanged.
	IdempotencyKeyHeader = "Idempotency-Key"
)

const headerTrue = "true"

// Options configures a Client. Zero values select the defaults.
type Options struct {
	// Address is the endpoint's host:port; host is an IP address.
	Address string
	// Dial opens connections; nil selects TCP.
	Dial httponce.DialFunc
	// ConnectTimeout bounds a dial; the default is 1 s.
	ConnectTimeout time.Duration
	// HeaderTimeout bounds the wait for a response's headers; the default is 60 s.
	HeaderTimeout time.Duration
	// KeepAlive and MaxIdle bound the idle connections kept for read-only
	// calls; the defaults are 30 s and 16.
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

// Client implements Endpoint over HTTP. Calls that may change state use a dedicated
// connection each: a pooled one may be closing, which leaves it unknown whether the
// call ran, whereas a failed dial proves that it did not. Read-only calls share
// pooled connections.
type Client struct {
	address   string
	dedicated *http.Transport
	pooled    *http.Transport
}

var _ Endpoint = (*Client)(nil)

// NewClient returns a client of one endpoint. It connects on first use.
func NewClient(o Options) *Client {
	limits := httponce.TransportOptions{
		Dial:           o.Dial,
		ConnectTimeout: orDefault(o.ConnectTimeout, defaultConnectTimeout),
		HeaderTimeout:  orDefault(o.HeaderTimeout, defaultHeaderTimeout),
	}
	dedicated := httponce.NewTransport(limits)
	limits.KeepAlive = orDefault(o.KeepAlive, defaultKeepAlive)
	limits.MaxIdle = orDefault(o.MaxIdle, defaultMaxIdle)
	return &Client{
		address:   o.Address,
		dedicated: dedicated,
		pooled:    httponce.NewTransport(limits),
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.pooled.CloseIdleConnections() }

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
	if err := checkResponse(resp.Response, call); err != nil {
		resp.Abort()
		return nil, err
	}
	return &Response{
		Attempt: resp.Header.Get(AttemptHeader),
		Status:  resp.StatusCode,
		Header:  resp.Header,
		Leaving: resp.Header.Get(LeavingHeader) == headerTrue,
		Body:    &responseBody{ReadCloser: resp.Body},
	}, nil
}

// transport selects pooled connections for read-only calls without an idempotency
// key, dedicated ones for all others.
func (c *Client) transport(call Call) *http.Transport {
	if call.Header.Get(IdempotencyKeyHeader) != "" {
		return c.dedicated
	}
	switch call.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return c.pooled
	}
	return c.dedicated
}

func (c *Client) request(ctx context.Context, call Call) (*http.Request, error) {
	// Without the slash, the path could extend the host part of the URL.
	if !strings.HasPrefix(call.Path, "/") {
		return nil, requestFailure(failure.BadRequest, failure.NotRun, "path must begin with /", nil)
	}
	url := "http://" + c.address + call.Path
	req, err := http.NewRequestWithContext(ctx, call.Method, url, bytes.NewReader(call.Body))
	if err != nil {
		return nil, requestFailure(failure.BadRequest, failure.NotRun, "call cannot be built", err)
	}
	if call.Header != nil {
		req.Header = call.Header.Clone()
	}
	removeHopByHopHeaders(req.Header)
	req.Header.Set(AttemptHeader, call.Attempt)
	return req, nil
}

// removeHopByHopHeaders removes the hop-by-hop headers (RFC 9110, section 7.6.1).
func removeHopByHopHeaders(h http.Header) {
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// checkResponse rejects responses to another attempt and responses whose
// completeness cannot be verified, and converts the endpoint's refusal into an error.
func checkResponse(resp *http.Response, call Call) error {
	echoed := resp.Header.Get(AttemptHeader)
	if echoed != "" && echoed != call.Attempt {
		cause := &ResponseError{Code: failure.AnswerMismatch, Detail: fmt.Sprintf("attempt %q", echoed)}
		return requestFailure(failure.AnswerMismatch, failure.Unknown, "answer belongs to another attempt", cause)
	}
	if resp.Header.Get(NotRunHeader) == headerTrue && echoed != "" {
		f := requestFailure(failure.EndpointRefused, failure.NotRun, "endpoint refused", nil)
		if resp.Header.Get(LeavingHeader) == headerTrue {
			f.Cause = &LeavingError{}
		}
		f.RetryAfter = retryAfter(resp.Header)
		return f
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		cause := &ResponseError{Code: failure.AnswerTruncated, Detail: "neither Content-Length nor chunked encoding"}
		return requestFailure(failure.AnswerTruncated, failure.Unknown, "answer cannot be proved whole", cause)
	}
	removeHopByHopHeaders(resp.Header)
	return nil
}

// retryAfter returns the Retry-After header given in seconds, or zero.
func retryAfter(h http.Header) time.Duration {
	n, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || n < 0 {
		return 0
	}
	return time.Duration(n) * time.Second
}

// responseBody converts read errors, so that a truncated response differs from a
// complete one.
type responseBody struct{ io.ReadCloser }

// Read implements io.Reader. It fails with *failure.Request.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == nil || errors.Is(err, io.EOF) {
		return n, err
	}
	return n, requestFailure(failure.AnswerTruncated, failure.Unknown, "answer broke off", err)
}

// LeavingError is the cause of a refusal by an endpoint that is shutting down.
type LeavingError struct{}

// Error implements error.
func (*LeavingError) Error() string { return "endpoint is leaving" }

// Reason implements failure.Coded.
func (*LeavingError) Reason() failure.Reason { return failure.EndpointLeaving }

// ResponseError reports a response that cannot be forwarded.
type ResponseError struct {
	Code   failure.Reason
	Detail string
}

// Error implements error.
func (e *ResponseError) Error() string { return "response has " + e.Detail }

// Reason implements failure.Coded.
func (e *ResponseError) Reason() failure.Reason { return e.Code }

func sendFailure(ctx context.Context, err error) error {
	var e *httponce.Error
	if !errors.As(err, &e) {
		return requestFailure(failure.Internal, failure.Unknown, "service call failed", err)
	}
	code, message := e.Reason(), "endpoint did not answer"
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		code, message = failure.DeadlinePassed, "call was given up"
	case ctx.Err() != nil:
		code, message = failure.CallerGone, "call was given up"
	}
	return requestFailure(code, e.Outcome(), message, err)
}

func requestFailure(code failure.Reason, ran failure.Outcome, message string, cause error) *failure.Request {
	return &failure.Request{Code: code, Ran: ran, Message: message, Cause: cause}
}
