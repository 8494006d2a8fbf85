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
	// directZone is the number of endpoints up to which each entry asks every
	// engine of its zone itself. In a larger zone an entry asks its share, and
	// takes the rest from its peers.
	directZone = 32
	// askAgain is the time between two questions to an engine that a peer sees
	// otherwise, so that entries which never agree do not ask without end.
	askAgain = 30 * time.Second
	// keepOwn is how long the last own report of an engine is kept.
	keepOwn = time.Minute
	// shareFor is how long an own report is shared after it was read.
	shareFor = 3 * leaving.EndpointPollInterval
	// shareTick is how often the own reports are put together for the peers,
	// and what the peers read is taken in.
	shareTick = 250 * time.Millisecond
	// pollTimeout and pollWorkers bound the questions to engines.
	pollTimeout = 2 * time.Second
	pollWorkers = 16
)

// reports keeps what the zone's engines say of themselves: read by this entry,
// or by its peers. It is safe for concurrent use; mu is a leaf.
type reports struct {
	d         *common
	upstreams *upstreams
	book      *share.ReportStore
	poller    *fleet.Poller

	mu sync.Mutex
	// own holds the newest report that this entry itself read of each engine.
	own map[string]ownReport
	// unlike holds the engines that are not as this entry knows them, by what a
	// peer read: started anew, or with other weights loaded. It is replaced as a
	// whole.
	unlike map[string]bool
	// published is when the own reports were last put together for the peers.
	published time.Time
}

// ownReport is a report that this entry itself read.
type ownReport struct {
	state engine.State
	at    time.Time
}

func newReports(d *common, u *upstreams, book *share.ReportStore) *reports {
	r := &reports{d: d, upstreams: u, book: book, own: map[string]ownReport{}}
	cfg := fleet.PollerConfig{Interval: leaving.EndpointPollInterval, Timeout: pollTimeout, Workers: pollWorkers}
	r.poller = fleet.NewPoller(cfg, d.store, d.now, r.open, r.mine, r.heard)
	return r
}

// Run polls and shares until ctx ends.
func (r *reports) Run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.share(ctx)
	}()
	if err := r.poller.Run(ctx); err != nil {
		klog.Errorf("entry: polling ended: %v", err)
	}
	<-done
}

func (r *reports) open(e *fleet.Endpoint) fleet.Source {
	return r.d.clients.engine(e.Name, e.Address)
}

// mine tells what this entry asks an engine now. In a larger zone it asks the
// others only when it has to, and never for their caches: a snapshot of one is
// some hundreds of kilobytes.
func (r *reports) mine(e *fleet.Endpoint) fleet.PollScope {
	if r.d.store.Snapshot().Len() <= directZone {
		return fleet.PollStateAndCache
	}
	if share.ShouldPoll(r.d.member.Roster(), r.d.member.Name(), e.Name, e.Age(r.d.now())) {
		return fleet.PollStateAndCache
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unlike[e.Name] && clock.Since(r.own[e.Name].at) >= askAgain {
		return fleet.PollState
	}
	return fleet.PollNothing
}

// heard takes in what an engine said when this entry asked it.
func (r *reports) heard(report fleet.Report) {
	name, state := report.Endpoint, report.State
	r.mu.Lock()
	r.own[name] = ownReport{state: state, at: clock.Now()}
	r.mu.Unlock()
	r.upstreams.track(name, state.Incarnation, state.Role)
	if r.d.leave.Record(name, state.Incarnation, state.Leaving) {
		klog.Infof("entry: engine %s says it is leaving", name)
		r.d.announce(context.Background(), name, state.Incarnation)
	}
}

// share passes reports on between this entry and its peers until ctx ends.
func (r *reports) share(ctx context.Context) {
	loop.Every(ctx, shareTick, func() {
		if r.publishes(clock.Now()) {
			r.publish()
		}
		r.takeShared()
	})
}

// publishes tells whether the own reports are due. In a larger zone a batch
// takes a whole round of exchanges to reach all, and one that is replaced
// meanwhile is sent to many twice.
func (r *reports) publishes(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.published) < share.PublishInterval(len(r.d.member.Roster().VMs)) {
		return false
	}
	r.published = now
	return true
}

// publish gives the peers what this entry itself has read lately.
func (r *reports) publish() {
	now := clock.Now()
	r.mu.Lock()
	list := make([]share.Report, 0, len(r.own))
	for name, own := range r.own {
		age := now.Sub(own.at)
		if age > keepOwn {
			delete(r.own, name)
		}
		if age <= shareFor {
			list = append(list, sharedForm(name, own, age))
		}
	}
	r.mu.Unlock()
	r.book.Publish(list)
}

func sharedForm(name string, own ownReport, age time.Duration) share.Report {
	load := own.state.Load
	load.AgeMillis += age.Milliseconds()
	return share.Report{
		Endpoint: share.Hash(name),
		Identity: share.Identity(own.state.Incarnation, own.state.Loaded),
		Role:     own.state.Role,
		Leaving:  own.state.Leaving,
		Load:     load,
	}
}

// takeShared takes in what the peers have read of engines that this entry does
// not ask itself. What is not shared stays as this entry last read it; an
// engine of which that has changed is asked in the next round.
func (r *reports) takeShared() {
	now := r.d.now()
	shared := r.book.Reports()
	var news []fleet.Report
	unlike := map[string]bool{}
	for _, e := range r.d.store.Snapshot().Endpoints() {
		s, found := shared[share.Hash(e.Name)]
		switch {
		case !found:
		case e.Reported && s.Identity == share.Identity(e.Incarnation, e.Loaded):
			if s.Load.Sequence > e.Load.Sequence {
				news = append(news, merged(e, s, now))
			}
		default:
			unlike[e.Name] = measuredAfter(e, s, now)
		}
	}
	r.mu.Lock()
	r.unlike = unlike
	r.mu.Unlock()
	r.d.store.ApplyReports(now, news...)
}

// measuredAfter tells whether a shared report was measured after what is known
// of e. Sequences say nothing across incarnations, so the ages decide.
func measuredAfter(e *fleet.Endpoint, s share.Report, now time.Duration) bool {
	return !e.Reported || now-time.Duration(s.Load.AgeMillis)*time.Millisecond > e.MeasuredAt
}

// merged is a shared report of e, with what is not shared as it was last read.
func merged(e *fleet.Endpoint, s share.Report, now time.Duration) fleet.Report {
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
