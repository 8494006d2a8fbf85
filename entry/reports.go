package entry

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/fleet"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/internal/loop"
	"github.com/springweir/springweir/leaving"
	"github.com/springweir/springweir/peer/share"
)

const (
	// directPollLimit is the zone size, in endpoints, up to which each entry polls every
	// engine itself. In a larger zone an entry polls its share and gets the other reports
	// from its peers.
	directPollLimit = 32
	// repollInterval is the minimum time between two polls of an engine whose state differs
	// from what a peer read, so that entries that never agree do not poll continuously.
	repollInterval = 30 * time.Second
	// localReportTTL is how long the last report that this entry read from an engine is
	// kept.
	localReportTTL = time.Minute
	// sharedReportAge is the age up to which a local report is shared.
	sharedReportAge = 3 * leaving.EndpointPollInterval
	// shareInterval is how often local reports are considered for publication and the
	// peers' reports are merged.
	shareInterval = 250 * time.Millisecond
	// pollTimeout and pollWorkers bound the duration and the concurrency of engine polls.
	pollTimeout = 2 * time.Second
	pollWorkers = 16
)

// reports collects the state reported by the zone's engines, read by this entry or by its
// peers. It is safe for concurrent use; mu is a leaf lock.
type reports struct {
	common      *common
	upstreams   *upstreams
	reportStore *share.ReportStore
	poller      *fleet.Poller

	mu sync.Mutex
	// local holds the newest report of each engine that this entry read itself.
	local map[string]localReport
	// mismatched holds the engines whose state differs from this entry's record according
	// to a peer's report: they restarted, or have other weights loaded. The map is
	// replaced, never modified.
	mismatched map[string]bool
	// publishedAt is when the local reports were last published to the peers.
	publishedAt time.Time
}

// localReport is a report that this entry read itself.
type localReport struct {
	state engine.State
	at    time.Time
}

func newReports(c *common, u *upstreams, reportStore *share.ReportStore) *reports {
	r := &reports{common: c, upstreams: u, reportStore: reportStore, local: map[string]localReport{}}
	cfg := fleet.PollerConfig{Interval: leaving.EndpointPollInterval, Timeout: pollTimeout, Workers: pollWorkers}
	r.poller = fleet.NewPoller(cfg, c.store, c.now, r.source, r.pollScope, r.recordPolled)
	return r
}

// Run polls and shares reports until ctx ends.
func (r *reports) Run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.runSharing(ctx)
	}()
	if err := r.poller.Run(ctx); err != nil {
		klog.Errorf("entry: polling stopped: %v", err)
	}
	<-done
}

func (r *reports) source(e *fleet.Endpoint) fleet.Source {
	return r.common.clients.engine(e.Name, e.Address)
}

// pollScope returns what this entry polls from an engine now. In a larger zone it polls the
// engines of other entries only when needed, and never their caches: a cache snapshot has
// some hundreds of kilobytes.
func (r *reports) pollScope(e *fleet.Endpoint) fleet.PollScope {
	if r.common.store.Snapshot().Len() <= directPollLimit {
		return fleet.PollStateAndCache
	}
	if share.ShouldPoll(r.common.member.Roster(), r.common.member.Name(), e.Name, e.Age(r.common.now())) {
		return fleet.PollStateAndCache
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mismatched[e.Name] && clock.Since(r.local[e.Name].at) >= repollInterval {
		return fleet.PollState
	}
	return fleet.PollNothing
}

// recordPolled records a report that this entry polled from an engine.
func (r *reports) recordPolled(report fleet.Report) {
	name, state := report.Endpoint, report.State
	r.mu.Lock()
	r.local[name] = localReport{state: state, at: clock.Now()}
	r.mu.Unlock()
	r.upstreams.recordIncarnation(name, state.Incarnation, state.Role)
	if r.common.leavingSet.Record(name, state.Incarnation, state.Leaving) {
		klog.Infof("entry: engine %s reported that it is leaving", name)
		r.common.announce(context.Background(), name, state.Incarnation)
	}
}

// runSharing exchanges reports between this entry and its peers until ctx ends.
func (r *reports) runSharing(ctx context.Context) {
	loop.Every(ctx, shareInterval, func() {
		if r.publishDue(clock.Now()) {
			r.publish()
		}
		r.mergeShared()
	})
}

// publishDue reports whether the local reports are due for publication. In a larger zone a
// batch takes a full round of exchanges to reach all entries, and one that is replaced
// before that is sent to many of them twice.
func (r *reports) publishDue(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.publishedAt) < share.PublishInterval(len(r.common.member.Roster().VMs)) {
		return false
	}
	r.publishedAt = now
	return true
}

// publish publishes the recent local reports to the peers.
func (r *reports) publish() {
	now := clock.Now()
	r.mu.Lock()
	list := make([]share.Report, 0, len(r.local))
	for name, report := range r.local {
		age := now.Sub(report.at)
		if age > localReportTTL {
			delete(r.local, name)
		}
		if age <= sharedReportAge {
			list = append(list, toShared(name, report, age))
		}
	}
	r.mu.Unlock()
	r.reportStore.Publish(list)
}

func toShared(name string, report localReport, age time.Duration) share.Report {
	load := report.state.Load
	load.AgeMillis += age.Milliseconds()
	return share.Report{
		Endpoint: share.Hash(name),
		Identity: share.Identity(report.state.Incarnation, report.state.Loaded),
		Role:     report.state.Role,
		Leaving:  report.state.Leaving,
		Load:     load,
	}
}

// mergeShared applies the peers' reports of engines that this entry does not poll. Fields
// that are not shared keep the values that this entry last read; an engine for which they
// have changed is polled in the next round.
func (r *reports) mergeShared() {
	now := r.common.now()
	shared := r.reportStore.Reports()
	var updates []fleet.Report
	mismatched := map[string]bool{}
	for _, e := range r.common.store.Snapshot().Endpoints() {
		s, found := shared[share.Hash(e.Name)]
		switch {
		case !found:
		case e.Reported && s.Identity == share.Identity(e.Incarnation, e.Loaded):
			if s.Load.Sequence > e.Load.Sequence {
				updates = append(updates, fromShared(e, s, now))
			}
		default:
			mismatched[e.Name] = measuredAfter(e, s, now)
		}
	}
	r.mu.Lock()
	r.mismatched = mismatched
	r.mu.Unlock()
	r.common.store.ApplyReports(now, updates...)
}

// measuredAfter reports whether a shared report was measured after the recorded state of e.
// Sequence numbers are not comparable across incarnations, so the ages decide.
func measuredAfter(e *fleet.Endpoint, s share.Report, now time.Duration) bool {
	return !e.Reported || now-time.Duration(s.Load.AgeMillis)*time.Millisecond > e.MeasuredAt
}

// fromShared converts a shared report of e, and fills in the fields that are not shared
// from the last local read.
func fromShared(e *fleet.Endpoint, s share.Report, now time.Duration) fleet.Report {
	load := s.Load
	load.KVTotal = e.Load.KVTotal
	return fleet.Report{
		Endpoint: e.Name,
		State: engine.State{
			Incarnation: e.Incarnation, Role: s.Role, Loaded: e.Loaded,
			Leaving: s.Leaving, Load: load,
		},
		MeasuredAt: now - time.Duration(load.AgeMillis)*time.Millisecond,
	}
}
