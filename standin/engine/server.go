// Package engine is a simulated model engine for tests. It runs the timing model of package
// enginemodel in real time behind the HTTP interface of package engine, with fault injection.
//
// The text of a response depends only on prompt and position, so a test can check that a
// response is complete, belongs to its request and has no gap or foreign part. Nothing else is
// computed.
package engine

import (
	"context"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/standin/enginemodel"
	"github.com/springweir/springweir/weightstore"
)

// Options configures a simulated engine.
type Options struct {
	// Address is the address that a KVRef gives to importers.
	// Incarnation must be new at each start.
	Address     string
	Incarnation string
	Role        engine.Role
	Loaded      []weightstore.Artifact
	Params      enginemodel.Params
	// Speed is the number of model seconds per real second; zero means 1.
	Speed float64
	// CheckFence refuses orders with a stale fencing token.
	CheckFence bool
	// ReportLag is the minimum age of the reported load, EventLag that of the cache events.
	ReportLag time.Duration
	EventLag  time.Duration
	// EventGap drops every n-th cache event; zero drops none.
	EventGap uint64
	// BadVersion is a version of weights that fails to load; empty means none.
	BadVersion string
	// CrashInOrder is the point of the first order at which Crash is called.
	CrashInOrder enginemodel.CrashPoint
	// Fetch fetches KV caches from other stand-ins; nil means http.DefaultClient.
	Fetch *http.Client
	// Crash ends the process. It must not return in a real process; in a test it may, and the
	// server then aborts all requests except /admin/.
	Crash func()
}

// heartbeat is the interval of the empty lines sent on a stream.
const heartbeat = time.Second

// Server is a simulated engine. mu is the only lock; nothing blocks while it is held.
type Server struct {
	opts  Options
	start time.Time
	// wake makes Run advance the model after new input.
	wake chan struct{}
	mux  *http.ServeMux

	mu       sync.Mutex
	model    *enginemodel.Engine
	nextID   enginemodel.JobID
	attempts map[string]*attempt
	byJob    map[enginemodel.JobID]*attempt
	exports  map[string]export
	streams  int
	leaving  bool
	// frozen is non-nil while the engine is frozen; Thaw closes it.
	frozen chan struct{}
	// frozenAt is the model time while frozen; frozenTotal is the real time spent frozen so far.
	frozenAt    time.Duration
	frozenTotal time.Duration
	crashed     bool
	loaded      []weightstore.Artifact
	orderBook   enginemodel.OrderBook
	orders      []OrderRecord
	reports     reportLog
	events      eventLog
}

// New returns a simulated engine. The model advances only while Run is running.
func New(o Options) *Server {
	if o.Speed == 0 {
		o.Speed = 1
	}
	if o.Fetch == nil {
		o.Fetch = http.DefaultClient
	}
	if o.Crash == nil {
		o.Crash = func() {}
	}
	o.Params.RecordCache = true
	s := &Server{
		opts:      o,
		start:     time.Now(),
		wake:      make(chan struct{}, 1),
		model:     enginemodel.New(o.Params, o.Role),
		attempts:  make(map[string]*attempt),
		byJob:     make(map[enginemodel.JobID]*attempt),
		exports:   make(map[string]export),
		loaded:    o.Loaded,
		orderBook: enginemodel.OrderBook{Incarnation: o.Incarnation, CheckFence: o.CheckFence},
	}
	s.mux = s.routes()
	return s
}

func (s *Server) routes() *http.ServeMux {
	m := http.NewServeMux()
	m.HandleFunc("POST "+engine.GeneratePath, s.generate)
	m.HandleFunc("POST "+engine.CancelPath, s.cancel)
	m.HandleFunc("GET "+engine.StatePath, s.getState)
	m.HandleFunc("GET "+engine.EventsPath, s.getEvents)
	m.HandleFunc("POST "+engine.OrderPath, s.postOrder)
	m.HandleFunc("GET "+kvPath+"{handle}", s.getKV)
	s.adminRoutes(m)
	return m
}

// ServeHTTP implements http.Handler. A frozen engine accepts connections but responds only to
// /admin/.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !isAdmin(r) && s.waitWhileFrozen(r.Context()) != nil {
		return
	}
	s.mux.ServeHTTP(w, r)
}

// waitWhileFrozen blocks while the engine is frozen. It returns the error of ctx, and panics
// with http.ErrAbortHandler if the engine has crashed.
func (s *Server) waitWhileFrozen(ctx context.Context) error {
	for {
		s.mu.Lock()
		frozen, crashed := s.frozen, s.crashed
		s.mu.Unlock()
		if crashed {
			panic(http.ErrAbortHandler)
		}
		if frozen == nil {
			return ctx.Err()
		}
		select {
		case <-frozen:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// now returns the model time, which does not advance while frozen. The caller holds mu.
func (s *Server) now() time.Duration {
	if s.frozen != nil {
		return s.frozenAt
	}
	return time.Duration(float64(time.Since(s.start)-s.frozenTotal) * s.opts.Speed)
}

// realDuration converts model time to real time.
func (s *Server) realDuration(d time.Duration) time.Duration {
	return time.Duration(float64(d) / s.opts.Speed)
}

// Run drives the model until ctx ends.
func (s *Server) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(s.step())
		select {
		case <-timer.C:
		case <-s.wake:
		case <-ctx.Done():
			return
		}
	}
}

// step advances the model to the current time and returns the real time until the next step.
func (s *Server) step() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashed {
		return reportInterval
	}
	now := s.now()
	for _, ev := range s.model.Advance(now) {
		s.dispatch(ev)
	}
	elapsed := time.Since(s.start)
	s.events.add(elapsed, s.model.TakeCacheChanges(), s.opts.EventGap)
	if s.reports.due(elapsed) {
		s.reports.add(elapsed, s.model.Load(now), s.recentAttempts())
	}
	rest := reportInterval
	if at, ok := s.model.NextEvent(); ok {
		rest = min(rest, s.realDuration(at-now)+time.Microsecond)
	}
	return max(rest, 0)
}

func (s *Server) wakeLoop() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// crash ends the process, or stops the server if Crash returns, as in tests. The caller holds
// mu; it is released during the call of Crash, which may use the server.
func (s *Server) crash(at enginemodel.CrashPoint) {
	klog.Infof("engine: crash at %s", at)
	s.crashed = true
	for _, a := range s.attempts {
		a.abort()
	}
	s.mu.Unlock()
	s.opts.Crash()
	s.mu.Lock()
}

// Leave marks the engine as leaving because its VM is about to stop: it refuses new attempts.
func (s *Server) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// Streams returns the number of open streams.
func (s *Server) Streams() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.streams
}
