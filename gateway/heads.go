package gateway

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/springweir/springweir/memory"
)

// The head of a request is held while it arrives, before there is a request that could be refused. What a head has
// beyond uncountedHead bytes is therefore reserved as it is read.

// uncountedHead is the part of a head, in bytes, that is not counted: every connection has a buffer of this size.
const uncountedHead = 4 << 10

// headsRefused counts the requests refused while their heads arrived.
var headsRefused = metrics.NewCounter("springweir_heads_refused_total")

// headListener accepts connections whose request heads are counted. It implements net.Listener.
type headListener struct {
	net.Listener
	memory *memory.Budget
}

// Accept implements net.Listener.
func (l *headListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &headConn{Conn: c, held: l.memory.Open(), reading: true}, nil
}

// headConn is a caller's connection.
type headConn struct {
	net.Conn

	// mu guards the fields below: net/http reads ahead in a goroutine of its own while a request is served.
	mu   sync.Mutex
	held *memory.Reservation
	// reading is set while a head is read, of which read bytes have arrived.
	reading bool
	read    int64
	// refused is why the connection was refused, or nil. Every read fails from then on.
	refused *memory.FullError
}

// trackHead is the ConnState of a server whose listener is a headListener.
func trackHead(c net.Conn, state http.ConnState) {
	h, ok := c.(*headConn)
	if !ok {
		return
	}
	switch state {
	case http.StateNew, http.StateIdle:
		h.setReading(true)
	case http.StateClosed, http.StateHijacked:
		h.setReading(false)
	}
}

// headConnKey is the context key of the connection of a request.
type headConnKey struct{}

// headArrived records that the head of a request was read.
func headArrived(r *http.Request) {
	if c, ok := r.Context().Value(headConnKey{}).(*headConn); ok {
		c.setReading(false)
	}
}

// setReading begins a head or ends the current one, whose memory it releases.
func (c *headConn) setReading(reading bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading, c.read = reading, 0
	c.held.Release()
}

// Read implements net.Conn. A head for which there is no memory is refused. All earlier requests of the connection have
// been responded to then, and net/http closes the connection without a response because of the *net.OpError.
func (c *headConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	refused, first := c.count(n)
	if first {
		headsRefused.Inc()
		_, _ = io.WriteString(c.Conn, "HTTP/1.1 503 Service Unavailable\r\nRetry-After: "+
			strconv.FormatFloat(refused.RetryAfter.Seconds(), 'f', 3, 64)+"\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	}
	if refused != nil {
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: refused}
	}
	return n, err
}

// count counts bytes of a head, if one is read. It returns why the connection is refused, or nil, and whether it is from
// now on.
func (c *headConn) count(n int) (refused *memory.FullError, first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refused != nil || !c.reading {
		return c.refused, false
	}
	c.read += int64(n)
	if c.read <= uncountedHead {
		return nil, false
	}
	c.refused, _ = c.held.Resize(c.read).(*memory.FullError)
	return c.refused, c.refused != nil
}
