package poison

import (
	"context"
	"fmt"
	"math/rand/v2"
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
	// impaired holds the services of which an endpoint of a small group has crashed recently.
	impaired impairedServices
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
// quarantine entry, or if the service is impaired.
func (g *Guard) Check(r *relay.Request) (relay.Suspicion, *failure.Request) {
	g.cfg.AwaitCatchUp()
	g.runs.AwaitEqualRuns(r)
	impaired := g.impaired.contains(r.Service, g.now())
	if g.ledger.Empty() && !impaired {
		return relay.Suspicion{}, nil
	}
	id := IdentityOf(r)
	if failed := g.refusal(r, id); failed != nil {
		return relay.Suspicion{}, failed
	}
	if recurred := g.ledger.RecordArrival(id, r.ID); len(recurred) > 0 {
		g.cfg.Broadcast(loadshare.Announcement{Recurred: recurred})
	}
	e := g.ledger.Suspicion(id)
	if e.Crashes == 0 && !e.Bystander {
		return g.unknown(r, id, impaired), nil
	}
	return relay.Suspicion{
		Crashes: e.Crashes, Bystander: e.Bystander, Key: e.Key.placementKey(), Others: g.ledger.OthersSuspected(id),
		CopiesOn: g.copies.on(e.Key, g.cfg.Directory.Snapshot().Service(r.Service), g.now()),
	}, nil
}

// refusal returns the failure of a request that is quarantined or awaits an evaluation, itself or because of a
// part of its prompt, or nil.
func (g *Guard) refusal(r *relay.Request, id Identity) *failure.Request {
	status, subject := g.ledger.Status(id)
	switch {
	case status == Quarantined && subject.Part:
		klog.InfoS("poison: request refused, earlier requests with a part of its prompt crashed endpoints", "request", r.ID, "part", partID(r, subject), "key", subject.String())
		return &failure.Request{
			Code: failure.PartCrashesEndpoints, Ran: failure.NotRun,
			Message: fmt.Sprintf("endpoints crashed at least %d times under requests with a part of this prompt, so it is not run", quarantineThreshold),
		}
	case status == Quarantined:
		klog.InfoS("poison: request refused, its earlier runs crashed endpoints", "request", r.ID, "key", subject.Key.String())
		return &failure.Request{
			Code: failure.CrashesEndpoints, Ran: failure.NotRun,
			Message: fmt.Sprintf("endpoints crashed at least %d times under this request, so it is not run again", quarantineThreshold),
		}
	case status == Suspected:
		klog.InfoS("poison: request refused for now, suspected of crashing endpoints", "request", r.ID, "key", subject.String())
		return &failure.Request{
			Code: failure.CrashSuspected, Ran: failure.NotRun, RetryAfter: g.ledger.propagationDelay(),
			Message: "endpoints crashed while this request was at work there, which is being looked into",
		}
	}
	return nil
}

// partID returns the caller's ID of a part of a request's prompt.
func partID(r *relay.Request, part Subject) string {
	for i, key := range partKeys(r) {
		if key == part.Key {
			return r.Prompt.Shared()[i].ID
		}
	}
	return ""
}

// Started implements relay.Guard.
func (g *Guard) Started(r *relay.Request, e *directory.Endpoint) { g.runs.RecordStart(r, e) }

// Answered implements relay.Guard.
func (g *Guard) Answered(r *relay.Request) {
	parts := partKeys(r)
	if len(parts) == 0 {
		return
	}
	g.runs.answered.add(parts, g.now())
	if !g.ledger.Empty() {
		g.clearParts(r, parts)
	}
}

// Ended implements relay.Guard.
func (g *Guard) Ended(r *relay.Request, e *directory.Endpoint, end relay.RunEnd) (await func()) {
	awaitProbe := g.runs.RecordEnd(r, e, end)
	switch end.Outcome {
	case relay.RunInterrupted:
		return func() {
			awaitProbe()
			g.awaitCopies(r, e)
		}
	case relay.RunCompleted:
		g.clear(r)
	}
	return awaitProbe
}

// clear clears a request that had a complete response.
func (g *Guard) clear(r *relay.Request) {
	if g.ledger.Empty() {
		return
	}
	key := KeyOf(r)
	cleared := g.ledger.Clear(key, OriginOf(r))
	if len(cleared) == 0 {
		return
	}
	klog.InfoS("poison: request cleared by a complete response", "request", r.ID, "key", key.String())
	g.withdraw(key, cleared)
	g.cfg.Broadcast(loadshare.Announcement{Cleared: [][]byte{key[:]}})
}

// clearParts clears the parts of the prompt of a request that an endpoint answers.
func (g *Guard) clearParts(r *relay.Request, parts []Key) {
	message := &sharepb.AnsweredParts{Occasion: rand.Uint64()}
	for i, part := range parts {
		cleared := g.ledger.ClearPart(part)
		if len(cleared) == 0 {
			continue
		}
		klog.InfoS("poison: part cleared by an answer", "request", r.ID, "part", r.Prompt.Shared()[i].ID, "key", cleared[0].String())
		g.withdraw(part, cleared)
		message.Parts = append(message.Parts, part[:])
	}
	if len(message.Parts) > 0 {
		g.cfg.Broadcast(loadshare.Announcement{Answered: []*sharepb.AnsweredParts{message}})
	}
}

// withdraw removes what else is known of subjects that were cleared.
func (g *Guard) withdraw(k Key, cleared []Subject) {
	g.copies.remove(k)
	for _, s := range cleared {
		g.store.Remove(s)
	}
}

// handleLocalCrash records a crash that this VM observed and announces it to the other VMs.
func (g *Guard) handleLocalCrash(c Crash) {
	for _, message := range crashMessages(c) {
		g.cfg.Broadcast(loadshare.Announcement{Crashes: []*sharepb.Crash{message}})
	}
	g.evaluateAfter(g.ledger.RecordCrash(c), true)
	if e := g.endpointOf(c.ID); e != nil {
		g.noteImpaired(e)
		g.announceCopies(e, c.Suspects)
	}
}

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
	for _, answered := range n.Answered {
		g.receiveAnswered(answered)
	}
	for _, crash := range n.Recurred {
		g.ledger.RecordRecurrence(crash)
	}
}

// receiveAnswered clears parts on which engines wrote answers to requests of another VM.
func (g *Guard) receiveAnswered(message *sharepb.AnsweredParts) {
	for _, b := range message.Parts {
		if part, ok := parseKey(b); ok && len(g.ledger.ClearPart(part)) > 0 {
			g.copies.remove(part)
			klog.V(1).InfoS("poison: part cleared by an answer on another VM", "key", part.String())
		}
	}
}

// receiveCrash records a crash that another VM observed. If the endpoint is registered here, its
// runs on this VM become suspects too.
func (g *Guard) receiveCrash(message *sharepb.Crash) {
	c := crashOf(message)
	g.exonerateParts(message)
	g.evaluateAfter(g.ledger.RecordCrash(c), false)
	if e := g.endpointOf(c.ID); e != nil {
		g.noteImpaired(e)
		g.runs.RecordRemoteCrash(e)
		g.announceCopies(e, c.Suspects)
	}
}

// exonerateParts tells all VMs which parts of the suspects of a crash did not cause it, as far as answers to
// requests of this VM show.
func (g *Guard) exonerateParts(message *sharepb.Crash) {
	exonerated := &sharepb.AnsweredParts{Occasion: message.Id}
	for _, b := range message.Parts {
		if part, ok := parseKey(b); ok && g.runs.answered.exonerate(part, g.now()) {
			exonerated.Parts = append(exonerated.Parts, b)
		}
	}
	if len(exonerated.Parts) == 0 {
		return
	}
	g.cfg.Broadcast(loadshare.Announcement{Answered: []*sharepb.AnsweredParts{exonerated}})
	g.receiveAnswered(exonerated)
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
		message := "poison: request quarantined, endpoints crashed while running it"
		if e.Subject.Part {
			message = "poison: part quarantined, endpoints crashed while running requests with it"
		}
		klog.InfoS(message, "key", e.Subject.String(), "crashes", e.Crashes, "term", e.Term)
		g.store.Write(e, local)
	}
}
