package poison

import (
	"slices"
	"time"
)

const (
	// quarantineThreshold is how many endpoints a request may crash before it is quarantined. One
	// crash is no proof, since many requests were running there. Two crashes share an innocent
	// request whenever an interrupted run is placed again beside the request that caused the first
	// crash. Three is the number of endpoints that the platform allows a request to cost.
	quarantineThreshold = 3
	// tieThreshold replaces quarantineThreshold if another request was present at the same crashes.
	// The next crash almost always distinguishes the two.
	tieThreshold = 4
	// initialTerm is the duration of the first quarantine and maxTerm the longest; each further
	// quarantine doubles it. Afterwards the request may run again, and a single crash quarantines
	// it once more: a request that remains harmful costs six endpoints an hour at first and one in
	// four hours eventually, and one quarantined by mistake is allowed again after ten minutes.
	initialTerm = 10 * time.Minute
	maxTerm     = 4 * time.Hour
)

// score returns the number of crashes that a subject may have caused. Those that a quarantined one explains count
// only if a further one is not explained and they reach tieThreshold together: two harmful requests are often at
// work at the same crashes. The caller holds mu.
func (l *Ledger) score(k Subject) int {
	s := l.suspects[k]
	if s == nil {
		return 0 // evicted by maxSuspects
	}
	n := 0
	if s.probation > 0 {
		n = quarantineThreshold - 1
	}
	if k.Part {
		return n + l.partScore(k, s)
	}
	own, explained := 0, 0
	for id := range s.crashes {
		c := l.crashes[id]
		switch {
		case c == nil || !c.implicates(k):
		case !c.attributed:
			own++
		case c.attributedTo.Key != k.Key:
			explained++
		}
	}
	if own > 0 && own+explained >= tieThreshold {
		own += explained
	}
	return n + own
}

// implicates reports whether a subject may have caused the crash. A request that had emitted
// events is implicated only if all requests had. A subject of any origin is implicated only if one
// of its origins has no other candidate.
func (c *crash) implicates(k Subject) bool {
	streaming, present := c.suspects[k]
	if !present || streaming && !c.allStreaming() {
		return false
	}
	return k.Part || k.Origin != anyOrigin || c.soleCandidate(k.Key, streaming)
}

// allStreaming reports whether all requests on the endpoint had emitted events.
func (c *crash) allStreaming() bool {
	for _, streaming := range c.suspects {
		if !streaming {
			return false
		}
	}
	return true
}

// soleCandidate reports whether a request came from an origin of which no other request may have
// caused the crash.
func (c *crash) soleCandidate(k Key, streaming bool) bool {
	others := map[Origin]bool{}
	for s, streamed := range c.suspects {
		if !s.Part && s.Key != k && streamed == streaming {
			others[s.Origin] = true
		}
	}
	for s, streamed := range c.suspects {
		if s.Key == k && s.Origin != anyOrigin && streamed == streaming && !others[s.Origin] {
			return true
		}
	}
	return false
}

// Evaluate quarantines the suspects that are due for evaluation and have reached the threshold. It
// returns the new entries, highest score first.
func (l *Ledger) Evaluate() []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	var list []Entry
	for {
		top := l.topSuspects(now)
		if len(top) == 0 {
			break
		}
		list = append(list, l.quarantine(top, now)...)
	}
	for _, s := range l.suspects {
		if !s.evaluateAt.After(now) {
			s.evaluateAt = time.Time{}
		}
	}
	l.enforceLimits()
	return list
}

// topSuspects returns the due suspects with the highest score at or above the threshold. The
// caller holds mu.
func (l *Ledger) topSuspects(now time.Time) []Subject {
	var top []Subject
	highest := quarantineThreshold
	for k, s := range l.suspects {
		if s.evaluateAt.IsZero() || s.evaluateAt.After(now) {
			continue
		}
		n := l.score(k)
		if n < highest || n < tieThreshold && l.tied(k, n) {
			continue
		}
		if n > highest {
			top, highest = nil, n
		}
		top = append(top, k)
	}
	return top
}

// tied reports whether another request present at one of the crashes has at least the same score.
// The caller holds mu.
func (l *Ledger) tied(k Subject, score int) bool {
	for id := range l.suspects[k].crashes {
		c := l.crashes[id]
		if c == nil || c.attributed || !c.implicates(k) {
			continue
		}
		for other := range c.suspects {
			if other.Key != k.Key && c.implicates(other) && l.score(other) >= score {
				return true
			}
		}
	}
	return false
}

// quarantine adds an entry for each subject. A request quarantined for all origins needs no entry
// for a single one. The caller holds mu.
func (l *Ledger) quarantine(top []Subject, now time.Time) []Entry {
	var list []Entry
	for _, k := range top {
		if k.Origin != anyOrigin && slices.Contains(top, Subject{Key: k.Key}) {
			l.suspects[k].evaluateAt = time.Time{}
			continue
		}
		list = append(list, Entry{Subject: k, Crashes: l.score(k), Term: max(initialTerm, l.suspects[k].probation)})
	}
	for _, e := range list {
		l.add(e, now)
	}
	return list
}

// add adds an entry and attributes the crashes of its subject, so that they no longer count
// against other requests. The caller holds mu.
func (l *Ledger) add(e Entry, now time.Time) {
	if s := l.suspects[e.Subject]; s != nil {
		for id := range s.crashes {
			if c := l.crashes[id]; c != nil {
				c.attribute(e.Subject)
			}
		}
		delete(l.suspects, e.Subject)
	}
	l.entries[e.Subject] = &activeEntry{Entry: e, since: now}
}
