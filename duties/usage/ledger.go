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
	// retainedWindows is the number of past windows that are kept; reports of older ones would be
	// late.
	retainedWindows = 8
	// accountTTL is how long the account of an unresponsive process is kept. A process that was
	// disconnected but still counts reconnects within this time.
	accountTTL = 30 * time.Second
	// sealDelay is the time between the end of a window and its seal: responses that arrived just
	// before the end may not have been processed yet.
	sealDelay = 100 * time.Millisecond
	// allWindows seals all windows; it is the seal of a process that has ended.
	allWindows = Window(math.MaxUint64)
)

// Identity identifies the local process.
type Identity struct{ VM, Zone string }

// Ledger holds the counts of the local process and those received from other processes. It is safe
// for concurrent use; mu is a leaf in the lock order.
type Ledger struct {
	length time.Duration
	// wallClock returns the time of day, now the VM's clock.
	wallClock, now func() time.Time

	mu    sync.Mutex
	local *account
	// inFlight counts the requests that were sent in a window and have not finished.
	inFlight map[Window]int
	// remote holds the accounts of other processes by boot number.
	remote map[uint64]*account
}

// NewLedger returns a ledger with windows of the given length. Nil clocks default to the VM's.
func NewLedger(self Identity, length time.Duration, wallClock, now func() time.Time) *Ledger {
	if wallClock == nil {
		wallClock = clock.NewWallClock().Now
	}
	return &Ledger{
		length: length, wallClock: wallClock, now: clock.OrSystem(now), local: newAccount(self.VM, self.Zone, rand.Uint64()),
		inFlight: map[Window]int{}, remote: map[uint64]*account{},
	}
}

// RequestStarted counts a request that an endpoint has just started to run.
func (l *Ledger) RequestStarted(organisation string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count(l.currentWindow(), organisation)
}

// Run is a request that was sent to an endpoint. If the endpoint runs it, it starts at once.
type Run struct {
	ledger       *Ledger
	window       Window
	organisation string
}

// RequestSent registers a request that is about to be sent. Its window is not sealed before Finish.
func (l *Ledger) RequestSent(organisation string) *Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &Run{ledger: l, window: l.currentWindow(), organisation: organisation}
	l.inFlight[r.window]++
	return r
}

// Finish records whether the endpoint ran the request. It must be called exactly once.
func (r *Run) Finish(ran bool) {
	l := r.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	if ran {
		l.count(r.window, r.organisation)
	}
	if l.inFlight[r.window]--; l.inFlight[r.window] == 0 {
		delete(l.inFlight, r.window)
	}
}

func (l *Ledger) currentWindow() Window { return windowAt(l.wallClock(), l.length) }

func (l *Ledger) count(w Window, organisation string) {
	hash := Hash(organisation)
	l.local.raise(w, hash, l.local.counter(w, hash).count+1)
}

// seal seals the windows that are over and have no request in flight. The caller holds mu.
func (l *Ledger) seal() {
	last := windowAt(l.wallClock().Add(-sealDelay), l.length) - 1
	for w := range l.inFlight {
		last = min(last, w-1)
	}
	l.local.seal(last)
	l.local.lastSeen = l.now()
	l.local.dropBefore(last - retainedWindows)
}

// Close seals all windows, including future ones: this process counts nothing more.
func (l *Ledger) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.local.seal(allWindows)
}

// Due returns the messages to send in this round: the changes of the local account and, with
// forward, those of the other accounts of the local zone.
func (l *Ledger) Due(forward bool) []*usagepb.Account {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seal()
	messages := l.local.pending()
	if !forward {
		return messages
	}
	for _, a := range l.remote {
		if a.zone == l.local.zone {
			messages = append(messages, a.pending()...)
		}
	}
	return messages
}

// Take merges an account received from another VM. Malformed and outdated ones are ignored, as is
// the local account.
func (l *Ledger) Take(update *usagepb.Account) {
	l.mu.Lock()
	defer l.mu.Unlock()
	oldest := l.currentWindow() - retainedWindows
	if update.Boot == l.local.boot || len(update.Organisation) != len(update.Count) || Window(update.Window) < oldest {
		return
	}
	a := l.remote[update.Boot]
	if a == nil {
		a = newAccount(update.Vm, update.Zone, update.Boot)
		l.remote[update.Boot] = a
	}
	a.merge(update)
	a.lastSeen = l.now().Add(-time.Duration(update.SilentMs) * time.Millisecond)
	a.dropBefore(oldest)
	l.dropExpired()
}

// dropExpired removes processes that have been unresponsive for longer than accountTTL. The caller
// holds mu.
func (l *Ledger) dropExpired() {
	now := l.now()
	for boot, a := range l.remote {
		if now.Sub(a.lastSeen) > accountTTL {
			delete(l.remote, boot)
		}
	}
}

// Read returns all accounts of a window, including the local one.
func (l *Ledger) Read(w Window) []*usagepb.Account {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seal()
	now := l.now()
	accounts := []*usagepb.Account{l.local.export(w)}
	for _, other := range l.remote {
		account := other.export(w)
		account.SilentMs = uint32(max(0, now.Sub(other.lastSeen).Milliseconds()))
		accounts = append(accounts, account)
	}
	return accounts
}
