// Package standin runs the HTTP server of a stand-in and shuts it down gracefully when the
// process is stopped.
package standin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/springweir/springweir/internal/loop"
)

const (
	headerTimeout = 5 * time.Second
	// idleTimeout must exceed the time for which clients keep idle connections.
	idleTimeout = time.Minute
	// drainPoll is the interval at which drain checks for open requests.
	drainPoll = 50 * time.Millisecond
	// stopTimeout allows responses of handlers that have just returned to be sent.
	stopTimeout = time.Second
)

// Server is the HTTP server of one stand-in.
type Server struct {
	// Name is the prefix of the log lines; Listen is the address to listen on (host:port).
	Name    string
	Listen  string
	Handler http.Handler
	// Endpoint is set for a stand-in that drains before it stops; nil for others.
	Endpoint *Endpoint
	// Grace is the maximum time to wait for open requests after the server is stopped.
	Grace time.Duration
}

// Endpoint holds the callbacks with which a stand-in drains before it stops.
type Endpoint struct {
	// Leave makes the stand-in refuse new work; Open returns the number of requests in flight.
	Leave func()
	Open  func() int
	// Run runs concurrently with the handler until its context ends; it may be nil.
	Run func(context.Context)
	// Linger is the minimum time for which the stand-in stays reachable after Leave, so
	// that every client can observe that it is leaving. Grace limits it.
	Linger time.Duration
}

// Serve listens and serves until ctx ends, then drains open requests and stops. It logs
// the bound address as "<name>: listening on <address>".
func (s *Server) Serve(ctx context.Context) error {
	ln, err := new(net.ListenConfig).Listen(ctx, "tcp", s.Listen)
	if err != nil {
		return eris.Wrap(err, s.Name)
	}
	return s.serve(ctx, ln)
}

func (s *Server) serve(ctx context.Context, ln net.Listener) error {
	klog.Infof("%s: listening on %s", s.Name, ln.Addr())
	server := &http.Server{
		Handler:           s.Handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
	}
	// Endpoint.Run must continue after ctx ends, until the open requests are drained.
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group errgroup.Group
	group.Go(func() error {
		defer stop()
		if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			return eris.Wrap(err, s.Name)
		}
		return nil
	})
	if s.Endpoint != nil && s.Endpoint.Run != nil {
		group.Go(func() error {
			s.Endpoint.Run(serveCtx)
			return nil
		})
	}
	select {
	case <-ctx.Done():
		s.stop(serveCtx, server)
	case <-serveCtx.Done():
	}
	return group.Wait()
}

// stop shuts the server down. Requests still open after the grace period are aborted; for
// an endpoint their number is logged.
func (s *Server) stop(serveCtx context.Context, server *http.Server) {
	if s.Endpoint == nil {
		shutdown(server, s.Grace)
		return
	}
	s.Endpoint.drain(serveCtx, s.Grace)
	if n := s.Endpoint.Open(); n > 0 {
		klog.Warningf("%s: stopping with %d requests open", s.Name, n)
	}
	shutdown(server, stopTimeout)
}

// shutdown refuses new connections and closes the remaining ones after the timeout.
func shutdown(server *http.Server, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		server.Close()
	}
}

// drain calls Leave, then waits for Linger and until no request is open, at most for grace
// and only while the server runs.
func (e *Endpoint) drain(serveCtx context.Context, grace time.Duration) {
	e.Leave()
	alive := loop.Sleep(serveCtx, min(e.Linger, grace))
	for waited := e.Linger; alive && e.Open() > 0 && waited < grace; waited += drainPoll {
		alive = loop.Sleep(serveCtx, drainPoll)
	}
}
