package poison

import (
	"slices"
	"sync"
	"time"

	"github.com/springweir/springweir/internal/clock"
)

// Verdict is a request that is refused.
type Verdict struct {
	Subject Subject
	// Crashes is the number of endpoints that it is held to have crashed.
	Crashes int
	// Term is how long it is refused.
	Term time.Duration
}

// Standing is what the Ledger says of a request.
type Standing int

const (
	// Free may run.
	Free Standing = iota
	// Suspected is not yet decided, which takes as long as the other VMs' news does.
	Suspected
	// Convicted must not run.
	Convicted
)

// Ledger holds which requests were at work on endpoints that crashed, as far as this VM was
// told, and decides which are to blame. VMs that know the same decide the same.
//
// Of the requests on an endpoint that crashed, those that had given no event are suspect, and
// the others only if there are none: a request that does this does so as it begins. One that
// was there at three crashes is to blame, unless another one was there as often. What it is to
// blame for is no longer held against the others. A request that gets a whole answer is
// cleared.
//
// A request is refused from all addresses only for crashes at which nothing else from the same
// address was suspect. Otherwise a caller could have another's request refused: by sending it
// along each time with one of its own that does the harm. From that address itself it is
// refused for all of its crashes.
//
// It is safe for concurrent use; mu is a leaf.
type Ledger struct {
	now func() time.Time
	// settle is how long the news of a crash takes to reach all VMs.
	settle func() time.Duration

	mu       sync.Mutex
	crashes  map[uint64]*crash
	suspects map[Subject]*suspect
	verdicts map[Subject]*verdict
	// expired is when what is too old was last looked for.
	expired time.Time
}

// crash is an endpoint that crashed.
type crash struct {
	at time.Time
	// suspects are the requests that were at work there, and whether each had given events.
	suspects map[Subject]bool
	// explained is set once a request that was there is held to blame.
	explained bool
}

// suspect is a request that was there.
type suspect struct {
	crashes map[uint64]bool
	// last is when anything was last added.
	last time.Time
	// due is when a decision is to be made, zero if none is.
	due time.Time
	// paroled is set for one that was refused before, with the term of the next verdict.
	paroled time.Duration
}

// verdict is a request that is refused, since when this VM knows.
type verdict struct {
	Verdict
	since time.Time
}

// NewLedger returns an empty ledger. A nil now is the VM's clock.
func NewLedger(now func() time.Time, settle func() time.Duration) *Ledger {
	return &Ledger{
		now: clock.OrSystem(now), settle: settle,
		crashes: map[uint64]*crash{}, suspects: map[Subject]*suspect{}, verdicts: map[Subject]*verdict{},
	}
}

// Empty tells whether nothing is held against any request.
func (l *Ledger) Empty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.suspects) == 0 && len(l.verdicts) == 0
}

// Standing tells whether a request may run.
func (l *Ledger) Standing(k Key, from Origin) Standing {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	worst := Free
	for _, subject := range subjects(k, from) {
		switch s := l.suspects[subject]; {
		case l.verdicts[subject] != nil:
			return Convicted
		case s != nil && !s.due.IsZero() && now.Before(s.due):
			worst = Suspected
		}
	}
	return worst
}

// subjects are those as which a request counts.
func subjects(k Key, from Origin) []Subject {
	return []Subject{{Key: k}, {Key: k, Origin: from}}
}

// Refuses tells whether there is a verdict.
func (l *Ledger) Refuses(s Subject) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.verdicts[s] != nil
}

// Crashed takes in an account of a crash, of this VM or another, and returns how long after
// that Judge is to be called, or zero if nothing is to be decided.
func (l *Ledger) Crashed(c Crash) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.expire(now)
	known := l.crashes[c.ID]
	if known == nil {
		known = &crash{at: now, suspects: map[Subject]bool{}}
		l.crashes[c.ID] = known
	}
	for _, s := range c.Suspects {
		l.accuse(c.ID, known, s, now)
	}
	l.bound()
	return l.schedule(c, now)
}

// accuse notes a request that was at work on an endpoint that crashed. The caller holds mu.
func (l *Ledger) accuse(id uint64, c *crash, s Suspect, now time.Time) {
	for _, subject := range subjects(s.Key, s.Origin) {
		if l.verdicts[subject] != nil {
			c.explained = true
			return
		}
	}
	for _, subject := range subjects(s.Key, s.Origin) {
		streaming, known := c.suspects[subject]
		if !known && len(c.suspects) >= maxPerCrash {
			return
		}
		c.suspects[subject] = s.Streaming && (streaming || !known)
		one := l.suspects[subject]
		if one == nil {
			one = &suspect{crashes: map[uint64]bool{}}
			l.suspects[subject] = one
		}
		one.crashes[id], one.last = true, now
	}
}

// schedule sets when the requests of a crash are to be judged. The caller holds mu.
func (l *Ledger) schedule(c Crash, now time.Time) time.Duration {
	settle := l.settle()
	wanted := false
	for _, s := range c.Suspects {
		for _, subject := range subjects(s.Key, s.Origin) {
			if one := l.suspects[subject]; one != nil && one.due.IsZero() && l.score(subject) >= crashesToConvict {
				one.due = now.Add(settle)
				wanted = true
			}
		}
	}
	if !wanted {
		return 0
	}
	return settle
}

// Convicted takes in a verdict that another VM made, and tells whether it is new here.
func (l *Ledger) Convicted(v Verdict) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.verdicts[v.Subject] != nil {
		return false
	}
	l.refuse(v, l.now())
	l.bound()
	return true
}

// Clear takes in that a request got a whole answer, and returns what was held against it.
func (l *Ledger) Clear(k Key, from Origin) []Subject {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := slices.ContainsFunc(subjects(k, from), func(s Subject) bool { return l.suspects[s] != nil || l.verdicts[s] != nil })
	if !known {
		return nil
	}
	var list []Subject
	for s, one := range l.suspects {
		if s.Key != k {
			continue
		}
		for id := range one.crashes {
			if c := l.crashes[id]; c != nil {
				delete(c.suspects, s)
			}
		}
		delete(l.suspects, s)
		list = append(list, s)
	}
	for s := range l.verdicts {
		if s.Key == k {
			delete(l.verdicts, s)
			list = append(list, s)
		}
	}
	return list
}

// Release ends the term of a verdict. The request may run again, and its next crash convicts
// it once more, for twice as long.
func (l *Ledger) Release(s Subject) {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.verdicts[s]
	if v == nil {
		return
	}
	delete(l.verdicts, s)
	l.suspects[s] = &suspect{crashes: map[uint64]bool{}, last: l.now(), paroled: min(2*v.Term, longestTerm)}
}

// Served returns the verdicts whose term is over.
func (l *Ledger) Served() []Subject {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	var list []Subject
	for s, v := range l.verdicts {
		if now.Sub(v.since) >= v.Term {
			list = append(list, s)
		}
	}
	return list
}

// Verdicts returns the requests that are refused.
func (l *Ledger) Verdicts() []Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]Verdict, 0, len(l.verdicts))
	for _, v := range l.verdicts {
		list = append(list, v.Verdict)
	}
	return list
}
