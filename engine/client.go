package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/internal/httponce"
)

// Options configures a Client. Zero values select the defaults.
type Options struct {
	// Address is the engine's host:port; host is an IP address.
	Address string
	// Dial opens connections; nil selects TCP.
	Dial httponce.DialFunc
	// ConnectTimeout bounds a dial; the default is 1 s.
	ConnectTimeout time.Duration
	// CallTimeout bounds the wait for a response's headers, and the entire
	// call if it is not a stream; the default is 2 s.
	CallTimeout time.Duration
	// IdleTimeout bounds the time between two lines of a stream; the default
	// is 5 s. Engines send an empty line each second while a request waits.
	IdleTimeout time.Duration
	// KeepAlive is how long an idle connection stays open; the default is 30 s.
	KeepAlive time.Duration
	// MaxIdle is the maximum number of idle connections; the default is 16.
	MaxIdle int
	// MaxFrame is the maximum size of a frame in bytes; the default is 1 MiB.
	MaxFrame int
}

const (
	defaultConnectTimeout = time.Second
	defaultCallTimeout    = 2 * time.Second
	defaultIdleTimeout    = 5 * time.Second
	defaultKeepAlive      = 30 * time.Second
	defaultMaxIdle        = 16
	defaultMaxFrame       = 1 << 20
	// maxResponseBytes bounds the body of a State or CacheEvents,
	// maxRefusalBytes that of a Refusal or an OrderState.
	maxResponseBytes = 16 << 20
	maxRefusalBytes  = 64 << 10
	// maxOrderResponse bounds the response to an order with its head.
	maxOrderResponse = 64<<10 + maxRefusalBytes
	// maxQuotedBytes bounds the part of a body quoted in a StatusError.
	maxQuotedBytes = 200
)

func (o Options) withDefaults() Options {
	o.ConnectTimeout = orDefault(o.ConnectTimeout, defaultConnectTimeout)
	o.CallTimeout = orDefault(o.CallTimeout, defaultCallTimeout)
	o.IdleTimeout = orDefault(o.IdleTimeout, defaultIdleTimeout)
	o.KeepAlive = orDefault(o.KeepAlive, defaultKeepAlive)
	o.MaxIdle = orDefault(o.MaxIdle, defaultMaxIdle)
	o.MaxFrame = orDefault(o.MaxFrame, defaultMaxFrame)
	return o
}

func orDefault[T int | time.Duration](v, d T) T {
	if v == 0 {
		return d
	}
	return v
}

// Client implements Engine over HTTP/JSON. It is safe for concurrent use.
type Client struct {
	opts Options
	http *http.Transport
}

var _ Engine = (*Client)(nil)

// NewClient returns a client of one engine. It connects on first use.
func NewClient(o Options) *Client {
	o = o.withDefaults()
	t := httponce.NewTransport(httponce.TransportOptions{
		Dial:           o.Dial,
		ConnectTimeout: o.ConnectTimeout,
		HeaderTimeout:  o.CallTimeout,
		KeepAlive:      o.KeepAlive,
		MaxIdle:        o.MaxIdle,
	})
	return &Client{opts: o, http: t}
}

// Close closes the idle connections. Open streams are unaffected.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func (c *Client) url(path string) string { return "http://" + c.opts.Address + path }

// Generate implements Engine. The stream ends when ctx is done.
func (c *Client) Generate(ctx context.Context, req GenerateRequest) (Stream, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return nil, requestFailure(failure.BadRequest, failure.NotRun, "request cannot be encoded", err)
	}
	callerDone := ctx.Done()
	ctx, cancel := context.WithCancelCause(ctx)
	resp, err := c.post(ctx, GeneratePath, body)
	if err != nil {
		defer cancel(nil)
		return nil, sendFailure(ctx, err)
	}
	if resp.StatusCode != http.StatusOK {
		defer cancel(nil)
		defer resp.Body.Close()
		return nil, generateRefusal(resp, req.Attempt)
	}
	if got := resp.Header.Get(AttemptHeader); got != req.Attempt {
		defer cancel(nil)
		resp.Abort()
		return nil, mismatchError("response is for attempt " + strconv.Quote(got))
	}
	s := newStream(ctx, cancel, resp, req, c.opts)
	s.callerDone = callerDone
	return s, nil
}

func (c *Client) post(ctx context.Context, path string, body []byte) (*httponce.Response, error) {
	hr, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(path), bytes.NewReader(body))
	if err != nil {
		return nil, &httponce.Error{Cause: err}
	}
	hr.Header.Set("Content-Type", "application/json")
	return httponce.Send(c.http, hr)
}

// generateRefusal converts a non-200 response into an error. The outcome is
// NotRun only if a complete refusal that echoes this attempt reports it.
func generateRefusal(resp *httponce.Response, attempt string) error {
	r, err := readRefusal(resp.Response)
	if err != nil {
		return requestFailure(failure.EndpointFailed, failure.Unknown, "engine failed", err)
	}
	if r.Attempt != attempt {
		resp.Abort()
		return mismatchError("refusal is for attempt " + strconv.Quote(r.Attempt))
	}
	ran := failure.Unknown
	if r.NotRun {
		ran = failure.NotRun
	}
	f := requestFailure(r.Reason, ran, "engine refused", &RefusedError{Code: r.Reason, Message: r.Message})
	f.RetryAfter = time.Duration(r.RetryAfterMillis) * time.Millisecond
	return f
}

// readRefusal decodes a Refusal. It fails with *StatusError if the body is not a
// complete one.
func readRefusal(resp *http.Response) (Refusal, error) {
	var r Refusal
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxRefusalBytes))
	if err == nil {
		err = json.Unmarshal(body, &r)
	}
	if err != nil || r.Reason == "" {
		quoted := string(body[:min(len(body), maxQuotedBytes)])
		return r, &StatusError{Status: resp.StatusCode, Body: quoted}
	}
	return r, nil
}

// Cancel implements Engine.
func (c *Client) Cancel(ctx context.Context, attempt string) error {
	body, err := json.Marshal(CancelRequest{Attempt: attempt})
	if err != nil {
		return &UnreachableError{Cause: err}
	}
	ctx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
	defer cancel()
	resp, err := c.post(ctx, CancelPath, body)
	return decodeResponse(resp, err, nil)
}

// State implements Engine. It fails with *UnreachableError.
func (c *Client) State(ctx context.Context) (State, error) {
	var s State
	err := c.get(ctx, StatePath, &s)
	return s, err
}

// Events implements Engine. It fails with *UnreachableError.
func (c *Client) Events(ctx context.Context, since uint64) (CacheEvents, error) {
	var e CacheEvents
	err := c.get(ctx, EventsPath+"?"+SinceParam+"="+strconv.FormatUint(since, 10), &e)
	return e, err
}

func (c *Client) get(ctx context.Context, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
	defer cancel()
	hr, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(path), nil)
	if err != nil {
		return &UnreachableError{Cause: err}
	}
	resp, err := httponce.Send(c.http, hr)
	return decodeResponse(resp, err, into)
}

// decodeResponse reads a call's response and decodes its body into the value, or
// discards it if into is nil.
func decodeResponse(resp *httponce.Response, err error, into any) error {
	if err != nil {
		return &UnreachableError{Sent: maybeSent(err), Cause: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		_, err = readRefusal(resp.Response)
		if err == nil {
			err = &StatusError{Status: resp.StatusCode}
		}
		return &UnreachableError{Sent: true, Cause: err}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err == nil && into != nil {
		err = json.Unmarshal(body, into)
	}
	if err != nil {
		return &UnreachableError{Sent: true, Cause: err}
	}
	return nil
}

// maybeSent reports whether any byte of the request may have been sent. Errors
// other than *httponce.Error count as sent.
func maybeSent(err error) bool {
	var e *httponce.Error
	return !errors.As(err, &e) || e.Sent
}

// sendFailure returns the error of a Generate call that received no response.
func sendFailure(ctx context.Context, err error) error {
	var e *httponce.Error
	if !errors.As(err, &e) {
		return requestFailure(failure.Internal, failure.Unknown, "engine call failed", err)
	}
	code, message := e.Reason(), "engine did not answer"
	if reason := contextReason(ctx); reason != "" {
		code, message = reason, "call was given up"
	}
	return requestFailure(code, e.Outcome(), message, err)
}

// contextReason returns the reason why ctx ended, or "" if it has not.
func contextReason(ctx context.Context) failure.Reason {
	switch {
	case ctx.Err() == nil:
		return ""
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return failure.DeadlinePassed
	default:
		return failure.CallerGone
	}
}

func requestFailure(code failure.Reason, ran failure.Outcome, message string, cause error) *failure.Request {
	return &failure.Request{Code: code, Ran: ran, Message: message, Cause: cause}
}

func mismatchError(detail string) error {
	cause := &FrameError{Code: failure.AnswerMismatch, Detail: detail}
	return requestFailure(failure.AnswerMismatch, failure.Unknown, "answer belongs to another attempt", cause)
}
