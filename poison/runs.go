package poison

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/relay"
)

const (
	// probeTimeout bounds the probe of whether an endpoint still accepts connections. An endpoint
	// that does not respond is unresponsive, which is no proof of a crash.
	probeTimeout = 200 * time.Millisecond
	// runRetention is how long a failed run remains a potential suspect of its endpoint's crash:
	// its connection may break before those of the other runs, and an engine may still process a
	// request that this VM has abandoned.
	runRetention = 2 * time.Second
	// probeWait is how long an interrupted run waits for the probe of its endpoint, so that it is
	// not placed again before the result is known: several round trips, and the delays of a busy VM. Without
	// the wait, a request whose third endpoint had crashed was sent to a fourth one. refusedProbeWait is how
	// long it waits once the endpoint has refused a connection of this VM: other VMs are asked then.
	probeWait        = 50 * time.Millisecond
	refusedProbeWait = 150 * time.Millisecond
	// maxEndedRuns bounds the runs retained for one endpoint. It exceeds the capacity of the
	// endpoint's slots and queue.
	maxEndedRuns = 256
)

// Suspect is a request that was running on an endpoint when the endpoint crashed.
type Suspect struct {
	Key Key
	// Origin identifies the address that the request came from.
	Origin Origin
	// Request is the ID of the request, for the log.
	Request string
	// Streaming is set if the request had emitted events, on this endpoint or another. A harmful
	// request usually crashes its endpoint as it begins, so a streaming request is less suspect.
	Streaming bool
}

// Crash is one VM's report of an endpoint crash.
type Crash struct {
	// ID identifies the incarnation of the endpoint that crashed.
	ID uint64
	// Suspects are the requests that the VM was running on the endpoint.
	Suspects []Suspect
}

// RunTrackerConfig holds the dependencies of a RunTracker.
type RunTrackerConfig struct {
	// Down reports whether an endpoint's address no longer accepts connections. An endpoint that
	// does not respond is not down. It calls refused as soon as the endpoint has refused a connection of this
	// VM, which may be this VM's own fault.
	Down func(ctx context.Context, e *directory.Endpoint, refused func()) bool
	// OnDown is called when this VM or another one has found an endpoint down; nil does nothing.
	OnDown func(e *directory.Endpoint)
	// OnCrash is called for each crash, and again with the same ID for suspects found later.
	OnCrash func(Crash)
	// Now returns the current time; nil selects the system clock.
	Now func() time.Time
}

// RunTracker tracks the runs of this VM on endpoints. When the connection of a run breaks, it
// probes whether the endpoint still accepts connections: a connection may be reset, or a caller may
// disconnect, without a crash of the endpoint.
//
// It is safe for concurrent use; mu is a leaf lock.
type RunTracker struct {
	cfg RunTrackerConfig

	mu            sync.Mutex
	byIncarnation map[string]*endpointState
	completed     *completedRequests
	// active holds the runs in progress, by their endpoints.
	active map[*relay.Request]*directory.Endpoint
}

// endpointState is the state of one incarnation of an endpoint.
type endpointState struct {
	endpoint *directory.Endpoint
	// probe is the probe in progress, or nil.
	probe *probe
	// downAt is when a probe, by this VM or another, found the endpoint down.
	downAt time.Time
	// ended are the runs that ended without a complete response, oldest first.
	ended []endedRun
}

// endedRun is a run that ended without a complete response. Interrupted and abandoned runs count
// alike once the endpoint is known to have crashed.
type endedRun struct {
	request   *relay.Request
	streaming bool
	at        time.Time
}

// NewRunTracker returns a tracker without any runs.
func NewRunTracker(cfg RunTrackerConfig) *RunTracker {
	cfg.Now = clock.OrSystem(cfg.Now)
	if cfg.OnDown == nil {
		cfg.OnDown = func(*directory.Endpoint) {}
	}
	return &RunTracker{cfg: cfg, byIncarnation: map[string]*endpointState{}, completed: newCompletedRequests(rand.Uint64()), active: map[*relay.Request]*directory.Endpoint{}}
}

// CrashID returns the ID for the crash of an incarnation of an endpoint. It is the same on all VMs.
func CrashID(e *directory.Endpoint) uint64 { return xxhash.Sum64String(e.Incarnation()) }

// RecordStart records that a run is about to be sent.
func (r *RunTracker) RecordStart(request *relay.Request, e *directory.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.active[request] = e
}

// activeIn returns the runs in progress in a group of endpoints.
func (r *RunTracker) activeIn(g directory.Group) map[*relay.Request]*directory.Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := map[*relay.Request]*directory.Endpoint{}
	for request, e := range r.active {
		if e.Group() == g {
			runs[request] = e
		}
	}
	return runs
}

// isDown reports whether an endpoint was found down within runRetention.
func (r *RunTracker) isDown(e *directory.Endpoint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.byIncarnation[e.Incarnation()]
	return s != nil && s.down(r.cfg.Now())
}

// RecordEnd records the end of a run. If the run was interrupted, it returns once the endpoint has
// been probed, or after the time that probe.await allows.
func (r *RunTracker) RecordEnd(request *relay.Request, e *directory.Endpoint, end relay.RunEnd) {
	now := r.cfg.Now()
	r.removeActive(request)
	switch end.Outcome {
	case relay.RunRefused, relay.RunPrefilled:
		return
	case relay.RunCompleted:
		r.recordCompleted(request, now)
		return
	}
	run := endedRun{request: request, streaming: end.Streaming, at: now}
	r.mu.Lock()
	s := r.state(e, now)
	if s.down(now) {
		r.mu.Unlock()
		r.report(e, []endedRun{run})
		return
	}
	s.ended = append(s.ended, run)
	s.ended = s.ended[max(0, len(s.ended)-maxEndedRuns):]
	if end.Outcome == relay.RunInterrupted && s.probe == nil {
		s.probe = newProbe()
		go r.runProbe(e, s.probe)
	}
	p := s.probe
	r.mu.Unlock()
	if end.Outcome == relay.RunInterrupted {
		p.await()
	}
}

func (r *RunTracker) removeActive(request *relay.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.active, request)
}

func (r *RunTracker) recordCompleted(request *relay.Request, now time.Time) {
	fingerprint := r.completed.fingerprint(request)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.completed.add(fingerprint, now)
}

// exonerated reports whether this VM has recently seen a complete response to the same request.
func (r *RunTracker) exonerated(request *relay.Request) bool {
	fingerprint := r.completed.fingerprint(request)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.completed.contains(fingerprint, r.cfg.Now())
}

// probe is a probe in progress of whether an endpoint is down.
type probe struct {
	// refused is closed once the endpoint has refused a connection of this VM, and done at the end.
	refused, done chan struct{}
}

func newProbe() *probe { return &probe{refused: make(chan struct{}), done: make(chan struct{})} }

// await waits until the probe ends, for at most probeWait, or refusedProbeWait once the endpoint has refused a
// connection.
func (p *probe) await() {
	timer := time.NewTimer(probeWait)
	defer timer.Stop()
	select {
	case <-p.done:
		return
	case <-timer.C:
		return
	case <-p.refused:
	}
	timer.Reset(refusedProbeWait)
	select {
	case <-p.done:
	case <-timer.C:
	}
}

// down reports whether the endpoint was found down within runRetention. An endpoint that registers
// no start time may have restarted by then under the same incarnation.
func (s *endpointState) down(now time.Time) bool {
	return !s.downAt.IsZero() && now.Sub(s.downAt) <= runRetention
}

// RecordRemoteCrash records that another VM found an endpoint down.
func (r *RunTracker) RecordRemoteCrash(e *directory.Endpoint) { r.markDown(e) }

// runProbe checks whether an endpoint is down.
func (r *RunTracker) runProbe(e *directory.Endpoint, p *probe) {
	defer close(p.done)
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if r.cfg.Down(ctx, e, sync.OnceFunc(func() { close(p.refused) })) {
		r.markDown(e)
		return
	}
	klog.InfoS("poison: run interrupted, its endpoint still accepts connections or does not respond", "endpoint", e.ID, "crash", CrashID(e))
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.byIncarnation[e.Incarnation()]; s != nil {
		s.probe = nil
	}
}

// markDown marks an endpoint as down and reports the runs that were on it. OnDown is called first,
// so that no request is sent there because of the report.
func (r *RunTracker) markDown(e *directory.Endpoint) {
	now := r.cfg.Now()
	r.mu.Lock()
	s := r.state(e, now)
	s.probe, s.downAt = nil, now
	runs := s.ended
	s.ended = nil
	r.mu.Unlock()
	r.cfg.OnDown(e)
	if len(runs) > 0 {
		r.report(e, runs)
	}
}

// report reports a crash with its suspects; there may be none. Keys are computed only here: hashing each request's
// body would burden all requests for the sake of a few.
func (r *RunTracker) report(e *directory.Endpoint, runs []endedRun) {
	crash := Crash{ID: CrashID(e)}
	for _, run := range runs {
		if r.exonerated(run.request) {
			continue
		}
		crash.Suspects = append(crash.Suspects, Suspect{Key: KeyOf(run.request), Origin: OriginOf(run.request), Request: run.request.ID, Streaming: run.streaming})
	}
	crashesReported.Inc()
	klog.InfoS("poison: endpoint crashed", "endpoint", e.ID, "born", e.StartedAt, "service", e.Service, "crash", crash.ID, "suspects", describe(crash.Suspects))
	r.cfg.OnCrash(crash)
}

// state returns the state of an endpoint's incarnation, without the runs older than runRetention,
// and creates it if there is none. The caller holds mu.
func (r *RunTracker) state(e *directory.Endpoint, now time.Time) *endpointState {
	s := r.byIncarnation[e.Incarnation()]
	if s == nil {
		s = &endpointState{endpoint: e}
		r.byIncarnation[e.Incarnation()] = s
	}
	for len(s.ended) > 0 && now.Sub(s.ended[0].at) > runRetention {
		s.ended = s.ended[1:]
	}
	return s
}

// Retain removes the state of endpoints that are not in the snapshot.
func (r *RunTracker) Retain(s *directory.Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, state := range r.byIncarnation {
		if e := s.Endpoint(state.endpoint.ID); e == nil || e.StartedAt != state.endpoint.StartedAt {
			delete(r.byIncarnation, id)
		}
	}
}
