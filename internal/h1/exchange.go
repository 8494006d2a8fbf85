package h1

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Request is an HTTP request. Header must not contain Host or any field that frames the
// message, such as Content-Length or Transfer-Encoding; Do adds Host and Content-Length.
type Request struct {
	Method string
	// Target is the request target, written unchanged on the request line.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody makes Do send Content-Length: 0 for an empty body.
	HasBody bool
	// MaxIdle bounds the idle time of a reused connection. Zero uses the pool's MaxIdleTime;
	// NewConnection prevents reuse.
	MaxIdle time.Duration
	// BeforeWrite, if set, is called after a connection was acquired and before the first byte
	// is written, since dialling may have taken long. It may change the request. If it returns
	// an error, nothing is written, the connection returns to the pool, and Do returns *Error
	// with that cause.
	BeforeWrite func(*Request) error
	// Accept reports whether a response head belongs to this request. Up to maxStrayResponses
	// others are discarded. Nil accepts any response.
	Accept func(status int, h http.Header) bool
	// ServerEnded, if not nil, reports whether the server has ended. It is called at the end of a response that only the end
	// of its connection ends.
	ServerEnded func() bool
}

// NewConnection as a Request's MaxIdle forces a new connection.
const NewConnection time.Duration = -1

// exchange is one request and its response on one connection.
type exchange struct {
	pool        *Pool
	conn        *conn
	stop        func() bool
	writeDone   chan error
	serverEnded func() bool
	once        sync.Once
}

// pastDeadline is a deadline that fails all reads and writes immediately.
var pastDeadline = time.Unix(1, 0)

// Do sends a request at most once and reads the head of the response. The exchange,
// including reads of the body, is aborted when ctx ends. The error is *Error.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	c, reused, err := p.acquire(ctx, r.MaxIdle)
	if err != nil {
		return nil, &Error{Cause: err}
	}
	if err := r.beforeWrite(); err != nil {
		p.putUnused(c)
		return nil, &Error{Reused: reused, Cause: err}
	}
	ex := &exchange{pool: p, conn: c, serverEnded: r.ServerEnded}
	ex.stop = context.AfterFunc(ctx, func() { _ = c.SetDeadline(pastDeadline) })
	if err := ex.write(r); err != nil {
		ex.abort()
		var unwritten *unwrittenError
		return nil, &Error{Sent: !errors.As(err, &unwritten), Reused: reused, Cause: contextCause(ctx, err)}
	}
	resp, err := ex.readResponse(r)
	if err != nil {
		ex.abort()
		if reused && timedOut(ctx, err) {
			p.DropIdle()
		}
		return nil, &Error{Sent: true, Reused: reused, Cause: contextCause(ctx, err)}
	}
	return resp, nil
}

func (r *Request) beforeWrite() error {
	if r.BeforeWrite == nil {
		return nil
	}
	return r.BeforeWrite(r)
}

// timedOut reports whether an exchange failed because of a timeout rather than because
// its context was cancelled.
func timedOut(ctx context.Context, err error) bool {
	if ctx.Err() != nil {
		return !errors.Is(context.Cause(ctx), context.Canceled)
	}
	return errors.Is(err, unix.ETIMEDOUT)
}

// contextCause returns the cause of ctx if ctx has ended, otherwise err.
func contextCause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

func (p *Pool) acquire(ctx context.Context, maxIdle time.Duration) (c *conn, reused bool, err error) {
	if ctx.Err() != nil {
		return nil, false, context.Cause(ctx)
	}
	if maxIdle == 0 {
		maxIdle = p.opts.MaxIdleTime
	}
	if maxIdle > 0 {
		if c := p.takeIdle(maxIdle); c != nil {
			return c, true, nil
		}
	}
	c, err = p.dial(ctx)
	return c, false, err
}

// write sends the head and a short body. A longer body is sent in the background while
// the response is read, since a server may respond before it has read the body.
func (ex *exchange) write(r *Request) error {
	head := appendHead(nil, r)
	if len(r.Body) <= maxInlineBody {
		return ex.writeAll(append(head, r.Body...))
	}
	if err := ex.writeAll(head); err != nil {
		return err
	}
	ex.writeDone = make(chan error, 1)
	go func() {
		_, err := ex.conn.Write(r.Body)
		ex.writeDone <- err
	}()
	return nil
}

// maxInlineBody is the size in bytes up to which a body is written in one call with the head.
const maxInlineBody = 2 << 10

func (ex *exchange) writeAll(b []byte) error {
	n, err := ex.conn.Write(b)
	if err != nil && n == 0 {
		return &unwrittenError{err}
	}
	return err
}

func appendHead(b []byte, r *Request) []byte {
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	for name, values := range r.Header {
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	if len(r.Body) > 0 || r.HasBody {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.Body)), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// readResponse reads response heads until one belongs to the request.
func (ex *exchange) readResponse(r *Request) (*Response, error) {
	for discarded, interim := 0, 0; ; {
		resp, err := ex.readHead(r.Method)
		switch {
		case err != nil:
			return nil, err
		case resp.Status < http.StatusOK:
			if interim++; interim > ex.pool.opts.Limits.Interim {
				return nil, ex.pool.overLimit(Interim, int64(ex.pool.opts.Limits.Interim))
			}
			continue // an interim response; the final one follows
		case r.Accept == nil || r.Accept(resp.Status, resp.Header):
			return resp, nil
		}
		if discarded++; discarded > maxStrayResponses || resp.closing {
			return nil, &StrayResponseError{Status: resp.Status}
		}
		if err := ex.discard(resp); err != nil {
			return nil, err
		}
	}
}

// discard reads the body of a response to another request.
func (ex *exchange) discard(resp *Response) error {
	limit := ex.pool.opts.Limits.Discard
	if resp.hasBody() && resp.Length > limit {
		return ex.pool.overLimit(Discarded, limit)
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.body, limit+1))
	if n > limit {
		return ex.pool.overLimit(Discarded, limit)
	}
	return ex.pool.bodyError(err)
}

func (ex *exchange) readHead(method string) (*Response, error) {
	if err := ex.conn.source.begin(ex.conn.reader); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(ex.conn.reader, &http.Request{Method: method})
	if err = ex.conn.source.end(err); err != nil {
		return nil, headError(err)
	}
	if err := CheckHead(resp); err != nil {
		return nil, err
	}
	unframed := !IsFramed(resp)
	return &Response{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, UntilClose: unframed,
		body: resp.Body, unframed: unframed, closing: resp.Close, ex: ex,
	}, nil
}

// bodyWriteTimeout bounds the wait for the body writer after a successful response. The server
// has read the whole body by then, but on a busy VM the goroutine that wrote it may not have
// been scheduled since. Without the wait the connection would be closed and the next request
// would need a new one.
const bodyWriteTimeout = 250 * time.Millisecond

// bodyWritten reports whether the whole body was sent. A server that responds before that,
// for example to reject the request, leaves the rest unread, so the connection can't be reused.
func (ex *exchange) bodyWritten(success bool) bool {
	if ex.writeDone == nil {
		return true
	}
	select {
	case err := <-ex.writeDone:
		return err == nil
	default:
	}
	if !success {
		return false
	}
	timer := time.NewTimer(bodyWriteTimeout)
	defer timer.Stop()
	select {
	case err := <-ex.writeDone:
		return err == nil
	case <-timer.C:
		return false
	}
}

// abort closes the connection with a reset, so that bytes still in transit are not
// delivered later.
func (ex *exchange) abort() {
	ex.stop()
	if tcp, ok := ex.conn.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // on failure the connection is closed without a reset
	}
	_ = ex.conn.Close()
}

// parameter returns the value of name in a comma-separated list of name=value items.
func parameter(list, name string) (string, bool) {
	for item := range strings.SplitSeq(list, ",") {
		key, value, ok := strings.Cut(strings.TrimSpace(item), "=")
		if ok && strings.EqualFold(key, name) {
			return value, true
		}
	}
	return "", false
}
