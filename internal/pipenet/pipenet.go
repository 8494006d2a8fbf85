// Package pipenet connects HTTP clients and servers in memory, so that their tests can
// run in virtual time.
package pipenet

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// Listener is a net.Listener whose connections come from Dial.
type Listener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
	dials  atomic.Int64
}

// Listen returns an open Listener.
func Listen() *Listener {
	return &Listener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

// Dial connects to the listener whatever the address. It fails with net.ErrClosed
// after Close, or with the error of ctx.
func (l *Listener) Dial(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		l.dials.Add(1)
		return client, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Dials returns the number of connections made.
func (l *Listener) Dials() int { return int(l.dials.Load()) }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. Existing connections stay open.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return addr{} }

type addr struct{}

func (addr) Network() string { return "pipe" }

func (addr) String() string { return "pipe" }
