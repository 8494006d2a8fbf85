package poison

import (
	"context"
	"fmt"
	"time"

	"k8s.io/klog/v2"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/loadshare"
	"github.com/springweir/springweir/loadshare/sharepb"
	"github.com/springweir/springweir/relay"
	"github.com/springweir/springweir/table"
)

// Config is what a Guard works with.
type Config struct {
	// Down tells whether nobody listens at an endpoint's address any more.
	Down func(ctx context.Context, e *directory.Endpoint) bool
	// Broadcast makes all other VMs hear of something, and PropagationDelay is how long that takes.
	Broadcast        func(loadshare.Announcement)
	PropagationDelay func() time.Duration
	// Directory knows the endpoints.
	Directory *directory.Directory
	// Rows and Feed are the platform's store.
	Rows table.Service
	Feed table.Feed
	// Now is the clock; nil is the VM's.
	Now func() time.Time
}

// settleMargin is added to the time that news takes: a VM first looks whether the endpoint is
// down, and one with a fifth of a core may be behind by tens of milliseconds.
const settleMargin = 100 * time.Millisecond

// Guard keeps requests that crash endpoints away from them. It implements relay.Guard and is
// safe for concurrent use.
type Guard struct {
	cfg    Config
	runs   *Runs
	ledger *Ledger
	keeper *Keeper
}

var _ relay.Guard = (*Guard)(nil)

// NewGuard returns a guard that knows nothing yet.
func NewGuard(cfg Config) *Guard {
	g := &Guard{cfg: cfg}
	g.ledger = NewLedger(cfg.Now, func() time.Duration { return cfg.PropagationDelay() + settleMargin })
	g.keeper = NewKeeper(g.ledger, cfg.Rows, cfg.Feed)
	g.runs = NewRuns(RunsConfig{Down: cfg.Down, Crashed: g.crashed, Now: cfg.Now})
	return g
}

// Run keeps the verdicts in the store until ctx ends.
func (g *Guard) Run(ctx context.Context) { g.keeper.Run(ctx) }

// Retain forgets endpoints that are no longer registered.
func (g *Guard) Retain(s *directory.Snapshot) { g.runs.Keep(s) }

// Check implements relay.Guard. While nothing is held against any request it costs nothing;
// otherwise a hash of the request.
func (g *Guard) Check(r *relay.Request) *failure.Request {
	if g.ledger.Empty() {
		return nil
	}
	key := KeyOf(r)
	switch g.ledger.Standing(key, OriginOf(r)) {
	case Convicted:
		klog.InfoS("poison: request refused, its earlier runs crashed endpoints", "request", r.ID, "key", key.String())
		return &failure.Request{
			Code: failure.CrashesEndpoints, Ran: failure.NotRun,
			Message: fmt.Sprintf("endpoints crashed at least %d times under this request, so it is not run again", crashesToConvict),
		}
	case Suspected:
		klog.InfoS("poison: request held back, endpoints may have crashed under it", "request", r.ID, "key", key.String())
		return &failure.Request{
			Code: failure.CrashSuspected, Ran: failure.NotRun, RetryAfter: g.ledger.settle(),
			Message: "endpoints crashed while this request was at work there, which is being looked into",
		}
	}
	return nil
}

// Ended implements relay.Guard.
func (g *Guard) Ended(r *relay.Request, e *directory.Endpoint, end relay.RunEnd) {
	g.runs.Ended(r, e, end)
	if end.Outcome != relay.RunCompleted || g.ledger.Empty() {
		return
	}
	key := KeyOf(r)
	cleared := g.ledger.Clear(key, OriginOf(r))
	if len(cleared) == 0 {
		return
	}
	klog.InfoS("poison: request cleared by a whole answer", "request", r.ID, "key", key.String())
	for _, s := range cleared {
		g.keeper.Drop(s)
	}
	g.cfg.Broadcast(loadshare.Announcement{Cleared: [][]byte{key[:]}})
}

// crashed takes in a crash that this VM saw, and tells the others.
func (g *Guard) crashed(c Crash) {
	told := &sharepb.Crash{Id: c.ID}
	for _, s := range c.Suspects {
		told.Suspects = append(told.Suspects, &sharepb.Suspect{Key: s.Key[:], Origin: uint32(s.Origin), Streaming: s.Streaming})
		if len(told.Suspects) == maxTold {
			g.cfg.Broadcast(loadshare.Announcement{Crashes: []*sharepb.Crash{told}})
			told = &sharepb.Crash{Id: c.ID}
		}
	}
	if len(told.Suspects) > 0 {
		g.cfg.Broadcast(loadshare.Announcement{Crashes: []*sharepb.Crash{told}})
	}
	g.judgeAfter(g.ledger.Crashed(c), true)
}

// maxTold bounds the suspects in one piece of news: about a kilobyte, which fits a datagram.
const maxTold = 48

// Receive takes in what another VM told.
func (g *Guard) Receive(n loadshare.Announcement) {
	for _, c := range n.Crashes {
		g.heardCrash(c)
	}
	for _, b := range n.Cleared {
		if key, ok := parseKey(b); ok && len(g.ledger.Clear(key, anyOrigin)) > 0 {
			klog.V(1).InfoS("poison: request cleared by a whole answer on another VM", "key", key.String())
		}
	}
}

func (g *Guard) heardCrash(told *sharepb.Crash) {
	c := Crash{ID: told.Id}
	for _, s := range told.Suspects {
		if key, ok := parseKey(s.Key); ok {
			c.Suspects = append(c.Suspects, Suspect{Key: key, Origin: Origin(max(1, s.Origin)), Streaming: s.Streaming})
		}
	}
	g.judgeAfter(g.ledger.Crashed(c), false)
	for _, e := range g.cfg.Directory.Snapshot().All() {
		if CrashID(e) == c.ID {
			g.runs.Learned(e)
		}
	}
}

// judgeAfter decides on suspects once the other VMs' news is in. own is set where this VM saw
// the crash that made it necessary.
func (g *Guard) judgeAfter(wait time.Duration, own bool) {
	if wait > 0 {
		time.AfterFunc(wait, func() { g.judge(own) })
	}
}

func (g *Guard) judge(own bool) {
	for _, v := range g.ledger.Judge() {
		verdictsMade.Inc()
		klog.InfoS("poison: request is refused from now on, endpoints crashed under it", "key", v.Subject.String(), "crashes", v.Crashes, "term", v.Term)
		g.keeper.Keep(v, own)
	}
}
