package poison

import (
	"slices"
	"sync"
	"time"
)

const (
	// minCarriers is the number of different requests under which endpoints must have crashed before a part
	// that they share is blamed. The crashes under one request are explained by that request.
	minCarriers = 2
	// answeredRetention is how long an answer on a part counts in favour of the part.
	answeredRetention = time.Minute
	// simultaneousCrashes is the time within which crashes are taken to have one cause, such as the loss of a rack.
	// An answer before the first of them is evidence that none is due to the part.
	simultaneousCrashes = 1500 * time.Millisecond
	// maxAnsweredParts bounds the parts that are remembered; the oldest are dropped first.
	maxAnsweredParts = 4096
)

// partScore returns the number of crashes that a part may have caused: zero unless it was in the prompts of
// different requests. A crash that a quarantined request explains counts too if that request has the part and
// other requests with it have crashed endpoints as well. The caller holds mu.
func (l *Ledger) partScore(k Subject, s *suspect) int {
	n, explained := 0, 0
	carriers := map[Key]bool{}
	for id := range s.crashes {
		c := l.crashes[id]
		if c == nil || !c.implicates(k) {
			continue
		}
		switch {
		case !c.attributed:
			n++
		case c.carries(c.attributedTo, k):
			explained++
		default:
			continue
		}
		for _, request := range c.carriers[k.Key] {
			carriers[request] = true
		}
	}
	if len(carriers) < minCarriers {
		return 0
	}
	if n >= minCarriers {
		n += explained
	}
	return n
}

// carries reports whether a request that was at work has a part.
func (c *crash) carries(request, part Subject) bool {
	return !request.Part && slices.Contains(c.carriers[part.Key], request.Key)
}

// answeredParts remembers the parts of prompts on which engines have begun to write answers to requests of this VM.
// It is safe for concurrent use; mu is a leaf lock.
type answeredParts struct {
	mu    sync.Mutex
	parts recent[Key, answeredPart]
}

// answeredPart is when the last answer on a part began, and when an endpoint crashed first after that;
// zero if none has.
type answeredPart struct{ answeredAt, crashedAt time.Time }

func newAnsweredParts() *answeredParts {
	return &answeredParts{parts: newRecent[Key, answeredPart](maxAnsweredParts)}
}

// add records an answer on parts.
func (a *answeredParts) add(parts []Key, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, part := range parts {
		a.parts.put(part, answeredPart{answeredAt: now})
	}
}

// exonerate reports whether answers on a part show that it did not cause a crash that became known now: there was
// one since the previous crash, or the previous crashes are recent enough to have the same cause.
func (a *answeredParts) exonerate(part Key, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	known, answered := a.parts.get(part)
	if !answered || now.Sub(known.answeredAt) > answeredRetention {
		return false
	}
	if known.crashedAt.IsZero() {
		known.crashedAt = now
		a.parts.put(part, known)
	}
	return now.Sub(known.crashedAt) <= simultaneousCrashes
}
