// Package h1 is an HTTP/1.1 client with its own connection pool.
//
// http.Transport does not expose whether any byte of a request may have been
// sent, which connection a request uses, and unsolicited data from the server.
// With a Pool, errors report whether anything was sent, an idle connection is
// checked before it is reused, and a response to an earlier request is detected
// by the Accept function of the request.
//
// Response heads are parsed by net/http.
package h1

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/internal/network"
)

const (
	// readBufferSize, in bytes, fits a response head and a small body.
	readBufferSize = 4 << 10
	// maxStrayResponses bounds the responses to earlier requests that one exchange discards.
	maxStrayResponses = 2
)

// Options configures a Pool. Zero values select the defaults.
type Options struct {
	// Network dials; the zero value is TCP.
	Network network.Network
	// ConnectTimeout bounds one dial. The default of 120 ms allows many round trips within a
	// region. A lost SYN is retransmitted only after a second, and by then another endpoint
	// is the better choice.
	ConnectTimeout time.Duration
	// UserTimeout is TCP_USER_TIMEOUT: how long written data may stay unacknowledged, or
	// unread in the peer's full buffer, before the kernel closes the connection (default 5 s).
	UserTimeout time.Duration
	// KeepAlive is the idle time after which the kernel sends TCP keep-alive probes, and the
	// time between them. The kernel rounds it up to whole seconds. The first probe that is due after
	// UserTimeout without any segment from the peer closes the connection; the number of
	// probes does not matter. Zero sends no probes: UserTimeout would apply to them, and the
	// exchanges have timeouts of their own.
	KeepAlive time.Duration
	// MaxIdleTime bounds how long an idle connection is kept (default 4 s). A Keep-Alive
	// header in a response can shorten it.
	MaxIdleTime time.Duration
	// MaxIdle bounds the number of idle connections (default 32).
	MaxIdle int
	// Limits bounds responses.
	Limits Limits
}

// Defaults of Options.
const (
	DefaultConnectTimeout = 120 * time.Millisecond
	// DefaultUserTimeout is above the silences of live peers, which may leave a long body unread
	// for a second or two.
	DefaultUserTimeout = 5 * time.Second
	DefaultMaxIdleTime = 4 * time.Second
	DefaultMaxIdle     = 32
)

func (o Options) withDefaults() Options {
	if o.ConnectTimeout == 0 {
		o.ConnectTimeout = DefaultConnectTimeout
	}
	if o.UserTimeout == 0 {
		o.UserTimeout = DefaultUserTimeout
	}
	if o.MaxIdleTime == 0 {
		o.MaxIdleTime = DefaultMaxIdleTime
	}
	if o.MaxIdle == 0 {
		o.MaxIdle = DefaultMaxIdle
	}
	o.Limits = o.Limits.withDefaults()
	return o
}

// Pool is a connection pool for one address. It is safe for concurrent use.
type Pool struct {
	address string
	opts    Options

	// mu guards the fields below. It is a leaf lock and is not held during I/O.
	mu     sync.Mutex
	idle   []*conn
	closed bool
}

// conn is a connection, used by one exchange at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// source is what reader reads from.
	source headSource
	// idleSince is when the last exchange ended. keepFor is how long the connection may
	// stay idle after that.
	idleSince time.Time
	keepFor   time.Duration
}

// NewPool returns a pool for address (host:port). Connections are opened on demand.
func NewPool(address string, o Options) *Pool {
	return &Pool{address: address, opts: o.withDefaults()}
}

// Address returns the address that the pool connects to.
func (p *Pool) Address() string { return p.address }

// Close closes the idle connections. Those in use are closed when their exchange ends.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	closeAll(idle)
}

// HasIdle reports whether there is an idle connection that may be used again. The server may have
// closed it.
func (p *Pool) HasIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return false
	}
	newest := p.idle[len(p.idle)-1]
	return clock.Since(newest.idleSince) < newest.keepFor
}

// DropIdle closes all idle connections. Existing connections may become unresponsive
// together, without a reset, while new ones work; detecting each one would cost a request.
func (p *Pool) DropIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	closeAll(idle)
}

// Prune closes connections whose idle time at now exceeds their limit.
func (p *Pool) Prune(now time.Time) {
	p.mu.Lock()
	n := 0
	for n < len(p.idle) && now.Sub(p.idle[n].idleSince) >= p.idle[n].keepFor {
		n++
	}
	old := p.idle[:n:n]
	p.idle = p.idle[n:]
	p.mu.Unlock()
	closeAll(old)
}

func closeAll(conns []*conn) {
	for _, c := range conns {
		_ = c.Close() // no exchange uses an idle connection
	}
}

// takeIdle returns an idle connection that has been unused for less than maxIdle and that
// the server has neither closed nor sent data on. It returns nil if there is none.
func (p *Pool) takeIdle(maxIdle time.Duration) *conn {
	for {
		c := p.popIdle()
		if c == nil {
			return nil
		}
		unused := clock.Since(c.idleSince)
		if unused < min(c.keepFor, maxIdle) && isIdle(c.Conn) {
			return c
		}
		_ = c.Close()
	}
}

func (p *Pool) popIdle() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle[n-1] = nil
	p.idle = p.idle[:n-1]
	return c
}

// putIdle returns a connection to the pool after an exchange.
func (p *Pool) putIdle(c *conn) {
	c.idleSince = clock.Now()
	p.addIdle(c)
}

// putUnused returns a connection to the pool that was acquired but not used. A connection that
// was used before keeps its idleSince, since the server has seen it idle all the time.
func (p *Pool) putUnused(c *conn) {
	if c.idleSince.IsZero() {
		c.idleSince = clock.Now()
	}
	p.addIdle(c)
}

func (p *Pool) addIdle(c *conn) {
	p.mu.Lock()
	var old *conn
	switch {
	case p.closed:
		old = c
	case len(p.idle) >= p.opts.MaxIdle:
		old = p.idle[0]
		p.idle = append(p.idle[1:], c)
	default:
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if old != nil {
		_ = old.Close()
	}
}

// Connect opens a connection and adds it to the pool. The error is of package net.
func (p *Pool) Connect(ctx context.Context) error {
	c, err := p.dial(ctx)
	if err != nil {
		return err
	}
	p.putIdle(c)
	return nil
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.opts.ConnectTimeout)
	defer cancel()
	nc, err := p.opts.Network.Connect(ctx, p.address)
	if err != nil {
		return nil, err
	}
	SetUserTimeout(nc, p.opts.UserTimeout)
	if err := setKeepAlive(nc, p.opts.KeepAlive); err != nil {
		_ = nc.Close()
		return nil, err
	}
	c := &conn{Conn: nc, source: headSource{pool: p, source: nc}, keepFor: p.opts.MaxIdleTime}
	c.reader = bufio.NewReaderSize(&c.source, readBufferSize)
	return c, nil
}

// SetUserTimeout sets TCP_USER_TIMEOUT (see Options.UserTimeout). It does nothing for a connection that is not a
// TCP socket, as in tests.
func SetUserTimeout(nc net.Conn, d time.Duration) {
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return // the socket is already closed; its next use fails
	}
	_ = raw.Control(func(fd uintptr) {
		// If this fails, only the timeout of the response ends the wait.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
}

// setKeepAlive enables TCP keep-alive probes after idle, or disables them if idle is zero.
func setKeepAlive(nc net.Conn, idle time.Duration) error {
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return nil
	}
	if idle == 0 {
		return tcp.SetKeepAlive(false)
	}
	return tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: idle, Interval: idle})
}

// isIdle reports whether an unused connection is open and has no data to read. It can't be
// reused once the server has closed it or sent unsolicited data.
func isIdle(nc net.Conn) bool {
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := unix.Read(int(fd), b[:])
		empty = err == unix.EAGAIN
		return true
	})
	return err == nil && empty
}

// keepAliveTimeout returns three quarters of the timeout in the response's Keep-Alive header,
// at most limit; the margin covers the transit of a request. Without the header it returns limit.
func keepAliveTimeout(h http.Header, limit time.Duration) time.Duration {
	for _, v := range h.Values("Keep-Alive") {
		if s, ok := parameter(v, "timeout"); ok {
			if n, err := strconv.Atoi(s); err == nil {
				return min(limit, time.Duration(n)*time.Second*3/4)
			}
		}
	}
	return limit
}
