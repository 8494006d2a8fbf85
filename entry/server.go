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
	// readHeaderTimeout bounds how long a caller may take over its headers.
	readHeaderTimeout = 10 * time.Second
	// leaveTimeout bounds the end of a planned stop, when all requests have
	// ended: the wait to be taken off the roster, and for answers to be kept.
	leaveTimeout = 10 * time.Second
	// drainPoll is the time between two looks at what other zones still wait for.
	drainPoll = 50 * time.Millisecond
)

// requestCount counts requests under way.
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
	// Entries of other zones pass requests on to this address.
	mux.HandleFunc("/", e.hopped)
	s := &servers{
		callers: newServer(fromCallers(e)),
		peers:   newServer(mux),
		metrics: newServer(e.admin()),
	}
	for _, pair := range []struct {
		server *http.Server
		socket net.Listener
	}{{s.callers, e.listeners.callers}, {s.peers, e.listeners.peers}, {s.metrics, e.listeners.metrics}} {
		g.Go(func() error {
			if err := pair.server.Serve(pair.socket); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		})
	}
	return s
}

// fromCallers takes away the mark of a request that another zone's entry has
// passed on: only entries, which use the peers' address, may set it.
func fromCallers(h http.Handler) http.Handler {
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

// admin serves the balancer's health check and the metrics.
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

// hopped takes a request of another zone's entry, until a planned stop refuses
// it as not run: that entry then chooses anew.
func (e *Entry) hopped(w http.ResponseWriter, r *http.Request) {
	if e.refusing.Load() {
		caller.WriteFailure(w, r, &failure.Request{
			Code: failure.Stopping, Ran: failure.NotRun, RetryAfter: comeBack, Message: "this VM is stopping",
		})
		return
	}
	e.ServeHTTP(w, r)
}

// stop carries out a planned stop. The order matters: callers must have been
// sent elsewhere before this VM refuses them. It leaves the roster last, since
// from then on it may start nothing: requests that still wait for an endpoint
// would be refused, and streams that have to go on elsewhere cut. Until it has
// left it answers its peers, so that it holds up no change.
func (e *Entry) stop(s *servers) {
	klog.Infof("entry: stopping, %d requests open", e.requests.open.Load())
	e.stopping.Store(true)
	time.Sleep(e.process.BalancerDelay)
	e.refusing.Store(true)
	grace, cancel := context.WithTimeout(context.Background(), e.process.StopGrace)
	defer cancel()
	if err := s.callers.Shutdown(grace); err != nil {
		klog.Warningf("entry: %d requests were still open after the grace time", e.requests.open.Load())
	}
	e.drainPeers(grace)
	e.upstreams.wait()
	last, cancelLast := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancelLast()
	kept := e.keepAnswers()
	e.leaveRoster(last)
	select {
	case <-kept:
	case <-last.Done():
		klog.Warningf("entry: answers of calls that ran are not all kept; repeats of those are told unknown")
	}
}

// leaveRoster also ends the permission to start anything.
func (e *Entry) leaveRoster(ctx context.Context) {
	if err := e.syncer.Leave(ctx); err != nil {
		klog.Warningf("entry: still on the roster: %v", err)
	}
}

// keepAnswers waits for the claims' writes in the background. The channel is
// closed once there is none.
func (e *Entry) keepAnswers() <-chan struct{} {
	kept := make(chan struct{})
	go func() {
		defer close(kept)
		e.upstreams.claims.Wait()
	}()
	return kept
}

// drainPeers waits until requests that came through other zones have ended.
func (e *Entry) drainPeers(grace context.Context) {
	alive := true
	for alive && e.requests.open.Load() > 0 {
		alive = loop.Sleep(grace, drainPoll)
	}
}

// watchMembers reads the platform's list until ctx ends.
func (e *Entry) watchMembers(ctx context.Context) {
	e.leave.WatchList(ctx, &endpointList{entry: e})
}
