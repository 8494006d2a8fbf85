package gateway

import (
	"io"
	"net"
	"net/http"
	"time"

	"github.com/springweir/springweir/internal/h1"
)

const (
	// callerStall is how long a caller may accept nothing of its response, or send nothing of its request's body,
	// before the connection is closed. Without a bound, a caller that does not read keeps a slot of its endpoint
	// until the endpoint gives up. The kernel reports progress of a write only in steps of up to a megabyte, which a
	// slow caller takes in this time.
	callerStall = time.Minute
	// deadlineRenewals is how often a deadline is renewed at most within the time of a stall: setting it
	// for each event of a stream would cost more than the write of a short one.
	deadlineRenewals = 8
)

// stallDeadline is the deadline of the reads or the writes of a connection. It is renewed as they make progress.
type stallDeadline struct {
	// stall is how long a read or a write may make no progress, and set sets the connection's deadline.
	stall time.Duration
	set   func(time.Time) error
	at    time.Time
}

// renew gives the next read or write the time of a stall, or nearly.
func (d *stallDeadline) renew() error {
	now := time.Now()
	if d.at.Sub(now) > d.stall-d.stall/deadlineRenewals {
		return nil
	}
	d.at = now.Add(d.stall)
	return d.set(d.at)
}

// remove removes the deadline if there is one: it would otherwise hold for later requests on the connection.
func (d *stallDeadline) remove() {
	if !d.at.IsZero() {
		_ = d.set(time.Time{}) // fails only if the connection is closed
	}
}

// boundUnread makes the kernel close a caller's connection once the caller has accepted nothing of what it was sent for
// the time of a stall. A response that fits into the kernel's buffer would otherwise stay there until the connection is
// idle for too long, or for ever while there are further requests.
func boundUnread(c net.Conn, stall time.Duration) { h1.SetUserTimeout(socketOf(c), stall) }

// socketOf returns the socket of a caller's connection.
func socketOf(c net.Conn) net.Conn {
	if head, ok := c.(*headConn); ok {
		c = head.Conn
	}
	if counted, ok := c.(*intakeConn); ok {
		c = counted.Conn
	}
	return c
}

// callerConn is the socket of a caller's connection; nil if it is not known, as in tests.
type callerConn struct{ socket *net.TCPConn }

// callerConnOf returns the connection of a request.
func callerConnOf(r *http.Request) callerConn {
	head, ok := r.Context().Value(headConnKey{}).(*headConn)
	if !ok {
		return callerConn{}
	}
	tcp, _ := socketOf(head).(*net.TCPConn)
	return callerConn{tcp}
}

// resetAtClose makes the connection end with a reset, whoever closes it: the kernel does so if the process ends.
func (c callerConn) resetAtClose() { c.setLinger(0) }

// endAtClose makes the connection end with a FIN after all that was sent.
func (c callerConn) endAtClose() { c.setLinger(-1) }

func (c callerConn) setLinger(seconds int) {
	if c.socket != nil {
		_ = c.socket.SetLinger(seconds) // fails only if the connection is closed
	}
}

// stallReader reads a request's body. A read fails if nothing arrives for the time of a stall.
type stallReader struct {
	body     io.Reader
	deadline stallDeadline
}

// Read implements io.Reader.
func (r *stallReader) Read(p []byte) (int, error) {
	if err := r.deadline.renew(); err != nil {
		return 0, err
	}
	return r.body.Read(p)
}
