// Package httponce sends each HTTP request at most once, without retries and
// redirects, and reports whether any byte of the request may have left this
// process.
//
// http.Transport retries a request on its own if a reused connection fails and
// the request is replayable: it has no body or a GetBody function, and a method
// such as GET or an Idempotency-Key (or X-Idempotency-Key) header. Send prevents
// that, and NewTransport can disable connection reuse.
//
// Send is meant for streams and for peers with their own limits. Sender makes
// calls with a time and size limit and buffers the response; the clients of the
// platform use it.
package httponce

import (
	"context"
	"net"
	"net/http"
	"time"
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// TransportOptions configures a transport.
type TransportOptions struct {
	// Dial opens connections; nil dials TCP.
	Dial DialFunc
	// ConnectTimeout bounds one dial, HeaderTimeout the wait for the response head.
	ConnectTimeout time.Duration
	HeaderTimeout  time.Duration
	// KeepAlive is how long an idle connection is kept. Zero opens a connection
	// for each request. It must be less than the endpoint's own limit, or
	// requests are lost on connections that the endpoint closes.
	KeepAlive time.Duration
	// MaxIdle bounds the number of idle connections to one host.
	MaxIdle int
}

// maxHeaderBytes bounds the response head.
const maxHeaderBytes = 64 << 10

// NewTransport returns an HTTP/1.1 transport whose connections track whether data was
// written, as Send requires.
func NewTransport(o TransportOptions) *http.Transport {
	dial := o.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: o.ConnectTimeout}).DialContext
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, o.ConnectTimeout)
			defer cancel()
			c, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: c}, nil
		},
		DisableKeepAlives:      o.KeepAlive == 0,
		DisableCompression:     true,
		IdleConnTimeout:        o.KeepAlive,
		MaxIdleConnsPerHost:    o.MaxIdle,
		ResponseHeaderTimeout:  o.HeaderTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}
