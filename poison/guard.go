package poison

import (
	"context"
	"encoding/binary"
	"fmt"
	"time"

	"k8s.io/klog/v2"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/loadshare"
	"github.com/springweir/springweir/loadshare/sharepb"
	"github.com/springweir/springweir/relay"
	"github.com/springweir/springweir/table"
)

// Config holds the dependencies of a Guard.
type Config struct {
	// Down is that of RunTrackerConfig.
	Down func(ctx context.Context, e *directory.Endpoint, refused func()) bool
	// OnDown is called when this VM or another one has found an endpoint down; nil does nothing.
	OnDown func(e *directory.Endpoint)
	// Broadcast sends an announcement to all other VMs. PropagationDelay returns how long it takes
	// to reach them.
	Broadcast        func(loadshare.Announcement)
	PropagationDelay func() time.Duration
	// AwaitCatchUp waits until announcements of other VMs that have arrived while this VM was suspended are
	// processed. Nil means that there are none.
	AwaitCatchUp func()
	// Directory holds the registered endpoints.
	Directory *directory.Directory
	// Rows and Feed access the platform's store.
	Rows table.Service
	Feed table.Feed
	// Now returns the current time; nil selects the system clock.
	Now func() time.Time
}

// propagationMargin is added to PropagationDelay. A VM probes the endpoint before it announces a
// crash, and a VM with a fifth of a core may lag by tens of milliseconds.
const propagationMargin = 100 * time.Millisecond

// Guard keeps requests that crash endpoints away from the other endpoints. It implements
// relay.Guard and is safe for concurrent use.
type Guard struct {
	cfg    Config
	now    func() time.Time
	runs   *RunTracker
	ledger *Ledger
	copies *copyTracker
	store  *QuarantineStore
}

var _ relay.Guard = (*Guard)(nil)

// NewGuard returns a guard without any suspects or quarantine entries.
func NewGuard(cfg Config) *Guard {
	if cfg.AwaitCatchUp == nil {
		cfg.AwaitCatchUp = func() {}
	}
	g := &Guard{cfg: cfg, now: clock.OrSystem(cfg.Now), copies: newCopyTracker()}
	g.ledger = NewLedger(cfg.Now, func() time.Duration { return cfg.PropagationDelay() + propagationMargin })
	g.store = NewQuarantineStore(g.ledger, cfg.Rows, cfg.Feed)
	g.runs = NewRunTracker(RunTrackerConfig{Down: cfg.Down, OnDown: cfg.OnDown, OnCrash: g.handleLocalCrash, Now: cfg.Now})
	return g
}

// Run synchronises the quarantine entries with the store until ctx ends.
func (g *Guard) Run(ctx context.Context) { g.store.Run(ctx) }

// Retain removes the state of endpoints that are not in the snapshot.
func (g *Guard) Retain(s *directory.Snapshot) { g.runs.Retain(s) }

// Check implements relay.Guard. It hashes the request only if the ledger holds a suspect or a
// quarantine entry.
func (g *Guard) Check(r *relay.Request) (relay.Suspicion, *failure.Request) {
	g.cfg.AwaitCatchUp()
	if g.ledger.Empty() {
		return relay.Suspicion{}, nil
	}
	key, origin := KeyOf(r), OriginOf(r)
	if failed := g.refusal(r, key, origin); failed != nil {
		return relay.Suspicion{}, failed
	}
	g.ledger.RecordArrival(key, origin, r.ID)
	crashes, bystander := g.ledger.Suspicion(key, origin)
	if crashes == 0 && !bystander {
		return relay.Suspicion{}, nil
	}
	return relay.Suspicion{
		Crashes: crashes, Bystander: bystander, Key: binary.BigEndian.Uint32(key[:]), Others: g.ledger.OthersSuspected(key),
		CopiesOn: g.copies.on(key, g.cfg.Directory.Snapshot().Service(r.Service), g.now()),
	}, nil
}

// refusal returns the failure of a request that is quarantined or awaits an evaluation, or nil.
func (g *Guard) refusal(r *relay.Request, key Key, origin Origin) *failure.Request {
	switch g.ledger.Status(key, origin) {
	case Quarantined:
		klog.InfoS("poison: request refused, its earlier runs crashed endpoints", "request", r.ID, "key", key.String())
		return &failure.Request{
			Code: failure.CrashesEndpoints, Ran: failure.NotRun,
			Message: fmt.Sprintf("endpoints crashed at least %d times under this request, so it is not run again", quarantineThreshold),
		}
	case Suspected:
		klog.InfoS("poison: request refused for now, suspected of crashing endpoints", "request", r.ID, "key", key.String())
		return &failure.Request{
			Code: failure.CrashSuspected, Ran: failure.NotRun, RetryAfter: g.ledger.propagationDelay(),
			Message: "endpoints crashed while this request was at work there, which is being looked into",
		}
	}
	return nil
}

// Started implements relay.Guard.
func (g *Guard) Started(r *relay.Request, e *directory.Endpoint) { g.runs.RecordStart(r, e) }

// Ended implements relay.Guard.
func (g *Guard) Ended(r *relay.Request, e *directory.Endpoint, end relay.RunEnd) {
	g.runs.RecordEnd(r, e, end)
	if end.Outcome == relay.RunInterrupted {
		g.awaitCopies(r, e)
	}
	if end.Outcome != relay.RunCompleted || g.ledger.Empty() {
		return
	}
	key := KeyOf(r)
	cleared := g.ledger.Clear(key, OriginOf(r))
	if len(cleared) == 0 {
		return
	}
	g.copies.remove(key)
	klog.InfoS("poison: request cleared by a complete response", "request", r.ID, "key", key.String())
	for _, s := range cleared {
		g.store.Remove(s)
	}
	g.cfg.Broadcast(loadshare.Announcement{Cleared: [][]byte{key[:]}})
}

// handleLocalCrash records a crash that this VM observed and announces it to the other VMs.
func (g *Guard) handleLocalCrash(c Crash) {
	message := &sharepb.Crash{Id: c.ID}
	for _, s := range c.Suspects {
		message.Suspects = append(message.Suspects, &sharepb.Suspect{Key: s.Key[:], Origin: uint32(s.Origin), Streaming: s.Streaming})
		if len(message.Suspects) == maxSuspectsPerMessage {
			g.cfg.Broadcast(loadshare.Announcement{Crashes: []*sharepb.Crash{message}})
			message = &sharepb.Crash{Id: c.ID}
		}
	}
	// A report without suspects still tells the other VMs that the endpoint is down.
	if len(message.Suspects) > 0 || len(c.Suspects) == 0 {
		g.cfg.Broadcast(loadshare.Announcement{Crashes: []*sharepb.Crash{message}})
	}
	g.evaluateAfter(g.ledger.RecordCrash(c), true)
	if e := g.endpointOf(c.ID); e != nil {
		g.announceCopies(e, c.Suspects)
	}
}

// maxSuspectsPerMessage bounds one announcement to about a kilobyte, which fits a datagram.
const maxSuspectsPerMessage = 48

// Receive applies an announcement of another VM.
func (g *Guard) Receive(n loadshare.Announcement) {
	for _, c := range n.Crashes {
		g.receiveCrash(c)
	}
	for _, c := range n.Copies {
		g.receiveCopy(c)
	}
	for _, b := range n.Cleared {
		if key, ok := parseKey(b); ok && len(g.ledger.Clear(key, anyOrigin)) > 0 {
			g.copies.remove(key)
			klog.V(1).InfoS("poison: request cleared by a complete response on another VM", "key", key.String())
		}
	}
}

// receiveCrash records a crash that another VM observed. If the endpoint is registered here, its
// runs on this VM become suspects too.
func (g *Guard) receiveCrash(message *sharepb.Crash) {
	c := Crash{ID: message.Id}
	for _, s := range message.Suspects {
		if key, ok := parseKey(s.Key); ok {
			c.Suspects = append(c.Suspects, Suspect{Key: key, Origin: Origin(max(1, s.Origin)), Streaming: s.Streaming})
		}
	}
	g.evaluateAfter(g.ledger.RecordCrash(c), false)
	if e := g.endpointOf(c.ID); e != nil {
		g.runs.RecordRemoteCrash(e)
		g.announceCopies(e, c.Suspects)
	}
}

// endpointOf returns the registered endpoint that a crash is of, or nil.
func (g *Guard) endpointOf(crashID uint64) *directory.Endpoint {
	for _, e := range g.cfg.Directory.Snapshot().All() {
		if CrashID(e) == crashID {
			return e
		}
	}
	return nil
}

// evaluateAfter evaluates the suspects once the reports of the other VMs have arrived. local is
// set if this VM observed the crash that requires the evaluation.
func (g *Guard) evaluateAfter(delay time.Duration, local bool) {
	if delay > 0 {
		time.AfterFunc(delay, func() { g.evaluate(local) })
	}
}

func (g *Guard) evaluate(local bool) {
	for _, e := range g.ledger.Evaluate() {
		entriesCreated.Inc()
		klog.InfoS("poison: request quarantined, endpoints crashed while running it", "key", e.Subject.String(), "crashes", e.Crashes, "term", e.Term)
		g.store.Write(e, local)
	}
}
