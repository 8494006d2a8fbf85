package poison

import (
	"context"
	"slices"
	"sync"
	"time"
	"weak"

	"k8s.io/klog/v2"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/relay"
)

const (
	// probeTimeout bounds the probe of whether an endpoint still accepts connections. An endpoint
	// that does not respond is unresponsive, which is no proof of a crash.
	probeTimeout = 200 * time.Millisecond
	// probeWait is how long an interrupted run waits for the probe of its endpoint, so that it is
	// not placed again before the result is known: several round trips, and the delays of a busy VM. Without
	// the wait, a request whose third endpoint had crashed was sent to a fourth one. refusedProbeWait is how
	// long it waits once the endpoint has refused a connection of this VM: other VMs are asked then.
	probeWait        = 50 * time.Millisecond
	refusedProbeWait = 150 * time.Millisecond
	// verdictInterval is how often a request looks whether the verdicts on equal runs are known.
	verdictInterval = time.Millisecond
)

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

// wait returns how long a run waits for the probe.
func (p *probe) wait() time.Duration {
	select {
	case <-p.refused:
		return refusedProbeWait
	default:
		return probeWait
	}
}

// startProbe returns the probe in progress of an endpoint, and starts one if there is none. The caller holds mu.
func (r *RunTracker) startProbe(s *endpointState) *probe {
	if s.probe == nil {
		s.probe = newProbe()
		r.probed[s.probe] = s
		go r.runProbe(s.endpoint, s.probe)
	}
	return s.probe
}

// runProbe checks whether an endpoint is down.
func (r *RunTracker) runProbe(e *directory.Endpoint, p *probe) {
	defer r.endProbe(e, p)
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if r.cfg.Down(ctx, e, sync.OnceFunc(func() { close(p.refused) })) {
		r.markDown(e)
		return
	}
	klog.InfoS("poison: run interrupted, its endpoint still accepts connections or does not respond", "endpoint", e.ID, "crash", CrashID(e))
}

// endProbe records the end of a probe, once the suspects of a crash are known.
func (r *RunTracker) endProbe(e *directory.Endpoint, p *probe) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.byIncarnation[e.Incarnation()]; s != nil && s.probe == p {
		s.probe = nil
	}
	delete(r.probed, p)
	close(p.done)
}

// recordUnreached records that an endpoint was not reached. If an equal request is running there, its connection may
// be about to break, so the endpoint is probed.
func (r *RunTracker) recordUnreached(request *relay.Request, e *directory.Endpoint, now time.Time) (await func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.state(e, now)
	if s.down(now) || !r.runsEqual(request, e) {
		return noWait
	}
	return r.startProbe(s).await
}

// AwaitEqualRuns waits while endpoints are probed on which runs of requests equal to this one were interrupted, or
// are about to be, and until the runs on an endpoint that is down have ended: this one is a suspect if they have
// crashed it. It waits as long as an interrupted run would at most.
func (r *RunTracker) AwaitEqualRuns(request *relay.Request) {
	for waited := time.Duration(0); waited < r.equalRunsWait(request); waited += verdictInterval {
		time.Sleep(verdictInterval)
	}
}

// equalRunsWait returns how long a request may wait for the verdicts on equal runs; zero if all are known.
func (r *RunTracker) equalRunsWait(request *relay.Request) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.equalRunBreaks(request) {
		return refusedProbeWait
	}
	if len(r.probed) == 0 {
		return 0
	}
	wait := time.Duration(0)
	fingerprint := sync.OnceValue(func() uint64 { return r.completed.fingerprint(request) })
	for p, s := range r.probed {
		if containsEqual(s.ended, request, fingerprint) || r.runsEqual(request, s.endpoint) {
			wait = max(wait, p.wait())
		}
	}
	return wait
}

// equalRunBreaks reports whether an equal request is running on an endpoint that was found down, or is being
// reported as its suspect. The caller holds mu.
func (r *RunTracker) equalRunBreaks(request *relay.Request) bool {
	now := r.cfg.Now()
	if now.Sub(r.lastDownAt) > runRetention {
		return false
	}
	fingerprint := sync.OnceValue(func() uint64 { return r.completed.fingerprint(request) })
	for _, s := range r.byIncarnation {
		if s.down(now) && (s.reportsEqual(request, fingerprint) || r.runsEqual(request, s.endpoint)) {
			return true
		}
	}
	return false
}

// reportsEqual reports whether a run of another request that is equal to this one is being reported as a suspect.
func (s *endpointState) reportsEqual(request *relay.Request, fingerprint func() uint64) bool {
	return slices.ContainsFunc(s.reports, func(report *crashReport) bool { return containsEqual(report.runs, request, fingerprint) })
}

// containsEqual reports whether a run of another request that is equal to this one, with its fingerprint, is in a list.
func containsEqual(runs []endedRun, request *relay.Request, fingerprint func() uint64) bool {
	return slices.ContainsFunc(runs, func(run endedRun) bool {
		return run.request.Target == request.Target && run.fingerprint == fingerprint() && run.of != weak.Make(request)
	})
}

// equalRunsOn returns the IDs of the endpoints on which requests equal to this one have begun to run within
// copyRetention.
func (r *RunTracker) equalRunsOn(request *relay.Request) []string {
	now := r.cfg.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []string
	for other, run := range r.active {
		if now.Sub(run.startedAt) <= copyRetention && equalRequests(other, request) && !slices.Contains(ids, run.endpoint.ID) {
			ids = append(ids, run.endpoint.ID)
		}
	}
	return ids
}

// runsEqual reports whether a request equal to this one is running on an endpoint. The caller holds mu.
func (r *RunTracker) runsEqual(request *relay.Request, e *directory.Endpoint) bool {
	for other, run := range r.active {
		if run.endpoint.ID == e.ID && equalRequests(other, request) {
			return true
		}
	}
	return false
}
