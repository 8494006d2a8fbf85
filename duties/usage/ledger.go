package usage

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/springweir/springweir/duties/usage/usagepb"
	"github.com/springweir/springweir/internal/clock"
)

const (
	// keptWindows is how many windows are kept: a report is late by then.
	keptWindows = 8
	// accountMemory is how long a process is remembered that tells nothing any more. One that is
	// cut off and goes on to count is back before that.
	accountMemory = 30 * time.Second
	// sealSlack is how long after its end a window is sealed: answers that came just before it
	// may still wait for their turn.
	sealSlack = 100 * time.Millisecond
	// forever is the last window of a process that has ended.
	forever = Window(math.MaxUint64)
)

// Identity names the own process.
type Identity struct{ VM, Zone string }

// Ledger holds the own counts and those that other processes have told. It is safe for concurrent
// use; mu is a leaf.
type Ledger struct {
	length time.Duration
	// day is the time of day, and now the VM's clock.
	day, now func() time.Time

	mu  sync.Mutex
	own *account
	// open counts the runs that were sent in a window and have not ended.
	open map[Window]int
	// others are the accounts of other processes, by boot.
	others map[uint64]*account
}

// NewLedger returns a ledger of windows of a length. Nil clocks are the VM's.
func NewLedger(self Identity, length time.Duration, day, now func() time.Time) *Ledger {
	if day == nil {
		day = clock.NewWall().Now
	}
	return &Ledger{
		length: length, day: day, now: clock.OrSystem(now), own: newAccount(self.VM, self.Zone, rand.Uint64()),
		open: map[Window]int{}, others: map[uint64]*account{},
	}
}

// RequestStarted counts a request that an endpoint has just begun to run.
func (l *Ledger) RequestStarted(organisation string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count(l.current(), organisation)
}

// Run is a request that was sent to an endpoint, which begins it at once if it runs it at all.
type Run struct {
	ledger       *Ledger
	window       Window
	organisation string
}

// RequestSent notes a request that is just being sent. Its window stays open until it ends.
func (l *Ledger) RequestSent(organisation string) *Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &Run{ledger: l, window: l.current(), organisation: organisation}
	l.open[r.window]++
	return r
}

// Finish tells whether the request ran. It must be called once.
func (r *Run) Finish(ran bool) {
	l := r.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	if ran {
		l.count(r.window, r.organisation)
	}
	if l.open[r.window]--; l.open[r.window] == 0 {
		delete(l.open, r.window)
	}
}

func (l *Ledger) current() Window { return windowAt(l.day(), l.length) }

func (l *Ledger) count(w Window, organisation string) {
	hash := Hash(organisation)
	l.own.raise(w, hash, l.own.cell(w, hash).count+1)
}

// seal closes the windows that are over and in which nothing is open. The caller holds mu.
func (l *Ledger) seal() {
	last := windowAt(l.day().Add(-sealSlack), l.length) - 1
	for w := range l.open {
		last = min(last, w-1)
	}
	l.own.seal(last)
	l.own.heard = l.now()
	l.own.forget(last - keptWindows)
}

// Close seals all windows to come: this process counts nothing more.
func (l *Ledger) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.own.seal(forever)
}

// Due returns what to tell in this round: of the own process, and, with forward, of the others of
// the own zone.
func (l *Ledger) Due(forward bool) []*usagepb.Account {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seal()
	list := l.own.due()
	if !forward {
		return list
	}
	for _, a := range l.others {
		if a.zone == l.own.zone {
			list = append(list, a.due()...)
		}
	}
	return list
}

// Take takes in an account that another VM told.
func (l *Ledger) Take(told *usagepb.Account) {
	l.mu.Lock()
	defer l.mu.Unlock()
	oldest := l.current() - keptWindows
	if told.Boot == l.own.boot || len(told.Organisation) != len(told.Count) || Window(told.Window) < oldest {
		return
	}
	a := l.others[told.Boot]
	if a == nil {
		a = newAccount(told.Vm, told.Zone, told.Boot)
		l.others[told.Boot] = a
	}
	a.take(told)
	a.heard = l.now().Add(-time.Duration(told.SilentMs) * time.Millisecond)
	a.forget(oldest)
	l.forget()
}

// forget drops processes that have been silent for long. The caller holds mu.
func (l *Ledger) forget() {
	now := l.now()
	for boot, a := range l.others {
		if now.Sub(a.heard) > accountMemory {
			delete(l.others, boot)
		}
	}
}

// Read returns the accounts of a window, the own included.
func (l *Ledger) Read(w Window) []*usagepb.Account {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seal()
	now := l.now()
	list := []*usagepb.Account{l.own.whole(w)}
	for _, a := range l.others {
		m := a.whole(w)
		m.SilentMs = uint32(max(0, now.Sub(a.heard).Milliseconds()))
		list = append(list, m)
	}
	return list
}
