package poison

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
	"weak"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/relay"
)

const (
	// runRetention is how long a failed run remains a potential suspect of its endpoint's crash:
	// its connection may break before those of the other runs, and an engine may still process a
	// request that this VM has abandoned.
	runRetention = 2 * time.Second
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
	// Parts are the parts of its prompt that may be to blame: those that other requests may share and that no
	// recent answer exonerates.
	Parts []SuspectPart
}

// SuspectPart is a part of a prompt.
type SuspectPart struct {
	Key Key
	// ID is the caller's ID of the part, for the log; empty if another VM reported it.
	ID string
}

func (s Suspect) identity() Identity {
	id := Identity{Key: s.Key, Origin: s.Origin}
	for _, part := range s.Parts {
		id.Parts = append(id.Parts, part.Key)
	}
	return id
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
	answered      *answeredParts
	// active holds the runs in progress.
	active map[*relay.Request]runInProgress
	// lastDownAt is when an endpoint was last found down.
	lastDownAt time.Time
	// probed holds the probes in progress and the states of their endpoints.
	probed map[*probe]*endpointState
}

// runInProgress is a run that has not ended.
type runInProgress struct {
	endpoint  *directory.Endpoint
	startedAt time.Time
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
	// reports are the reports of such runs as suspects that have not ended.
	reports []*crashReport
}

// crashReport is a report of the suspects of a crash in progress.
type crashReport struct {
	runs []endedRun
	// done is closed at the end.
	done chan struct{}
}

// endedRun is a run that ended without a complete response. Interrupted and abandoned runs count
// alike once the endpoint is known to have crashed. It holds no body: those of all runs that are retained would have no
// bound.
type endedRun struct {
	// of is the request of the run, and request a copy without the body.
	of      weak.Pointer[relay.Request]
	request relay.Request
	// key identifies the request, and fingerprint does so within this process.
	key         Key
	fingerprint uint64
	streaming   bool
	// answered is set if the endpoint had begun to write an answer.
	answered bool
	at       time.Time
}

// NewRunTracker returns a tracker without any runs.
func NewRunTracker(cfg RunTrackerConfig) *RunTracker {
	cfg.Now = clock.OrSystem(cfg.Now)
	if cfg.OnDown == nil {
		cfg.OnDown = func(*directory.Endpoint) {}
	}
	return &RunTracker{cfg: cfg, byIncarnation: map[string]*endpointState{}, completed: newCompletedRequests(rand.Uint64()), answered: newAnsweredParts(), active: map[*relay.Request]runInProgress{}, probed: map[*probe]*endpointState{}}
}

// CrashID returns the ID for the crash of an incarnation of an endpoint. It is the same on all VMs.
func CrashID(e *directory.Endpoint) uint64 { return xxhash.Sum64String(e.Incarnation()) }

// RecordStart records that a run is about to be sent.
func (r *RunTracker) RecordStart(request *relay.Request, e *directory.Endpoint) {
	run := runInProgress{endpoint: e, startedAt: r.cfg.Now()}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.active[request] = run
}

// activeIn returns the runs in progress in a group of endpoints.
func (r *RunTracker) activeIn(g directory.Group) map[*relay.Request]*directory.Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := map[*relay.Request]*directory.Endpoint{}
	for request, run := range r.active {
		if run.endpoint.Group() == g {
			runs[request] = run.endpoint
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

// RecordEnd records the end of a run. If the run was interrupted, the endpoint is probed, and await returns once
// it has been, or after the time that probe.await allows.
func (r *RunTracker) RecordEnd(request *relay.Request, e *directory.Endpoint, end relay.RunEnd) (await func()) {
	now := r.cfg.Now()
	defer r.removeActive(request) // once it is known as a suspect
	switch end.Outcome {
	case relay.RunRefused, relay.RunPrefilled:
		return noWait
	case relay.RunUnreached:
		return r.recordUnreached(request, e, now)
	case relay.RunCompleted:
		r.recordCompleted(request, now)
		return noWait
	}
	run := r.newEndedRun(request, end, now)
	r.mu.Lock()
	s := r.state(e, now)
	if s.down(now) {
		r.mu.Unlock()
		r.report(e, []endedRun{run})
		return noWait
	}
	s.ended = append(s.ended, run)
	s.ended = s.ended[max(0, len(s.ended)-maxEndedRuns):]
	defer r.mu.Unlock()
	if end.Outcome != relay.RunInterrupted {
		return noWait
	}
	return r.startProbe(s).await
}

func (r *RunTracker) newEndedRun(request *relay.Request, end relay.RunEnd, now time.Time) endedRun {
	run := endedRun{
		of: weak.Make(request), request: *request, key: KeyOf(request), fingerprint: r.completed.fingerprint(request),
		streaming: end.Streaming, answered: end.Answered, at: now,
	}
	run.request.Body = nil
	return run
}

func noWait() {}

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

// exonerated reports whether this VM has recently seen a complete response to the request with a fingerprint.
func (r *RunTracker) exonerated(fingerprint uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.completed.contains(fingerprint, r.cfg.Now())
}

// down reports whether the endpoint was found down within runRetention. An endpoint that registers
// no start time may have restarted by then under the same incarnation.
func (s *endpointState) down(now time.Time) bool {
	return !s.downAt.IsZero() && now.Sub(s.downAt) <= runRetention
}

// RecordRemoteCrash records that another VM found an endpoint down.
func (r *RunTracker) RecordRemoteCrash(e *directory.Endpoint) { r.markDown(e) }

// markDown marks an endpoint as down and reports the runs that were on it. OnDown is called first,
// so that no request is sent there because of the report. It returns once all reports of the endpoint's runs
// have ended, also those that others have begun: a run may be placed again then.
func (r *RunTracker) markDown(e *directory.Endpoint) {
	now := r.cfg.Now()
	r.mu.Lock()
	s := r.state(e, now)
	s.downAt, r.lastDownAt = now, now
	begun := slices.Clone(s.reports)
	var report *crashReport
	if len(s.ended) > 0 {
		report = &crashReport{runs: s.ended, done: make(chan struct{})}
		s.reports = append(s.reports, report)
		s.ended = nil
	}
	r.mu.Unlock()
	r.cfg.OnDown(e)
	if report != nil {
		r.report(e, report.runs)
		r.endReport(s, report)
	}
	for _, other := range begun {
		<-other.done
	}
}

// endReport removes a report once its suspects are known.
func (r *RunTracker) endReport(s *endpointState, report *crashReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.reports = slices.DeleteFunc(s.reports, func(other *crashReport) bool { return other == report })
	close(report.done)
}

// report reports a crash with its suspects; there may be none.
func (r *RunTracker) report(e *directory.Endpoint, runs []endedRun) {
	crash := Crash{ID: CrashID(e)}
	for _, run := range runs {
		if r.exonerated(run.fingerprint) {
			continue
		}
		crash.Suspects = append(crash.Suspects, Suspect{
			Key: run.key, Origin: OriginOf(&run.request), Request: run.request.ID, Streaming: run.streaming, Parts: r.suspectParts(run),
		})
	}
	crashesReported.Inc()
	klog.InfoS("poison: endpoint crashed", "endpoint", e.ID, "born", e.StartedAt, "service", e.Service, "crash", crash.ID, "suspects", describe(crash.Suspects))
	r.cfg.OnCrash(crash)
}

// suspectParts returns the parts of a run's prompt that may have caused a crash: none once the endpoint has
// begun to write an answer on them.
func (r *RunTracker) suspectParts(run endedRun) []SuspectPart {
	if run.answered {
		return nil
	}
	var list []SuspectPart
	for i, key := range partKeys(&run.request) {
		if !r.answered.exonerate(key, r.cfg.Now()) {
			list = append(list, SuspectPart{Key: key, ID: run.request.Prompt.Shared()[i].ID})
		}
	}
	return list
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
