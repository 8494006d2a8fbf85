package poison

import (
	"slices"
	"time"
)

const (
	// spontaneousRetention is how long after a crash that no request had caused the next one is assumed
	// to have no such cause either: an endpoint that fails by itself often does so again.
	spontaneousRetention = 10 * time.Second
	// repeatWait is how long after a crash one of its suspects has to come again for the crash not to
	// appear spontaneous.
	repeatWait = 2 * time.Second
)

// Evidence is what is known against a request. The zero value means that there is nothing.
type Evidence struct {
	// Crashes is the number of crashes that the request or one of its parts is suspected of.
	Crashes int
	// Bystander is set if Crashes is zero because another request explains each crash better.
	Bystander bool
	// Key is that of the request or, if more crashes are held against a part, of the part.
	Key Key
}

// Suspicion returns the evidence against a request. It does not count a crash
// that another request explains better; Bystander is set if no others are left. A single crash raises no
// suspicion while endpoints crash by themselves. If that only appears so, since the requests that were at
// work at another crash have not come again, the request is a bystander.
func (l *Ledger) Suspicion(id Identity) Evidence {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, present := Evidence{Key: id.Key}, 0
	for _, s := range id.subjects() {
		likely, score := l.likelyCrashes(s)
		present = max(present, score)
		if likely > e.Crashes {
			e.Crashes, e.Key = likely, s.Key
		}
	}
	switch {
	case present == 0, e.Crashes <= 1 && l.recentlySpontaneous():
		return Evidence{}
	case e.Crashes <= 1 && l.otherUnrepeated(id):
		return Evidence{Bystander: true, Key: e.Key}
	}
	e.Bystander = e.Crashes == 0
	return e
}

// recentlySpontaneous reports whether a crash was caused by none of its suspects, as all were cleared
// within spontaneousRetention. The caller holds mu.
func (l *Ledger) recentlySpontaneous() bool {
	return !l.lastSpontaneous.IsZero() && l.now().Sub(l.lastSpontaneous) <= spontaneousRetention
}

// otherUnrepeated reports whether none of the suspects of a crash within spontaneousRetention has come
// again at any VM within repeatWait. A crash says nothing about the requests that were at work there themselves.
// The caller holds mu.
func (l *Ledger) otherUnrepeated(id Identity) bool {
	now := l.now()
	for _, c := range l.crashes {
		age := now.Sub(c.recordedAt)
		if age > repeatWait && age <= spontaneousRetention && !c.attributed && !c.repeated && !c.hasSuspect(id) {
			return true
		}
	}
	return false
}

// RecordArrival records that a request has arrived. If it repeats a suspect, the crashes of that one are
// not spontaneous; those of which this was not known are returned. That a part comes again says nothing, since
// sound requests may share it.
func (l *Ledger) RecordArrival(id Identity, request string) (recurred []uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, subject := range id.subjects() {
		if s := l.suspects[subject]; s != nil && !subject.Part && s.request != request {
			recurred = append(recurred, l.markRepeated(s)...)
		}
	}
	return recurred
}

// RecordRecurrence records that a suspect of a crash has come again at another VM.
func (l *Ledger) RecordRecurrence(crash uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.crashes[crash]; c != nil {
		c.repeated = true
	}
}

// markRepeated records that a suspect has come again, and returns its crashes of which this was not known. The
// caller holds mu.
func (l *Ledger) markRepeated(s *suspect) (crashes []uint64) {
	for id := range s.crashes {
		if c := l.crashes[id]; c != nil && !c.repeated {
			c.repeated = true
			crashes = append(crashes, id)
		}
	}
	return crashes
}

// likelyCrashes returns a subject's score and the part of it that no other request explains better. The
// caller holds mu.
func (l *Ledger) likelyCrashes(k Subject) (likely, score int) {
	presence := l.presence(k)
	score = presence
	if !k.Part {
		score = l.score(k)
	}
	if score == 0 {
		return 0, 0
	}
	likely = score
	for id := range l.suspects[k].crashes {
		if c := l.crashes[id]; c != nil && !c.attributed && c.implicates(k) && l.explainedBetter(c, k, presence) {
			likely--
		}
	}
	return likely, score
}

// OthersSuspected reports whether other requests are suspected of a crash at which a request was not
// at work: two requests that crash endpoints may be about.
func (l *Ledger) OthersSuspected(id Identity) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.crashes {
		if !c.attributed && len(c.suspects) > 0 && !c.hasSuspect(id) {
			return true
		}
	}
	return false
}

// hasSuspect reports whether a request from any origin, or another one with one of its parts, was at work.
func (c *crash) hasSuspect(id Identity) bool {
	if _, present := c.suspects[Subject{Key: id.Key}]; present {
		return true
	}
	return slices.ContainsFunc(id.Parts, func(part Key) bool { return c.carriers[part] != nil })
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
