// Package fakenet is an in-memory network between processes under the control
// of a test. It carries HTTP requests straight to handlers, and can cut pairs
// of hosts, lose answers and take time. It works in a synctest bubble.
package fakenet

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/springweir/springweir/failure"
)

// Net connects hosts. It is safe for concurrent use.
type Net struct {
	// mu guards all below. It is a leaf: handlers run without it.
	mu       sync.Mutex
	handlers map[string]http.Handler
	cut      map[[2]string]bool
	silent   map[[2]string]bool
	delay    time.Duration
	calls    int
	bytes    map[string]int
}

// New returns a network without hosts.
func New() *Net {
	return &Net{
		handlers: map[string]http.Handler{}, cut: map[[2]string]bool{},
		silent: map[[2]string]bool{}, bytes: map[string]int{},
	}
}

// UnreachableError is a call that did not get through or whose answer was lost.
type UnreachableError struct{ From, To string }

// Error implements error.
func (e *UnreachableError) Error() string { return fmt.Sprintf("no path from %s to %s", e.From, e.To) }

// Reason implements failure.Coded.
func (e *UnreachableError) Reason() failure.Reason { return failure.PeerUnreachable }

// Listen serves the host's requests by h; nil takes the host down, so that
// calls to it are refused at once.
func (n *Net) Listen(host string, h http.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[host] = h
}

// SetDelay sets how long a call takes each way.
func (n *Net) SetDelay(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = d
}

// Partition drops all messages between a and b in both directions, or ends that.
func (n *Net) Partition(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{a, b}] = cut
	n.cut[[2]string{b, a}] = cut
}

// LoseResponses lets calls from one host to another take effect and loses their
// answers, or ends that.
func (n *Net) LoseResponses(from, to string, lose bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent[[2]string{from, to}] = lose
}

// Calls returns the number of calls that were answered.
func (n *Net) Calls() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls
}

// Bytes returns the bytes of bodies that the host has sent and received.
func (n *Net) Bytes(host string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bytes[host]
}

// Transport returns the host's way into the network.
func (n *Net) Transport(host string) http.RoundTripper { return &transport{net: n, from: host} }

type transport struct {
	net  *Net
	from string
}

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(req *http.Request) (*http.Response, error) {
	to := req.URL.Host
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return nil, err
	}
	h, lost, err := t.net.path(req, t.from, to)
	if err != nil {
		return nil, err
	}
	inner := req.Clone(req.Context())
	inner.Body = io.NopCloser(bytes.NewReader(body))
	inner.RequestURI = req.URL.RequestURI()
	rec := &recorder{header: http.Header{}, code: http.StatusOK}
	h.ServeHTTP(rec, inner)
	if lost || !t.net.open(req, t.from, to) {
		<-req.Context().Done()
		return nil, &UnreachableError{From: t.from, To: to}
	}
	t.net.count(t.from, to, len(body)+rec.body.Len())
	return &http.Response{
		StatusCode: rec.code, Header: rec.header, Body: io.NopCloser(&rec.body),
		ContentLength: int64(rec.body.Len()), Request: req, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}, nil
}

// path waits for the message to arrive and returns who gets it. A message that
// is cut waits until its sender gives up.
func (n *Net) path(req *http.Request, from, to string) (http.Handler, bool, error) {
	if !n.open(req, from, to) {
		<-req.Context().Done()
		return nil, false, &UnreachableError{From: from, To: to}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	h := n.handlers[to]
	if h == nil {
		return nil, false, &UnreachableError{From: from, To: to}
	}
	return h, n.silent[[2]string{from, to}], nil
}

// open lets one way's delay pass and tells whether the message got through.
func (n *Net) open(req *http.Request, from, to string) bool {
	n.mu.Lock()
	delay := n.delay
	n.mu.Unlock()
	select {
	case <-time.After(delay):
	case <-req.Context().Done():
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.cut[[2]string{from, to}]
}

func (n *Net) count(from, to string, size int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.calls++
	n.bytes[from] += size
	n.bytes[to] += size
}

// recorder keeps an answer.
type recorder struct {
	header http.Header
	code   int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (r *recorder) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter.
func (r *recorder) WriteHeader(code int) { r.code = code }

// Write implements http.ResponseWriter.
func (r *recorder) Write(p []byte) (int, error) { return r.body.Write(p) }
