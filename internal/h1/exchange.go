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

// Request is one request as it is written. Header must hold no field that frames
// the message; Do adds Host and Content-Length.
type Request struct {
	Method string
	// Target is the request target as it stands on the first line.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody makes an empty body be announced.
	HasBody bool
	// MaxIdle bounds how long the connection may have been unused; zero takes
	// the pool's own bound; see NewConnection.
	MaxIdle time.Duration
	// BeforeWrite, if set, is called once there is a connection, just before the first byte is
	// written: opening one may have taken long. It may still change the request. With an
	// error nothing is written, the connection is kept, and Do returns *Error with that cause.
	BeforeWrite func(*Request) error
	// Accept tells whether an answer's head belongs to this request. One that
	// does not is read past, once or twice; nil accepts any.
	Accept func(status int, h http.Header) bool
}

// NewConnection as a Request's MaxIdle always opens a new connection.
const NewConnection time.Duration = -1

// exchange is one request and its answer on one connection.
type exchange struct {
	pool  *Pool
	conn  *conn
	stop  func() bool
	wrote chan error
	once  sync.Once
}

// longAgo is a deadline that ends all reads and writes at once.
var longAgo = time.Unix(1, 0)

// Do sends a request once and reads the head of its answer. The exchange ends
// with ctx. The error is *Error.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	c, reused, err := p.connect(ctx, r.MaxIdle)
	if err != nil {
		return nil, &Error{Cause: err}
	}
	if err := r.ready(); err != nil {
		p.giveBack(c)
		return nil, &Error{Reused: reused, Cause: err}
	}
	ex := &exchange{pool: p, conn: c}
	ex.stop = context.AfterFunc(ctx, func() { _ = c.SetDeadline(longAgo) })
	if err := ex.write(r); err != nil {
		ex.drop()
		var unwritten *unwrittenError
		return nil, &Error{Sent: !errors.As(err, &unwritten), Reused: reused, Cause: cause(ctx, err)}
	}
	a, err := ex.head(r)
	if err != nil {
		ex.drop()
		if reused && silent(ctx, err) {
			p.dropIdle()
		}
		return nil, &Error{Sent: true, Reused: reused, Cause: cause(ctx, err)}
	}
	return a, nil
}

func (r *Request) ready() error {
	if r.BeforeWrite == nil {
		return nil
	}
	return r.BeforeWrite(r)
}

// silent tells whether an exchange ended because nothing came for too long, and not
// because its sender lost interest.
func silent(ctx context.Context, err error) bool {
	if ctx.Err() != nil {
		return !errors.Is(context.Cause(ctx), context.Canceled)
	}
	return errors.Is(err, unix.ETIMEDOUT)
}

// cause prefers the reason for which ctx ended to the error that this made.
func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

func (p *Pool) connect(ctx context.Context, maxIdle time.Duration) (c *conn, reused bool, err error) {
	if ctx.Err() != nil {
		return nil, false, context.Cause(ctx)
	}
	if maxIdle == 0 {
		maxIdle = p.opts.MaxIdleTime
	}
	if maxIdle > 0 {
		if c := p.take(maxIdle); c != nil {
			return c, true, nil
		}
	}
	c, err = p.dial(ctx)
	return c, false, err
}

// write sends the head, and the body beside the reading of the answer, since a
// server may answer before it has read the body.
func (ex *exchange) write(r *Request) error {
	head := appendHead(nil, r)
	if len(r.Body) <= inlineBody {
		return ex.writeAll(append(head, r.Body...))
	}
	if err := ex.writeAll(head); err != nil {
		return err
	}
	ex.wrote = make(chan error, 1)
	go func() {
		_, err := ex.conn.Write(r.Body)
		ex.wrote <- err
	}()
	return nil
}

// inlineBody is the longest body that is written in one call with its head.
const inlineBody = 2 << 10

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

// head reads heads until one belongs to the request.
func (ex *exchange) head(r *Request) (*Response, error) {
	for strays := 0; ; {
		a, err := ex.readHead(r.Method)
		switch {
		case err != nil:
			return nil, err
		case a.Status < http.StatusOK:
			continue // an interim answer; the final one follows
		case r.Accept == nil || r.Accept(a.Status, a.Header):
			return a, nil
		}
		if strays++; strays > maxStray || a.closing {
			return nil, &StrayAnswerError{Status: a.Status}
		}
		if _, err := io.Copy(io.Discard, a.body); err != nil {
			return nil, err
		}
	}
}

func (ex *exchange) readHead(method string) (*Response, error) {
	resp, err := http.ReadResponse(ex.conn.reader, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	return &Response{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength,
		body: resp.Body, closing: resp.Close, ex: ex,
	}, nil
}

// writtenWait is how long the end of a write is waited for after a success. The server has
// read the whole body by then, but on a busy VM the goroutine that wrote it may not have run
// since: the connection was closed, and the next request cost a new one.
const writtenWait = 250 * time.Millisecond

// written tells whether the whole body was sent. A server that answers sooner, as with a
// refusal, leaves the rest unread, so the connection cannot be used again.
func (ex *exchange) written(success bool) bool {
	if ex.wrote == nil {
		return true
	}
	select {
	case err := <-ex.wrote:
		return err == nil
	default:
	}
	if !success {
		return false
	}
	timer := time.NewTimer(writtenWait)
	defer timer.Stop()
	select {
	case err := <-ex.wrote:
		return err == nil
	case <-timer.C:
		return false
	}
}

// drop ends the connection with a reset, so that bytes which the network still
// holds up are not delivered later.
func (ex *exchange) drop() {
	ex.stop()
	if tcp, ok := ex.conn.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // without it the close is only less abrupt
	}
	_ = ex.conn.Close()
}

// parameter finds name=value in a list separated by commas.
func parameter(list, name string) (string, bool) {
	for item := range strings.SplitSeq(list, ",") {
		key, value, ok := strings.Cut(strings.TrimSpace(item), "=")
		if ok && strings.EqualFold(key, name) {
			return value, true
		}
	}
	return "", false
}
