// Package network says how a process is reached and reaches others, so that
// whole processes run in memory and in virtual time in tests.
package network

import (
	"context"
	"net"
	"net/http"
)

// Network is how a process listens and dials.
type Network struct {
	// Listen opens a socket at an address (host:port).
	Listen func(address string) (net.Listener, error)
	// Dial opens connections; nil dials TCP.
	Dial func(ctx context.Context, kind, address string) (net.Conn, error)
}

// TCP is the network of the operating system.
func TCP() Network {
	return Network{Listen: func(address string) (net.Listener, error) { return net.Listen("tcp", address) }}
}

// ApplyTo makes a transport use the network.
func (n Network) ApplyTo(t *http.Transport) *http.Transport {
	if n.Dial != nil {
		t.DialContext = n.Dial
	}
	return t
}

// Connect opens a connection to an address. The error is of package net.
func (n Network) Connect(ctx context.Context, address string) (net.Conn, error) {
	if n.Dial != nil {
		return n.Dial(ctx, "tcp", address)
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}
