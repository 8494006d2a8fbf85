package h1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/springweir/springweir/internal/network"
)

// server is a TCP server whose connections are handled by a script.
type server struct {
	net.Listener
	mu       sync.Mutex
	accepted int
}

// serve handles each connection, numbered from zero, until the test ends.
func serve(t *testing.T, handle func(n int, c net.Conn, r *bufio.Reader)) *server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{Listener: l}
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			n := s.accepted
			s.accepted++
			s.mu.Unlock()
			wg.Go(func() {
				defer c.Close()
				handle(n, c, bufio.NewReader(c))
			})
		}
	})
	t.Cleanup(func() {
		l.Close()
		wg.Wait()
	})
	return s
}

func (s *server) connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted
}

// read takes one request whole.
func read(r *bufio.Reader) (*http.Request, string, error) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(req.Body)
	return req, string(body), err
}

// echo answers every request with its body.
func echo(_ int, c net.Conn, r *bufio.Reader) {
	for {
		_, body, err := read(r)
		if err != nil {
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
}

func newPool(t *testing.T, s *server, o Options) *Pool {
	t.Helper()
	p := NewPool(s.Addr().String(), o)
	t.Cleanup(p.Close)
	return p
}

// ask sends a request and reads the whole answer.
func ask(t *testing.T, p *Pool, r *Request) (string, error) {
	t.Helper()
	a, err := p.Do(t.Context(), r)
	if err != nil {
		return "", err
	}
	defer a.Close()
	body, err := a.ReadAll(1 << 20)
	return string(body), err
}

func post(body string) *Request {
	return &Request{Method: "POST", Target: "/x?y", Host: "h.example", Header: http.Header{"A": {"1", "2"}}, Body: []byte(body), HasBody: true}
}

func TestRequestAsWritten(t *testing.T) {
	got := make(chan *http.Request, 1)
	s := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		req, body, err := read(r)
		if err != nil {
			return
		}
		got <- req
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	})
	body, err := ask(t, newPool(t, s, Options{}), post("body"))
	if err != nil || body != "body" {
		t.Fatal(body, err)
	}
	req := <-got
	if req.Method != "POST" || req.RequestURI != "/x?y" || req.Host != "h.example" || len(req.Header["A"]) != 2 || req.ContentLength != 4 {
		t.Errorf("the server got %+v", req)
	}
}

func TestConnectionIsReused(t *testing.T) {
	s := serve(t, echo)
	p := newPool(t, s, Options{})
	long := strings.Repeat("z", 10*inlineBody)
	for _, body := range []string{"a", "", long, "b"} {
		got, err := ask(t, p, post(body))
		if err != nil || got != body {
			t.Fatalf("%d bytes, %v", len(got), err)
		}
	}
	if n := s.connections(); n != 1 {
		t.Errorf("%d connections for four requests one after the other", n)
	}
	if _, err := ask(t, p, &Request{Method: "GET", Target: "/", Host: "h", MaxIdle: NewConnection}); err != nil || s.connections() != 2 {
		t.Errorf("a new connection was asked for: %d, %v", s.connections(), err)
	}
}

// lateConn reports the end of a write only some time after the bytes are out, as a writer
// does that does not get the processor back at once.
type lateConn struct{ net.Conn }

func (c lateConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	time.Sleep(2 * time.Millisecond)
	return n, err
}

// A server may answer a long body before the goroutine that wrote it has noticed.
func TestConnectionIsReusedAlsoIfItsWriterIsLate(t *testing.T) {
	s := serve(t, echo)
	p := newPool(t, s, Options{Network: network.Network{Dial: func(ctx context.Context, kind, address string) (net.Conn, error) {
		var d net.Dialer
		c, err := d.DialContext(ctx, kind, address)
		return lateConn{c}, err
	}}})
	for range 5 {
		if _, err := ask(t, p, post(strings.Repeat("z", 10*inlineBody))); err != nil {
			t.Fatal(err)
		}
	}
	if n := s.connections(); n != 1 {
		t.Errorf("%d connections for five requests one after the other", n)
	}
}

// A kept connection is not used again once the server has closed it, has sent
// something on it, or said that it would not keep it for so long.
func TestSpoiltConnectionIsNotReused(t *testing.T) {
	for _, tc := range []struct {
		name string
		head string
		more func(c net.Conn)
		wait time.Duration
	}{
		{"closed after the answer", "", func(c net.Conn) { c.Close() }, 50 * time.Millisecond},
		{"an answer too many", "", func(c net.Conn) {
			time.Sleep(20 * time.Millisecond)
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx")
		}, 100 * time.Millisecond},
		{"told to close", "Connection: close\r\n", func(net.Conn) {}, 0},
		{"kept too long", "Keep-Alive: timeout=1\r\n", func(net.Conn) {}, 800 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := serve(t, func(n int, c net.Conn, r *bufio.Reader) {
				for {
					if _, _, err := read(r); err != nil {
						return
					}
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: 1\r\n\r\n%d", tc.head, n)
					if n == 0 {
						tc.more(c)
					}
				}
			})
			p := newPool(t, s, Options{})
			if got, err := ask(t, p, post("a")); got != "0" || err != nil {
				t.Fatal(got, err)
			}
			time.Sleep(tc.wait)
			if got, err := ask(t, p, post("b")); got != "1" || err != nil {
				t.Errorf("the second request: %q, %v", got, err)
			}
		})
	}
}

func TestAnswersOfOthersAreReadPast(t *testing.T) {
	mine := func(_ int, h http.Header) bool { return h.Get("Id") == "mine" }
	for _, tc := range []struct {
		name, answers, want string
		reason              string
	}{
		{"one before", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nother" + "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 4\r\n\r\nmine", "mine", ""},
		{"an interim answer", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 4\r\n\r\nmine", "mine", ""},
		{"only others", strings.Repeat("HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nother", 3), "", "answer-mismatch"},
		{"another that ends the connection", "HTTP/1.1 200 OK\r\nId: other\r\n\r\nHTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 4\r\n\r\nmine", "", "answer-mismatch"},
		{"no answer at all", "what is this\r\n\r\n", "", "endpoint-broke"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
				if _, _, err := read(r); err == nil {
					io.WriteString(c, tc.answers)
				}
			})
			r := post("a")
			r.Accept = mine
			got, err := ask(t, newPool(t, s, Options{}), r)
			if got != tc.want || (err == nil) != (tc.reason == "") {
				t.Fatalf("%q, %v", got, err)
			}
			var broke *Error
			var stray *StrayAnswerError
			switch {
			case err == nil:
			case !errors.As(err, &broke) || !broke.Sent:
				t.Errorf("%v does not say that the request was sent", err)
			case (tc.reason == "answer-mismatch") != errors.As(err, &stray):
				t.Errorf("got %v", err)
			}
		})
	}
}

func TestBodiesThatEndEarly(t *testing.T) {
	for _, tc := range []struct {
		name, answer string
		whole        bool
	}{
		{"short of its length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", false},
		{"no last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", false},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n\r\n", true},
		{"ended by the connection", "HTTP/1.1 200 OK\r\n\r\nhalf", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
				if _, _, err := read(r); err == nil {
					io.WriteString(c, tc.answer)
				}
			})
			got, err := ask(t, newPool(t, s, Options{}), post("a"))
			if got != "half" || (err == nil) != tc.whole {
				t.Errorf("%q, %v", got, err)
			}
		})
	}
	reset := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, _, err := read(r); err == nil {
			io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nhalf")
			time.Sleep(20 * time.Millisecond)
			c.(*net.TCPConn).SetLinger(0)
		}
	})
	if _, err := ask(t, newPool(t, reset, Options{}), post("a")); err == nil {
		t.Error("a body that was reset on its way counts as whole")
	}
}

// What is said of a request that got no answer.
func TestSentIsTrue(t *testing.T) {
	closed := serve(t, echo)
	address := closed.Addr().String()
	closed.Close()
	dead := NewPool(address, Options{})
	var broke *Error
	if _, err := ask(t, dead, post("a")); !errors.As(err, &broke) || broke.Sent {
		t.Errorf("nobody listens: %v", err)
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := dead.Do(ended, post("a")); !errors.As(err, &broke) || broke.Sent || !errors.Is(err, context.Canceled) {
		t.Errorf("given up before: %v", err)
	}
	silent := serve(t, func(_ int, _ net.Conn, r *bufio.Reader) { io.Copy(io.Discard, r) })
	within, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := newPool(t, silent, Options{}).Do(within, post("a")); !errors.As(err, &broke) || !broke.Sent || !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("no answer: %v", err)
	}
}

// A server that answers before it has read a long body must not find other bytes
// where the rest of that body is due.
func TestEarlyAnswerEndsTheConnection(t *testing.T) {
	s := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		io.WriteString(c, "HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(100 * time.Millisecond)
		io.Copy(io.Discard, r)
	})
	p := newPool(t, s, Options{})
	for range 2 {
		if _, err := ask(t, p, post(strings.Repeat("z", 8<<20))); err != nil {
			t.Fatal(err)
		}
	}
	if n := s.connections(); n != 2 {
		t.Errorf("%d connections for two early answers", n)
	}
}

// Closing an answer that was not read to its end ends the connection, which tells
// the server to drop the request.
func TestUnreadAnswerEndsTheConnection(t *testing.T) {
	gone := make(chan error, 1)
	s := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, _, err := read(r); err != nil {
			return
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n")
		_, err := r.ReadByte()
		gone <- err
	})
	a, err := newPool(t, s, Options{}).Do(t.Context(), post("a"))
	if err != nil {
		t.Fatal(err)
	}
	a.Close()
	select {
	case err := <-gone:
		if err == nil {
			t.Error("the server read another byte")
		}
	case <-time.After(time.Second):
		t.Error("the connection stayed open")
	}
}

func TestPruneAndLimits(t *testing.T) {
	s := serve(t, echo)
	p := newPool(t, s, Options{MaxIdle: 2, MaxIdleTime: time.Minute})
	var open []*Response
	for range 4 {
		a, err := p.Do(t.Context(), post("a"))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := a.ReadAll(10); err != nil {
			t.Fatal(err)
		}
		open = append(open, a)
	}
	for _, a := range open {
		a.Close()
	}
	if n := len(p.idle); n != 2 {
		t.Errorf("%d unused connections are kept, want 2", n)
	}
	p.Prune(time.Now().Add(2 * time.Minute))
	if n := len(p.idle); n != 0 {
		t.Errorf("%d old connections are kept", n)
	}
	if _, err := ask(t, p, post(strings.Repeat("z", 11))); err != nil {
		t.Fatal(err)
	}
	a, err := p.Do(t.Context(), post(strings.Repeat("z", 11)))
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	var long *TooLongError
	if _, err := a.ReadAll(10); !errors.As(err, &long) {
		t.Errorf("got %v", err)
	}
}

// silentAfterFirst answers the first request of each of the connections kept so far,
// and nothing after that; later connections work.
func silentAfterFirst(kept int) func(n int, c net.Conn, r *bufio.Reader) {
	return func(n int, c net.Conn, r *bufio.Reader) {
		if n >= kept {
			echo(n, c, r)
			return
		}
		_, body, err := read(r)
		if err != nil {
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		_, _ = io.Copy(io.Discard, r)
	}
}

// keepConnections makes the pool keep n connections.
func keepConnections(t *testing.T, p *Pool, n int) {
	t.Helper()
	var open []*Response
	for range n {
		a, err := p.Do(t.Context(), post("x"))
		if err != nil {
			t.Fatal(err)
		}
		open = append(open, a)
	}
	for _, a := range open {
		if _, err := a.ReadAll(10); err != nil {
			t.Fatal(err)
		}
		a.Close()
	}
}

// Connections may fall silent together, without a reset. Once one has, the others
// that were kept are not tried one after the other. A caller that leaves says nothing
// about the connection.
func TestSilenceSpoilsKeptConnections(t *testing.T) {
	for _, tc := range []struct {
		name string
		end  func(ctx context.Context) (context.Context, context.CancelFunc)
		kept bool
	}{
		{"silence", func(ctx context.Context) (context.Context, context.CancelFunc) {
			return context.WithTimeout(ctx, 50*time.Millisecond)
		}, false},
		{"the caller leaves", func(ctx context.Context) (context.Context, context.CancelFunc) {
			ctx, cancel := context.WithCancel(ctx)
			time.AfterFunc(50*time.Millisecond, cancel)
			return ctx, cancel
		}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := serve(t, silentAfterFirst(3))
			p := newPool(t, s, Options{})
			keepConnections(t, p, 3)
			ctx, cancel := tc.end(t.Context())
			defer cancel()
			if _, err := p.Do(ctx, post("lost")); err == nil {
				t.Fatal("a silent connection answered")
			}
			p.mu.Lock()
			kept := len(p.idle)
			p.mu.Unlock()
			if tc.kept != (kept == 2) {
				t.Fatalf("%d connections are kept", kept)
			}
			if tc.kept {
				return
			}
			if got, err := ask(t, p, post("again")); err != nil || got != "again" {
				t.Errorf("the next request got %q, %v", got, err)
			}
		})
	}
}

// Just before its first byte a request may be taken back, on a kept connection as on a new
// one: nothing is written, and the connection serves the next request.
func TestRequestIsTakenBackBeforeItsFirstByte(t *testing.T) {
	s := serve(t, echo)
	p := newPool(t, s, Options{})
	changed := errors.New("the plan has changed")
	for _, state := range []string{"new", "kept"} {
		r := post(state)
		r.BeforeWrite = func(*Request) error { return changed }
		_, err := p.Do(t.Context(), r)
		var failed *Error
		if !errors.As(err, &failed) || failed.Sent || !errors.Is(err, changed) {
			t.Errorf("on a %s connection: %v", state, err)
		}
		r = post(state)
		r.BeforeWrite = func(r *Request) error { r.Body = []byte("changed"); return nil }
		if got, err := ask(t, p, r); err != nil || got != "changed" {
			t.Errorf("after it: %q, %v", got, err)
		}
	}
	if n := s.connections(); n != 1 {
		t.Errorf("%d connections", n)
	}
}
