package httponce

import (
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"

	"github.com/springweir/springweir/internal/h1"
)

// Send sends the request at most once over a transport made by NewTransport. The
// error is *Error. A URL whose scheme is not http fails with *SchemeError as the
// cause: under TLS the transport wraps the connection, so Send could not detect
// what was written.
func Send(t *http.Transport, req *http.Request) (*Response, error) {
	if req.URL.Scheme != "http" {
		return nil, &Error{Cause: &SchemeError{Scheme: req.URL.Scheme}}
	}
	s := new(sendState)
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: s.gotConn})
	req = req.WithContext(ctx)
	req.GetBody = nil
	if req.Body == nil || req.Body == http.NoBody {
		req.Body = emptyBody{}
		req.ContentLength = 0
	}
	resp, err := t.RoundTrip(req)
	if err != nil {
		return nil, &Error{Sent: s.seal(), Cause: err}
	}
	if err := h1.CheckHead(resp); err != nil {
		(&Response{Response: resp, state: s}).Abort()
		return nil, &Error{Sent: true, Cause: err}
	}
	return &Response{Response: resp, state: s}, nil
}

// Response is a response and the connection that it was received on.
type Response struct {
	*http.Response
	state *sendState
}

// Abort closes the body and the connection, even if the connection is already idle in
// the pool because the body has ended. It is meant for a response that belongs to
// another request: later data on that connection can't be trusted either.
func (r *Response) Abort() {
	r.Body.Close()
	s := r.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil {
		s.conn.seal()
		s.conn.Close()
	}
}

// emptyBody is an empty body that http.Transport does not recognise as one, so that
// it never treats the request as replayable.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

func (emptyBody) Close() error { return nil }

// sendState associates a request with its connection.
type sendState struct {
	mu           sync.Mutex
	conn         *conn
	writesBefore int
	sealed       bool
}

// gotConn records the connection chosen for the request, before any byte of the request is
// written. The request has exclusive use of the connection until the response.
func (s *sendState) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*conn)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn = c
	s.writesBefore = c.writeCount()
	if s.sealed {
		c.seal()
	}
}

// seal blocks further writes and reports whether any byte of the request may have been
// sent. Writes are blocked first: otherwise the transport's writing goroutine could send
// between the two steps.
func (s *sendState) seal() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sealed = true
	if s.conn == nil {
		return false
	}
	return s.conn.seal() > s.writesBefore
}

// conn counts the writes that may have sent data.
type conn struct {
	net.Conn
	mu     sync.Mutex
	writes int
	sealed bool
}

// Write implements net.Conn. A write is counted before it starts and uncounted if it
// fails without having written a byte.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.writes++
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && n == 0 {
		c.mu.Lock()
		c.writes--
		c.mu.Unlock()
	}
	return n, err
}

func (c *conn) writeCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal makes all later writes fail and returns the number of earlier ones.
func (c *conn) seal() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes
}
