// Package h1 is a client of HTTP/1.1 servers that keeps its connections itself.
//
// http.Transport hides three things that this product must know: whether any
// byte of a request may have left, which connection a request goes out on, and
// what a server sends beyond the answers it owes. A Pool shows all three: its
// failures say whether anything was sent, a kept connection is looked at before
// it is used again, and an answer that belongs to an earlier request is told
// apart by the Accept function of the request.
//
// Heads are parsed by net/http.
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
	// readBuffer holds the head of an answer and a small body.
	readBuffer = 4 << 10
	// maxStray bounds the answers of earlier requests that are read past.
	maxStray = 2
)

// Options are the limits of a Pool. Zero values take the defaults.
type Options struct {
	// Network dials; the zero value is TCP.
	Network network.Network
	// ConnectTimeout bounds one dial (default 120 ms: many round trips within a
	// region; a lost opening packet is sent again only after a second, and by then
	// the request is better sent elsewhere).
	ConnectTimeout time.Duration
	// UserTimeout is TCP_USER_TIMEOUT: how long written bytes may stay
	// unacknowledged before the connection counts as dead (default 2 s).
	UserTimeout time.Duration
	// KeepAlive is how long a connection may be quiet before the kernel probes the
	// peer; one that does not acknowledge for UserTimeout counts as dead. Zero
	// leaves the system's default, which is far longer than any request.
	KeepAlive time.Duration
	// MaxIdleTime is how long an unused connection is kept at most
	// (default 4 s). A server's Keep-Alive answer shortens it.
	MaxIdleTime time.Duration
	// MaxIdle is the number of unused connections kept (default 32).
	MaxIdle int
}

// Defaults of Options.
const (
	DefaultConnectTimeout = 120 * time.Millisecond
	DefaultUserTimeout    = 2 * time.Second
	DefaultMaxIdleTime    = 4 * time.Second
	DefaultMaxIdle        = 32
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
	return o
}

// Pool keeps the connections to one address. It is safe for concurrent use.
type Pool struct {
	address string
	opts    Options

	// mu guards the fields below. It is a leaf and is not held during I/O.
	mu     sync.Mutex
	idle   []*conn
	closed bool
}

// conn is one connection. It belongs to one exchange at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// idleSince is when the last exchange ended, and keep how long the server
	// keeps the connection after that.
	idleSince time.Time
	keep      time.Duration
}

// NewPool returns a pool for address (host:port). It connects when first used.
func NewPool(address string, o Options) *Pool {
	return &Pool{address: address, opts: o.withDefaults()}
}

// Address is the address that the pool connects to.
func (p *Pool) Address() string { return p.address }

// Close closes the unused connections; those in use are closed when they end.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	closeAll(idle)
}

// dropIdle closes all unused connections. Connections may fall silent together,
// without a reset, while new ones work; each would cost a request to find out.
func (p *Pool) dropIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	closeAll(idle)
}

// Prune closes connections that have been unused for too long.
func (p *Pool) Prune(now time.Time) {
	p.mu.Lock()
	n := 0
	for n < len(p.idle) && now.Sub(p.idle[n].idleSince) >= p.idle[n].keep {
		n++
	}
	old := p.idle[:n:n]
	p.idle = p.idle[n:]
	p.mu.Unlock()
	closeAll(old)
}

func closeAll(conns []*conn) {
	for _, c := range conns {
		_ = c.Close() // nothing is owed on an unused connection
	}
}

// take returns a kept connection that has been unused for less than maxIdle and
// on which the server has neither closed nor sent anything, or nil.
func (p *Pool) take(maxIdle time.Duration) *conn {
	for {
		c := p.newest()
		if c == nil {
			return nil
		}
		unused := clock.Since(c.idleSince)
		if unused < min(c.keep, maxIdle) && quiet(c.Conn) {
			return c
		}
		_ = c.Close()
	}
}

func (p *Pool) newest() *conn {
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

// put keeps a connection for the next exchange.
func (p *Pool) put(c *conn) {
	c.idleSince = clock.Now()
	p.addIdle(c)
}

// giveBack keeps a connection that was taken and not used. To the server, one that was used
// before has been idle all the while.
func (p *Pool) giveBack(c *conn) {
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

// Connect opens a connection and keeps it for the next request. The error is of package net.
func (p *Pool) Connect(ctx context.Context) error {
	c, err := p.dial(ctx)
	if err != nil {
		return err
	}
	p.put(c)
	return nil
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.opts.ConnectTimeout)
	defer cancel()
	nc, err := p.opts.Network.Connect(ctx, p.address)
	if err != nil {
		return nil, err
	}
	setUserTimeout(nc, p.opts.UserTimeout)
	if err := setKeepAlive(nc, p.opts.KeepAlive); err != nil {
		_ = nc.Close()
		return nil, err
	}
	return &conn{Conn: nc, reader: bufio.NewReaderSize(nc, readBuffer), keep: p.opts.MaxIdleTime}, nil
}

// setUserTimeout makes the kernel give up on a peer that acknowledges nothing.
// A connection that is no TCP socket (tests) has no such option.
func setUserTimeout(nc net.Conn, d time.Duration) {
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return // the socket is closed already; its next use says so
	}
	_ = raw.Control(func(fd uintptr) {
		// Without the option only the answer's own time limit ends the wait.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
}

// setKeepAlive makes the kernel probe a quiet peer.
func setKeepAlive(nc net.Conn, idle time.Duration) error {
	tcp, ok := nc.(*net.TCPConn)
	if !ok || idle == 0 {
		return nil
	}
	return tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: idle, Interval: idle, Count: keepAliveProbes})
}

// keepAliveProbes is the number of probes without an answer after which a connection
// counts as dead. One may be lost on the way.
const keepAliveProbes = 2

// quiet tells whether an unused connection is open and has nothing to read. A
// server that has closed it, or sent bytes that belong to no request, has spoilt it.
func quiet(nc net.Conn) bool {
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

// keepAlive returns how long the server of an answer keeps its connection after it,
// with a margin for the way there, or limit if it does not say.
func keepAlive(h http.Header, limit time.Duration) time.Duration {
	for _, v := range h.Values("Keep-Alive") {
		if s, ok := parameter(v, "timeout"); ok {
			if n, err := strconv.Atoi(s); err == nil {
				return min(limit, time.Duration(n)*time.Second*3/4)
			}
		}
	}
	return limit
}
