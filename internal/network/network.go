// Package network abstracts listening and dialling, so that tests can run whole
// processes in memory and in virtual time.
package network

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Network provides the functions with which a process listens and dials.
type Network struct {
	// Listen opens a listener at an address (host:port).
	Listen func(address string) (net.Listener, error)
	// Dial opens connections; nil dials TCP.
	Dial func(ctx context.Context, kind, address string) (net.Conn, error)
}

// TCP returns the TCP network of the operating system.
func TCP() Network {
	return Network{Listen: func(address string) (net.Listener, error) { return net.Listen("tcp", address) }}
}

// ApplyTo makes t dial over the network and returns t.
func (n Network) ApplyTo(t *http.Transport) *http.Transport {
	if n.Dial != nil {
		t.DialContext = n.Dial
	}
	return t
}

// HTTPClient returns a client that opens connections over the network. A connect timeout of zero means
// that of the request; idle connections are closed after idleTimeout.
func (n Network) HTTPClient(connectTimeout, idleTimeout time.Duration) *http.Client {
	dial := func(ctx context.Context, _, address string) (net.Conn, error) {
		if connectTimeout > 0 {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, connectTimeout)
			defer cancel()
		}
		return n.Connect(ctx, address)
	}
	return &http.Client{Transport: &http.Transport{
		DialContext: dial, IdleConnTimeout: idleTimeout, MaxResponseHeaderBytes: maxHeadBytes,
	}}
}

// maxHeadBytes bounds the head of a response, with the interim responses before it; net/http reads up to 10 MB.
const maxHeadBytes = 64 << 10

// Connect opens a connection to an address (host:port). Over TCP, the error is of package net.
func (n Network) Connect(ctx context.Context, address string) (net.Conn, error) {
	if n.Dial != nil {
		return n.Dial(ctx, "tcp", address)
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}
