package poison

import "time"

const (
	// spontaneousRetention is how long after a crash that no request had caused the next one is assumed
	// to have no such cause either: an endpoint that fails by itself often does so again.
	spontaneousRetention = 10 * time.Second
	// repeatWait is how long after a crash one of its suspects has to come again for the crash not to
	// appear spontaneous.
	repeatWait = 2 * time.Second
)

// Suspicion returns the number of crashes that a request is suspected of. It does not count a crash
// that another request explains better; bystander is set if no others are left. A single crash raises no
// suspicion while endpoints crash by themselves. If that only appears so, since the requests that were at
// work at another crash have not come again at this VM, the request is a bystander.
func (l *Ledger) Suspicion(k Key, origin Origin) (crashes int, bystander bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	present := 0
	for _, s := range subjectsOf(k, origin) {
		likely, score := l.likelyCrashes(s)
		crashes, present = max(crashes, likely), max(present, score)
	}
	switch {
	case present == 0, crashes <= 1 && l.recentlySpontaneous():
		return 0, false
	case crashes <= 1 && l.otherUnrepeated(k):
		return 0, true
	}
	return crashes, crashes == 0
}

// recentlySpontaneous reports whether a crash was caused by none of its suspects, as all were cleared
// within spontaneousRetention. The caller holds mu.
func (l *Ledger) recentlySpontaneous() bool {
	return !l.lastSpontaneous.IsZero() && l.now().Sub(l.lastSpontaneous) <= spontaneousRetention
}

// otherUnrepeated reports whether none of the suspects of a crash within spontaneousRetention has come
// again within repeatWait. A crash says nothing about the requests that were at work there themselves.
// The caller holds mu.
func (l *Ledger) otherUnrepeated(k Key) bool {
	now := l.now()
	for _, c := range l.crashes {
		age := now.Sub(c.recordedAt)
		if age > repeatWait && age <= spontaneousRetention && !c.attributed && !c.repeated && !c.hasSuspect(k) {
			return true
		}
	}
	return false
}

// RecordArrival records that a request has arrived. If it repeats a suspect, the crashes of that one are
// not spontaneous.
func (l *Ledger) RecordArrival(k Key, origin Origin, request string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, subject := range subjectsOf(k, origin) {
		if s := l.suspects[subject]; s != nil && s.request != request {
			l.markRepeated(s)
		}
	}
}

// markRepeated records that a suspect has come again. The caller holds mu.
func (l *Ledger) markRepeated(s *suspect) {
	for id := range s.crashes {
		if c := l.crashes[id]; c != nil {
			c.repeated = true
		}
	}
}

// likelyCrashes returns a subject's score and the part of it that no other request explains better. The
// caller holds mu.
func (l *Ledger) likelyCrashes(k Subject) (likely, score int) {
	score = l.score(k)
	if score == 0 {
		return 0, 0
	}
	likely = score
	presence := l.presence(k)
	for id := range l.suspects[k].crashes {
		if c := l.crashes[id]; c != nil && !c.attributed && c.implicates(k) && l.explainedBetter(c, k, presence) {
			likely--
		}
	}
	return likely, score
}

// OthersSuspected reports whether other requests are suspected of a crash at which a request was not
// at work: two requests that crash endpoints may be about.
func (l *Ledger) OthersSuspected(k Key) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.crashes {
		if !c.attributed && len(c.suspects) > 0 && !c.hasSuspect(k) {
			return true
		}
	}
	return false
}

// hasSuspect reports whether a request from any origin was at work.
func (c *crash) hasSuspect(k Key) bool {
	_, present := c.suspects[Subject{Key: k}]
	return present
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
