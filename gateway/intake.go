package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/springweir/springweir/internal/clock"
)

// A load balancer may send most new connections to one VM, more than its network link carries. Requests
// that the VM reads nonetheless are late, and connections to endpoints time out behind their bodies. The VM
// therefore refuses connections while its link is busy, before it has read anything: callers then try
// another VM.

const (
	// maxLinkBacklog is the time that the link takes for what is on its way, in both directions, above which
	// connections are refused. It is a fraction of the objectives of short requests.
	maxLinkBacklog = 100 * time.Millisecond
	// minClosed and maxClosed bound the time for which connections are refused at a stretch. The load balancer
	// takes a VM out that refuses connections for seconds.
	minClosed = 10 * time.Millisecond
	maxClosed = 250 * time.Millisecond
	// maxRefusing is how long no connection at all may be accepted, whatever the backlog.
	maxRefusing = time.Second
	// initialRequestBytes is the assumed size of a request before any was read, and requestSizeWeight the weight
	// of the newest request in the mean.
	initialRequestBytes = 4096
	requestSizeWeight   = 0.05
	// firstRequestWait is how long a new connection counts as one whose first request is on its way.
	firstRequestWait = 200 * time.Millisecond
	// intakeLogInterval is the least time between two log lines about refused connections.
	intakeLogInterval = 5 * time.Second
)

var (
	// intakePauses counts the times at which this VM began to refuse connections, intakeAborted the connections
	// that were closed unread.
	intakePauses  = metrics.NewCounter("springweir_intake_pauses_total")
	intakeAborted = metrics.NewCounter("springweir_intake_aborted_total")
)

// intake estimates the backlog of the VM's link. It is safe for concurrent use; mu is a leaf lock.
type intake struct {
	// bitsPerSecond is the bandwidth of the link in one direction.
	bitsPerSecond float64
	// uplinkWait returns how long the link is busy with requests to endpoints.
	uplinkWait func() time.Duration
	now        func() time.Time

	mu sync.Mutex
	// awaited holds the new connections whose first request has not arrived, with the time of their opening.
	awaited map[*intakeConn]time.Time
	// unread is the number of bytes of the bodies that are being read.
	unread int64
	// meanBytes is the mean size of a request.
	meanBytes float64
}

func newIntake(bitsPerSecond float64, uplinkWait func() time.Duration) *intake {
	return &intake{bitsPerSecond: bitsPerSecond, uplinkWait: uplinkWait, now: clock.Now, awaited: map[*intakeConn]time.Time{}, meanBytes: initialRequestBytes}
}

// backlog returns how long the link takes for what is on its way to this VM and then to endpoints: the requests that
// still arrive are sent on after those that have arrived.
func (i *intake) backlog() time.Duration { return i.downlinkWait() + i.uplinkWait() }

// downlinkWait returns how long the link takes for the requests that are on their way to this VM.
func (i *intake) downlinkWait() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.now()
	for c, openedAt := range i.awaited {
		if now.Sub(openedAt) > firstRequestWait {
			delete(i.awaited, c)
		}
	}
	bytes := float64(i.unread) + float64(len(i.awaited))*i.meanBytes
	return time.Duration(bytes * 8 / i.bitsPerSecond * float64(time.Second))
}

// opened records a new connection.
func (i *intake) opened(c *intakeConn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.awaited[c] = i.now()
}

// closed records that a connection was closed.
func (i *intake) closed(c *intakeConn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.awaited, c)
}

// reading records that the head of a request has arrived. The function that it returns is called once the body
// was read.
func (i *intake) reading(r *http.Request) (done func()) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if c, ok := r.Context().Value(intakeConnKey{}).(*intakeConn); ok {
		delete(i.awaited, c)
	}
	size := max(0, r.ContentLength)
	i.meanBytes += requestSizeWeight * (float64(size) - i.meanBytes)
	i.unread += size
	return sync.OnceFunc(func() {
		i.mu.Lock()
		defer i.mu.Unlock()
		i.unread -= size
	})
}

// intakeConnKey is the context key of the connection of a request.
type intakeConnKey struct{}

// connContext is the ConnContext of a server whose listener is an intakeListener, or a headListener of one.
func connContext(ctx context.Context, c net.Conn) context.Context {
	if head, ok := c.(*headConn); ok {
		ctx = context.WithValue(ctx, headConnKey{}, head)
		c = head.Conn
	}
	return context.WithValue(ctx, intakeConnKey{}, c)
}

// intakeConn is a caller's connection.
type intakeConn struct {
	net.Conn
	intake *intake
	once   sync.Once
}

// Close implements net.Conn.
func (c *intakeConn) Close() error {
	c.once.Do(func() { c.intake.closed(c) })
	return c.Conn.Close()
}

// intakeListener refuses connections while the VM's link is busy: it closes the listening socket and opens it
// again. It implements net.Listener; Accept must not be called concurrently.
type intakeListener struct {
	intake *intake
	listen func() (net.Listener, error)
	addr   net.Addr

	mu sync.Mutex
	// open is the listening socket, nil while connections are refused.
	open   net.Listener
	closed bool

	// acceptedAt is when the last connection was accepted, and loggedAt the time of the last log line. They
	// belong to Accept.
	acceptedAt, loggedAt time.Time
}

// newIntakeListener opens a listener with listen, which is called again for each opening.
func newIntakeListener(i *intake, listen func() (net.Listener, error)) (*intakeListener, error) {
	first, err := listen()
	if err != nil {
		return nil, err
	}
	return &intakeListener{intake: i, listen: listen, addr: first.Addr(), open: first}, nil
}

// Addr implements net.Listener.
func (l *intakeListener) Addr() net.Addr { return l.addr }

// Close implements net.Listener.
func (l *intakeListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.open == nil {
		return nil
	}
	return l.open.Close()
}

// Accept implements net.Listener. The error is net.ErrClosed once the listener is closed.
func (l *intakeListener) Accept() (net.Conn, error) {
	for {
		socket, err := l.reopen()
		if err != nil {
			return nil, err
		}
		nc, err := socket.Accept()
		if err != nil {
			if l.isOpen(socket) {
				return nil, err
			}
			continue
		}
		if wait := l.intake.backlog(); wait > maxLinkBacklog && clock.Since(l.acceptedAt) < maxRefusing {
			abort(nc)
			l.pause(wait)
			continue
		}
		l.acceptedAt = clock.Now()
		c := &intakeConn{Conn: nc, intake: l.intake}
		l.intake.opened(c)
		return c, nil
	}
}

// abort closes a connection unread.
func abort(c net.Conn) {
	intakeAborted.Inc()
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // otherwise the kernel would take in the rest of the request
	}
	_ = c.Close() // nothing was read or written
}

// isOpen reports whether a listening socket is the open one.
func (l *intakeListener) isOpen(socket net.Listener) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open == socket
}

// pause refuses connections until a backlog has drained.
func (l *intakeListener) pause(backlog time.Duration) {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return
	}
	_ = l.open.Close() // its connections in the queue are refused too
	l.open = nil
	l.mu.Unlock()
	intakePauses.Inc()
	l.logPause(backlog)
	time.Sleep(min(max(backlog-maxLinkBacklog/2, minClosed), maxClosed))
}

func (l *intakeListener) logPause(backlog time.Duration) {
	if clock.Since(l.loggedAt) < intakeLogInterval {
		return
	}
	l.loggedAt = clock.Now()
	klog.InfoS("gateway: refusing connections for a moment, the network link is busy", "backlogMS", backlog.Milliseconds(), "pauses", intakePauses.Get())
}

// reopen returns the listening socket and opens it if necessary.
func (l *intakeListener) reopen() (net.Listener, error) {
	for {
		l.mu.Lock()
		switch {
		case l.closed:
			l.mu.Unlock()
			return nil, net.ErrClosed
		case l.open != nil:
			defer l.mu.Unlock()
			return l.open, nil
		}
		socket, err := l.listen()
		if err == nil {
			l.open = socket
		}
		l.mu.Unlock()
		if err != nil {
			klog.ErrorS(err, "gateway: the callers' port cannot be opened again, will be tried again")
			time.Sleep(minClosed)
		}
	}
}
