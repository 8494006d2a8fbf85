package poison

import (
	"slices"
	"sync"
	"time"

	"github.com/springweir/springweir/internal/clock"
)

// Entry is a quarantine entry: its subject is refused.
type Entry struct {
	Subject Subject
	// Crashes is the number of endpoint crashes attributed to the subject.
	Crashes int
	// Term is the duration of the quarantine.
	Term time.Duration
}

// Status is the state of a request in the Ledger.
type Status int

const (
	// Allowed requests may run.
	Allowed Status = iota
	// Suspected requests await an evaluation, which waits for the reports of the other VMs.
	Suspected
	// Quarantined requests must not run.
	Quarantined
)

// Ledger records which requests were running on endpoints that crashed, as far as reports reached
// this VM, and determines which of them caused the crashes. VMs that have received the same reports
// reach the same result.
//
// Suspects of a crash are the requests that had emitted no event, or all of them if each had
// emitted events, because a harmful request usually crashes its endpoint as it begins. A request
// that was present at three crashes is quarantined, unless another one was present as often. The
// crashes attributed to it no longer count against the others. A complete response clears a
// request.
//
// The parts of its prompt that other requests may share are suspects beside a request. A part is
// quarantined for crashes under at least two different requests, since those under one request alone are
// explained by that request. Parts have no origin: a harmful part is the same for all.
//
// A request is quarantined for all origins only for crashes at which no other request of the same
// origin was suspect. Otherwise a caller could have another caller's request quarantined by sending
// a copy of it together with a harmful request of its own. For that origin itself, all of its
// crashes count.
//
// A Ledger is safe for concurrent use. It calls now and propagationDelay with mu held, and they
// must not call back into it; it takes no other lock while holding mu.
type Ledger struct {
	now func() time.Time
	// propagationDelay returns how long the report of a crash takes to reach all VMs.
	propagationDelay func() time.Duration

	mu       sync.Mutex
	crashes  map[uint64]*crash
	suspects map[Subject]*suspect
	entries  map[Subject]*activeEntry
	// lastSpontaneous is when a crash was last found to have been caused by none of its suspects.
	lastSpontaneous time.Time
	// lastPrune is the time of the last pruning.
	lastPrune time.Time
}

// crash is a recorded crash of an endpoint.
type crash struct {
	recordedAt time.Time
	// suspects maps the requests that were running on the endpoint to whether they had emitted
	// events.
	suspects map[Subject]bool
	// carriers holds the keys of the requests that had each part in their prompts.
	carriers map[Key][]Key
	// attributed is set once one of the suspects is quarantined, attributedTo.
	attributed   bool
	attributedTo Subject
	// repeated is set once one of the suspects has come again or was at work at another crash.
	repeated bool
}

// suspect is a request that was running on endpoints that crashed.
type suspect struct {
	crashes map[uint64]bool
	// request is the ID of the request on this VM, or empty. Parts have none.
	request string
	// lastUpdate is the time of the last report or release.
	lastUpdate time.Time
	// evaluateAt is when the next evaluation is due, or zero.
	evaluateAt time.Time
	// probation is the term of the next entry if the request was quarantined before, otherwise
	// zero.
	probation time.Duration
}

// activeEntry is an entry in force, with the time when this VM added it.
type activeEntry struct {
	Entry
	since time.Time
}

// NewLedger returns an empty ledger. A nil now selects the system clock.
func NewLedger(now func() time.Time, propagationDelay func() time.Duration) *Ledger {
	return &Ledger{
		now: clock.OrSystem(now), propagationDelay: propagationDelay,
		crashes: map[uint64]*crash{}, suspects: map[Subject]*suspect{}, entries: map[Subject]*activeEntry{},
	}
}

// Empty reports whether the ledger holds neither suspects nor entries.
func (l *Ledger) Empty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.suspects) == 0 && len(l.entries) == 0
}

// Status returns the status of a request and, unless that is Allowed, the subject that determines it.
func (l *Ledger) Status(id Identity) (Status, Subject) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	status, determinedBy := Allowed, Subject{}
	for _, subject := range id.subjects() {
		switch s := l.suspects[subject]; {
		case l.entries[subject] != nil:
			return Quarantined, subject
		case s != nil && !s.evaluateAt.IsZero() && now.Before(s.evaluateAt):
			status, determinedBy = Suspected, subject
		}
	}
	return status, determinedBy
}

// IsQuarantined reports whether the ledger holds an entry for a subject.
func (l *Ledger) IsQuarantined(s Subject) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.entries[s] != nil
}

// RecordCrash records a report of a crash by this or another VM. It returns the delay after which
// Evaluate is to be called, or zero if no evaluation is necessary.
func (l *Ledger) RecordCrash(c Crash) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.prune(now)
	recorded := l.crashes[c.ID]
	if recorded == nil {
		recorded = &crash{recordedAt: now, suspects: map[Subject]bool{}, carriers: map[Key][]Key{}}
		l.crashes[c.ID] = recorded
	}
	for _, s := range c.Suspects {
		l.addSuspect(c.ID, recorded, s, now)
	}
	l.enforceLimits()
	return l.scheduleEvaluation(c, now)
}

// addSuspect records a request that was running on an endpoint that crashed, and its parts. If one of
// them is quarantined, the crash is attributed to it instead. The caller holds mu.
func (l *Ledger) addSuspect(id uint64, c *crash, s Suspect, now time.Time) {
	subjects := s.identity().subjects()
	for _, subject := range subjects {
		if l.entries[subject] != nil {
			c.attribute(subject)
			return
		}
	}
	for _, subject := range subjects {
		if !c.add(subject, s) {
			continue
		}
		record := l.suspects[subject]
		if record == nil {
			record = &suspect{crashes: map[uint64]bool{}}
			l.suspects[subject] = record
		}
		record.crashes[id], record.lastUpdate = true, now
		if s.Request != "" && !subject.Part {
			record.request = s.Request
		}
		if len(record.crashes) > 1 {
			l.markRepeated(record)
		}
	}
}

// add records that a subject of a request was present. It reports false if there are too many.
func (c *crash) add(subject Subject, s Suspect) bool {
	streaming, known := c.suspects[subject]
	switch {
	case known:
	case subject.Part && len(c.carriers) >= maxPartsPerCrash:
		return false
	case !subject.Part && len(c.suspects)-len(c.carriers) >= maxSubjectsPerCrash:
		return false
	}
	c.suspects[subject] = s.Streaming && (streaming || !known)
	if subject.Part && !slices.Contains(c.carriers[subject.Key], s.Key) && len(c.carriers[subject.Key]) < maxCarriers {
		c.carriers[subject.Key] = append(c.carriers[subject.Key], s.Key)
	}
	return true
}

// attribute records that a quarantined subject explains the crash.
func (c *crash) attribute(s Subject) {
	if !c.attributed {
		c.attributed, c.attributedTo = true, s
	}
}

// scheduleEvaluation sets the time of the evaluation for those suspects of a crash that reach the
// threshold and have none scheduled. It returns the delay until then, or zero if there are none.
// The caller holds mu.
func (l *Ledger) scheduleEvaluation(c Crash, now time.Time) time.Duration {
	delay := l.propagationDelay()
	scheduled := false
	for _, s := range c.Suspects {
		for _, subject := range s.identity().subjects() {
			if record := l.suspects[subject]; record != nil && record.evaluateAt.IsZero() && l.score(subject) >= quarantineThreshold {
				record.evaluateAt = now.Add(delay)
				scheduled = true
			}
		}
	}
	if !scheduled {
		return 0
	}
	return delay
}

// Add adds an entry that another VM created and reports whether it is new on this VM.
func (l *Ledger) Add(e Entry) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.entries[e.Subject] != nil {
		return false
	}
	l.add(e, l.now())
	l.enforceLimits()
	return true
}

// Clear records that a request received a complete response. It removes all suspects and entries
// with its key and returns their subjects. It returns nil and removes nothing if there is neither a
// suspect nor an entry for the given origin or for any origin.
func (l *Ledger) Clear(k Key, origin Origin) []Subject {
	return l.clear(k, Subject{Key: k}, Subject{Key: k, Origin: origin})
}

// ClearPart records that an engine began to write an answer on a part of a prompt. It removes the suspect and the
// entry of the part and returns their subject, or nil if there is neither.
func (l *Ledger) ClearPart(k Key) []Subject { return l.clear(k, Subject{Key: k, Part: true}) }

// clear removes all suspects and entries with a key if there is one for any of the subjects, and returns
// the subjects removed.
func (l *Ledger) clear(k Key, known ...Subject) []Subject {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !slices.ContainsFunc(known, func(s Subject) bool { return l.suspects[s] != nil || l.entries[s] != nil }) {
		return nil
	}
	var list []Subject
	for s, record := range l.suspects {
		if s.Key == k {
			l.withdraw(s, record)
			list = append(list, s)
		}
	}
	for s := range l.entries {
		if s.Key == k {
			delete(l.entries, s)
			list = append(list, s)
		}
	}
	return list
}

// withdraw removes a suspect. A crash of which no request is suspected any more was spontaneous. The
// caller holds mu.
func (l *Ledger) withdraw(s Subject, record *suspect) {
	for id := range record.crashes {
		c := l.crashes[id]
		if c == nil {
			continue
		}
		delete(c.suspects, s)
		if s.Part {
			delete(c.carriers, s.Key)
		}
		if !s.Part && len(c.suspects) == len(c.carriers) && !c.attributed {
			l.lastSpontaneous = l.now()
		}
	}
	delete(l.suspects, s)
}

// Release removes an entry and puts its subject on probation. The request may run again, and its
// next crash quarantines it once more, for twice as long.
func (l *Ledger) Release(s Subject) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[s]
	if e == nil {
		return
	}
	delete(l.entries, s)
	l.suspects[s] = &suspect{crashes: map[uint64]bool{}, lastUpdate: l.now(), probation: min(2*e.Term, maxTerm)}
}

// Expired returns the subjects of the entries whose term has elapsed.
func (l *Ledger) Expired() []Subject {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	var list []Subject
	for s, e := range l.entries {
		if now.Sub(e.since) >= e.Term {
			list = append(list, s)
		}
	}
	return list
}

// Entries returns the entries in force.
func (l *Ledger) Entries() []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]Entry, 0, len(l.entries))
	for _, e := range l.entries {
		list = append(list, e.Entry)
	}
	return list
}
