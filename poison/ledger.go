package poison

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/springweir/springweir/internal/clock"
)

const (
	// crashesToConvict is how many endpoints a request may crash before it is refused. One
	// crash proves nothing, since many requests were at work there. Two have an innocent
	// request in common whenever a broken run is placed anew beside the one that did it;
	// three are what the platform lets a request cost.
	crashesToConvict = 3
	// crashesIfTied is how many it takes where another request was there each time, which
	// the next crash almost always tells apart.
	crashesIfTied = 4
	// memoryOfSuspects is how long a crash is held against the requests that were there.
	// Callers repeat a failed request within seconds or minutes.
	memoryOfSuspects = 10 * time.Minute
	// firstTerm is how long a request is refused at first, and longestTerm at most; each
	// further verdict doubles it. After its term a request may run again, and a single crash
	// convicts it once more: one that stays bad costs six endpoints an hour at first and one
	// in four hours in the end, and one refused by mistake is free again in ten minutes.
	firstTerm   = 10 * time.Minute
	longestTerm = 4 * time.Hour
	// expirePeriod is how often what is too old is looked for: in a flood a look at each
	// crash would take most of its cost.
	expirePeriod = time.Second
	// maxCrashes and maxSuspects bound the memory, about 600 KB when full; the oldest go first.
	// maxVerdicts bounds the rows in the store too.
	maxCrashes = 512
	// maxPerCrash bounds the requests noted at one crash: more than an engine works on at once.
	maxPerCrash = 256
	maxSuspects = 4096
	maxVerdicts = 2048
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

// score is the number of crashes that a request may be to blame for. The caller holds mu.
func (l *Ledger) score(k Subject) int {
	s := l.suspects[k]
	if s == nil {
		return 0 // forgotten, for want of room
	}
	n := 0
	if s.paroled > 0 {
		n = crashesToConvict - 1
	}
	for id := range s.crashes {
		if c := l.crashes[id]; c != nil && !c.explained && c.blames(k) {
			n++
		}
	}
	return n
}

// blames tells whether a request may be to blame for a crash: one that had given events only
// if all had, and as one of any address only if nothing else from its address may.
func (c *crash) blames(k Subject) bool {
	streaming, there := c.suspects[k]
	if !there || streaming && !c.allStreaming() {
		return false
	}
	return k.Origin != anyOrigin || c.alone(k.Key, streaming)
}

// allStreaming tells whether all requests that were there had given events.
func (c *crash) allStreaming() bool {
	for _, streaming := range c.suspects {
		if !streaming {
			return false
		}
	}
	return true
}

// alone tells whether a request came from some address of which nothing else that was there
// may be to blame.
func (c *crash) alone(k Key, streaming bool) bool {
	others := map[Origin]bool{}
	for s, had := range c.suspects {
		if s.Key != k && had == streaming {
			others[s.Origin] = true
		}
	}
	for s, had := range c.suspects {
		if s.Key == k && s.Origin != anyOrigin && had == streaming && !others[s.Origin] {
			return true
		}
	}
	return false
}

// Judge decides on the requests whose time has come and returns the new verdicts, the worst
// first.
func (l *Ledger) Judge() []Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	var list []Verdict
	for {
		worst := l.worst(now)
		if len(worst) == 0 {
			break
		}
		list = append(list, l.convict(worst, now)...)
	}
	for _, s := range l.suspects {
		if !s.due.After(now) {
			s.due = time.Time{}
		}
	}
	l.bound()
	return list
}

// worst returns the requests to convict next: those to blame for the most crashes. The caller
// holds mu.
func (l *Ledger) worst(now time.Time) []Subject {
	var worst []Subject
	most := crashesToConvict
	for k, s := range l.suspects {
		if s.due.IsZero() || s.due.After(now) {
			continue
		}
		n := l.score(k)
		if n < most || n < crashesIfTied && l.tied(k, n) {
			continue
		}
		if n > most {
			worst, most = nil, n
		}
		worst = append(worst, k)
	}
	return worst
}

// tied tells whether another request was there as often. The caller holds mu.
func (l *Ledger) tied(k Subject, score int) bool {
	for id := range l.suspects[k].crashes {
		c := l.crashes[id]
		if c == nil || c.explained || !c.blames(k) {
			continue
		}
		for other := range c.suspects {
			if other.Key != k.Key && c.blames(other) && l.score(other) >= score {
				return true
			}
		}
	}
	return false
}

// convict makes requests be refused. One refused from all addresses needs no verdict for a
// single one. The caller holds mu.
func (l *Ledger) convict(worst []Subject, now time.Time) []Verdict {
	var list []Verdict
	for _, k := range worst {
		if k.Origin != anyOrigin && slices.Contains(worst, Subject{Key: k.Key}) {
			l.suspects[k].due = time.Time{}
			continue
		}
		list = append(list, Verdict{Subject: k, Crashes: l.score(k), Term: max(firstTerm, l.suspects[k].paroled)})
	}
	for _, v := range list {
		l.refuse(v, now)
	}
	return list
}

// refuse takes in a verdict. The caller holds mu.
func (l *Ledger) refuse(v Verdict, now time.Time) {
	if s := l.suspects[v.Subject]; s != nil {
		for id := range s.crashes {
			if c := l.crashes[id]; c != nil {
				c.explained = true
			}
		}
		delete(l.suspects, v.Subject)
	}
	l.verdicts[v.Subject] = &verdict{Verdict: v, since: now}
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

// expire forgets what is too old to count. The caller holds mu.
func (l *Ledger) expire(now time.Time) {
	if now.Sub(l.expired) < expirePeriod {
		return
	}
	l.expired = now
	for id, c := range l.crashes {
		if now.Sub(c.at) > memoryOfSuspects {
			l.forgetCrash(id)
		}
	}
	for k, s := range l.suspects {
		if now.Sub(s.last) > max(memoryOfSuspects, s.paroled) {
			delete(l.suspects, k)
		}
	}
}

// forgetCrash forgets a crash, with the requests that no other is held against. The caller
// holds mu.
func (l *Ledger) forgetCrash(id uint64) {
	for k := range l.crashes[id].suspects {
		if s := l.suspects[k]; s != nil {
			delete(s.crashes, id)
		}
	}
	delete(l.crashes, id)
}

// bound forgets the oldest where there is too much. The caller holds mu.
func (l *Ledger) bound() {
	for _, id := range oldest(l.crashes, maxCrashes, func(c *crash) time.Time { return c.at }) {
		l.forgetCrash(id)
	}
	for _, k := range oldest(l.suspects, maxSuspects, func(s *suspect) time.Time { return s.last }) {
		delete(l.suspects, k)
	}
	for _, k := range oldest(l.verdicts, maxVerdicts, func(v *verdict) time.Time { return v.since }) {
		delete(l.verdicts, k)
	}
}

// oldest returns the oldest entries of a map that has more than most, a tenth at once so that
// a flood does not sort the map for each entry.
func oldest[K comparable, V any](m map[K]V, most int, at func(V) time.Time) []K {
	if len(m) <= most {
		return nil
	}
	keys := slices.SortedFunc(maps.Keys(m), func(a, b K) int { return at(m[a]).Compare(at(m[b])) })
	return keys[:len(m)-most+most/10]
}
