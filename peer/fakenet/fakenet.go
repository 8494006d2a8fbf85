// Package fakenet provides an in-memory network between processes, controlled by a test. It
// passes HTTP requests directly to handlers, and can partition pairs of hosts, lose
// responses and add latency. It works in a synctest bubble.
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
	// mu guards all fields below. It is a leaf lock: handlers run without it.
	mu            sync.Mutex
	handlers      map[string]http.Handler
	partitioned   map[[2]string]bool
	lostResponses map[[2]string]bool
	delay         time.Duration
	calls         int
	bytes         map[string]int
}

// New returns a network without hosts.
func New() *Net {
	return &Net{
		handlers: map[string]http.Handler{}, partitioned: map[[2]string]bool{},
		lostResponses: map[[2]string]bool{}, bytes: map[string]int{},
	}
}

// UnreachableError is a call whose request or response was lost.
type UnreachableError struct{ From, To string }

// Error implements error.
func (e *UnreachableError) Error() string { return fmt.Sprintf("no path from %s to %s", e.From, e.To) }

// Reason implements failure.Coded.
func (e *UnreachableError) Reason() failure.Reason { return failure.PeerUnreachable }

// Listen serves the host's requests with h; nil takes the host down, so that calls to it
// fail immediately.
func (n *Net) Listen(host string, h http.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[host] = h
}

// SetDelay sets the latency of each direction of a call.
func (n *Net) SetDelay(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = d
}

// Partition drops all messages between a and b in both directions, or stops doing so.
func (n *Net) Partition(a, b string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[[2]string{a, b}] = partitioned
	n.partitioned[[2]string{b, a}] = partitioned
}

// LoseResponses lets calls from one host to another take effect but loses their responses,
// or stops doing so.
func (n *Net) LoseResponses(from, to string, lose bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lostResponses[[2]string{from, to}] = lose
}

// Calls returns the number of calls whose response was delivered.
func (n *Net) Calls() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls
}

// Bytes returns the number of body bytes that the host has sent and received.
func (n *Net) Bytes(host string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bytes[host]
}

// Transport returns the host's transport into the network.
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
	h, lost, err := t.net.route(req, t.from, to)
	if err != nil {
		return nil, err
	}
	inner := req.Clone(req.Context())
	inner.Body = io.NopCloser(bytes.NewReader(body))
	inner.RequestURI = req.URL.RequestURI()
	rec := &recorder{header: http.Header{}, code: http.StatusOK}
	h.ServeHTTP(rec, inner)
	if lost || !t.net.deliver(req, t.from, to) {
		<-req.Context().Done()
		return nil, &UnreachableError{From: t.from, To: to}
	}
	t.net.count(t.from, to, len(body)+rec.body.Len())
	return &http.Response{
		StatusCode: rec.code, Header: rec.header, Body: io.NopCloser(&rec.body),
		ContentLength: int64(rec.body.Len()), Request: req, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}, nil
}

// route waits for the request to arrive and returns the handler, and whether the response
// will be lost. A request that is dropped blocks until its context ends.
func (n *Net) route(req *http.Request, from, to string) (http.Handler, bool, error) {
	if !n.deliver(req, from, to) {
		<-req.Context().Done()
		return nil, false, &UnreachableError{From: from, To: to}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	h := n.handlers[to]
	if h == nil {
		return nil, false, &UnreachableError{From: from, To: to}
	}
	return h, n.lostResponses[[2]string{from, to}], nil
}

// deliver waits for the delay of one direction and reports whether the message was
// delivered.
func (n *Net) deliver(req *http.Request, from, to string) bool {
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
	return !n.partitioned[[2]string{from, to}]
}

func (n *Net) count(from, to string, size int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.calls++
	n.bytes[from] += size
	n.bytes[to] += size
}

// recorder records a response.
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
