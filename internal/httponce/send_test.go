package httponce

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// closingServer responds to the first request on each connection. It counts the second
// as handled and closes the connection without a response.
type closingServer struct {
	net.Listener
	handled atomic.Int32
}

func newClosingServer(t *testing.T) *closingServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	k := &closingServer{Listener: l}
	go k.serve()
	t.Cleanup(func() { l.Close() })
	return k
}

func (k *closingServer) serve() {
	for {
		c, err := k.Accept()
		if err != nil {
			return
		}
		go k.handle(c)
	}
}

func (k *closingServer) handle(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for i := range 2 {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		io.Copy(io.Discard, req.Body)
		k.handled.Add(1)
		if i == 0 {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	}
}

func options(keepAlive time.Duration) TransportOptions {
	return TransportOptions{
		ConnectTimeout: 10 * time.Second,
		HeaderTimeout:  10 * time.Second,
		KeepAlive:      keepAlive,
		MaxIdle:        1,
	}
}

func TestNoRetryOnClosedConnection(t *testing.T) {
	for _, tc := range []struct{ name, method, body, header string }{
		{"post with key", "POST", "x", "Idempotency-Key"},
		{"empty post with key", "POST", "", "Idempotency-Key"},
		{"empty post with x-key", "POST", "", "X-Idempotency-Key"},
		{"get", "GET", "", ""},
		{"head", "HEAD", "", ""},
		{"empty put with key", "PUT", "", "Idempotency-Key"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			k := newClosingServer(t)
			tr := NewTransport(options(time.Minute))
			defer tr.CloseIdleConnections()
			var last error
			for range 2 {
				// NewRequest sets GetBody for a strings.Reader, which makes the request replayable.
				var body io.Reader = strings.NewReader(tc.body)
				if tc.body == "" {
					body = nil
				}
				req, err := http.NewRequest(tc.method, "http://"+k.Addr().String(), body)
				if err != nil {
					t.Fatal(err)
				}
				if tc.header != "" {
					req.Header.Set(tc.header, "1")
				}
				resp, err := Send(tr, req)
				last = err
				if err == nil {
					io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
				}
			}
			var sendErr *Error
			if !errors.As(last, &sendErr) || !sendErr.Sent {
				t.Errorf("second call: got %v, want *Error with Sent set", last)
			}
			if n := k.handled.Load(); n != 2 {
				t.Errorf("endpoint handled %d calls, want 2", n)
			}
		})
	}
}

// A plain http.Transport retries the request, so the test above is able to fail.
func TestPlainTransportRetries(t *testing.T) {
	k := newClosingServer(t)
	tr := &http.Transport{}
	defer tr.CloseIdleConnections()
	for range 2 {
		req, _ := http.NewRequest("POST", "http://"+k.Addr().String(), strings.NewReader("x"))
		req.Header.Set("Idempotency-Key", "1")
		if resp, err := tr.RoundTrip(req); err == nil {
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
	}
	if n := k.handled.Load(); n != 3 {
		t.Fatalf("plain transport: endpoint handled %d calls; net/http has changed, review Send", n)
	}
}

// Error.Sent is accurate for each stage at which a request can be cancelled.
func TestSentIsAccurate(t *testing.T) {
	refused := func(context.Context, string, string) (net.Conn, error) { return nil, net.ErrClosed }
	stuckDial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	broken := func(context.Context, string, string) (net.Conn, error) {
		c, s := net.Pipe()
		s.Close()
		return c, nil
	}
	partial := func(context.Context, string, string) (net.Conn, error) {
		c, s := net.Pipe()
		go io.ReadFull(s, make([]byte, 5))
		return c, nil
	}
	unresponsive := func(context.Context, string, string) (net.Conn, error) {
		c, s := net.Pipe()
		go io.Copy(io.Discard, s)
		return c, nil
	}
	for _, tc := range []struct {
		name string
		dial DialFunc
		sent bool
	}{
		{"refused", refused, false},
		{"dial hangs", stuckDial, false},
		{"connection already closed", broken, false},
		{"partial write", partial, true},
		{"no response", unresponsive, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := options(0)
				o.Dial = tc.dial
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				req, _ := http.NewRequestWithContext(ctx, "POST", "http://engine", strings.NewReader("x"))
				_, err := Send(NewTransport(o), req)
				var e *Error
				if !errors.As(err, &e) || e.Sent != tc.sent {
					t.Errorf("got %v, want sent = %v", err, tc.sent)
				}
				// The transport lets an abandoned dial run until its own timeout.
				time.Sleep(2 * o.ConnectTimeout)
			})
		})
	}
}

// Under TLS Send could not detect what was written, so it rejects other schemes before dialling.
func TestOtherSchemesAreRefused(t *testing.T) {
	for _, scheme := range []string{"https", "ftp", ""} {
		dialled := false
		o := options(0)
		o.Dial = func(context.Context, string, string) (net.Conn, error) {
			dialled = true
			return nil, net.ErrClosed
		}
		req, err := http.NewRequest("POST", "http://engine", strings.NewReader("x"))
		if err != nil {
			t.Fatal(err)
		}
		req.URL.Scheme = scheme
		_, err = Send(NewTransport(o), req)
		var e *Error
		var wrong *SchemeError
		if !errors.As(err, &e) || e.Sent || !errors.As(err, &wrong) || wrong.Scheme != scheme || dialled {
			t.Errorf("scheme %q: got %v (dialled: %v), want *SchemeError, nothing sent and no dial", scheme, err, dialled)
		}
	}
}
