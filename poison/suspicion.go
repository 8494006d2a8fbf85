package poison

import "time"

// spontaneousRetention is how long after a crash that no request had caused the next one is assumed
// to have no such cause either: an endpoint that fails by itself often does so again.
const spontaneousRetention = 10 * time.Second

// Suspicion returns the number of crashes that a request is suspected of. It does not count a crash
// that another request explains better. A single crash raises no suspicion while endpoints crash by
// themselves.
func (l *Ledger) Suspicion(k Key, origin Origin) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	most := 0
	for _, s := range subjectsOf(k, origin) {
		most = max(most, l.likelyCrashes(s))
	}
	if most == 1 && !l.lastSpontaneous.IsZero() && l.now().Sub(l.lastSpontaneous) <= spontaneousRetention {
		return 0
	}
	return most
}

// likelyCrashes returns the part of a subject's score that no other request explains better. The
// caller holds mu.
func (l *Ledger) likelyCrashes(k Subject) int {
	n := l.score(k)
	if n == 0 {
		return 0
	}
	presence := l.presence(k)
	for id := range l.suspects[k].crashes {
		if c := l.crashes[id]; c != nil && !c.attributed && c.implicates(k) && l.explainedBetter(c, k, presence) {
			n--
		}
	}
	return n
}

// explainedBetter reports whether another suspect of a crash was present at more crashes than a
// subject that was present at the given number. The caller holds mu.
func (l *Ledger) explainedBetter(c *crash, k Subject, presence int) bool {
	for other := range c.suspects {
		if other.Key != k.Key && l.presence(other) > presence {
			return true
		}
	}
	return false
}

// presence returns the number of crashes at which a subject was a suspect, whatever the other
// requests of its origin. It is cheaper than score. The caller holds mu.
func (l *Ledger) presence(k Subject) int {
	s := l.suspects[k]
	if s == nil {
		return 0
	}
	n := 0
	for id := range s.crashes {
		c := l.crashes[id]
		if c == nil || c.attributed {
			continue
		}
		if streaming, present := c.suspects[k]; present && (!streaming || c.allStreaming()) {
			n++
		}
	}
	return n
}
