package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/springweir/springweir/caller"
	"github.com/springweir/springweir/caller/wire"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/internal/loop"
	"github.com/springweir/springweir/peer/viewpb"
)

const (
	// readHeaderTimeout bounds the time that a caller may take to send its headers.
	readHeaderTimeout = 10 * time.Second
	// leaveTimeout bounds the end of a planned stop, after all requests have ended: the
	// wait for removal from the roster and for responses to be stored.
	leaveTimeout = 10 * time.Second
	// drainPollInterval is the interval at which open requests of other zones are checked.
	drainPollInterval = 50 * time.Millisecond
)

// requestCount counts open requests.
type requestCount struct{ open atomic.Int64 }

func (c *requestCount) begin() { c.open.Add(1) }
func (c *requestCount) end()   { c.open.Add(-1) }

// servers are the HTTP servers of an entry.
type servers struct{ callers, peers, metrics *http.Server }

// serve starts the servers.
func (e *Entry) serve(g *errgroup.Group) *servers {
	path, peers := e.server.Handler()
	mux := http.NewServeMux()
	mux.Handle(path, peers)
	view := viewpb.NewViewServer(&viewServer{e})
	mux.Handle(view.PathPrefix(), view)
	// Entries of other zones forward requests to this address.
	mux.HandleFunc("/", e.serveForwarded)
	s := &servers{
		callers: newServer(withoutHopHeader(e)),
		peers:   newServer(mux),
		metrics: newServer(e.admin()),
	}
	for _, binding := range []struct {
		server *http.Server
		socket net.Listener
	}{{s.callers, e.listeners.callers}, {s.peers, e.listeners.peers}, {s.metrics, e.listeners.metrics}} {
		g.Go(func() error {
			if err := binding.server.Serve(binding.socket); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		})
	}
	return s
}

// withoutHopHeader removes the header that marks a request as forwarded by another zone's
// entry. Only entries, which use the peer address, may set it.
func withoutHopHeader(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Header.Del(wire.HeaderHop)
		h.ServeHTTP(w, r)
	})
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
}

func (s *servers) close() {
	for _, server := range []*http.Server{s.callers, s.peers, s.metrics} {
		_ = server.Close()
	}
}

// admin serves the load balancer's health check and the metrics.
//
//	GET /healthz  200 while the process runs
//	GET /readyz   200 while the balancer should send callers here, else 503
//	GET /metrics  counters in the Prometheus text format
func (e *Entry) admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", e.ready)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	return mux
}

// serveForwarded serves a request forwarded by another zone's entry. During a planned stop
// it rejects the request as not run, so that the other entry chooses another target.
func (e *Entry) serveForwarded(w http.ResponseWriter, r *http.Request) {
	if e.refusing.Load() {
		caller.WriteFailure(w, r, &failure.Request{
			Code: failure.Stopping, Ran: failure.NotRun, RetryAfter: defaultRetryAfter, Message: "this VM is stopping",
		})
		return
	}
	e.ServeHTTP(w, r)
}

// stop performs a planned stop. The order matters: callers must have been directed to other
// VMs before this VM rejects them. It leaves the roster last, since it may start nothing
// afterwards: requests still waiting for an endpoint would be rejected, and streams that
// need to continue on another endpoint would be interrupted. Until it has left it responds
// to its peers, so that it delays no configuration change.
func (e *Entry) stop(s *servers) {
	klog.Infof("entry: stopping, %d requests open", e.requests.open.Load())
	e.stopping.Store(true)
	time.Sleep(e.process.BalancerDelay)
	e.refusing.Store(true)
	grace, cancel := context.WithTimeout(context.Background(), e.process.StopGrace)
	defer cancel()
	if err := s.callers.Shutdown(grace); err != nil {
		klog.Warningf("entry: %d requests were still open after the grace period", e.requests.open.Load())
	}
	e.drainForwarded(grace)
	e.upstreams.wait()
	finalCtx, cancelFinal := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancelFinal()
	stored := e.storeResponses()
	e.leaveRoster(finalCtx)
	select {
	case <-stored:
	case <-finalCtx.Done():
		klog.Warningf("entry: not all responses of completed calls were stored; repeats of those calls get an unknown outcome")
	}
}

// leaveRoster removes the VM from the roster, which also ends its permission to start work.
func (e *Entry) leaveRoster(ctx context.Context) {
	if err := e.syncer.Leave(ctx); err != nil {
		klog.Warningf("entry: VM was not removed from the roster: %v", err)
	}
}

// storeResponses waits in the background until all pending writes of claims are done, and
// then closes the channel.
func (e *Entry) storeResponses() <-chan struct{} {
	stored := make(chan struct{})
	go func() {
		defer close(stored)
		e.upstreams.claims.Wait()
	}()
	return stored
}

// drainForwarded waits until requests forwarded by other zones have ended, or grace ends.
func (e *Entry) drainForwarded(grace context.Context) {
	withinGrace := true
	for withinGrace && e.requests.open.Load() > 0 {
		withinGrace = loop.Sleep(grace, drainPollInterval)
	}
}

// watchMembers reads the platform's membership list until ctx ends.
func (e *Entry) watchMembers(ctx context.Context) {
	e.leavingSet.WatchList(ctx, &endpointList{entry: e})
}
