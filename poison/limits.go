package poison

import (
	"maps"
	"slices"
	"time"
)

const (
	// suspectRetention is how long a crash counts against the requests that were running on the
	// endpoint. Callers repeat a failed request within seconds or minutes.
	suspectRetention = 10 * time.Minute
	// pruneInterval is the least time between two prunings. During a flood, pruning at each crash
	// would dominate the cost of recording it.
	pruneInterval = time.Second
	// maxCrashes, maxSuspects and maxEntries bound the memory, and maxEntries also the rows in the
	// store; the oldest are evicted first. At capacity they take 8.7 MB of heap.
	maxCrashes  = 512
	maxSuspects = 4096
	maxEntries  = 2048
	// maxSubjectsPerCrash bounds the subjects recorded for one crash. With two subjects per
	// request, it suffices for more requests than an engine runs concurrently.
	maxSubjectsPerCrash = 256
	// maxPartsPerCrash and maxCarriers bound the parts recorded for one crash and the requests recorded
	// for each of them.
	maxPartsPerCrash = 64
	maxCarriers      = 8
)

// prune removes crashes and suspects that are too old to count. The caller holds mu.
func (l *Ledger) prune(now time.Time) {
	if now.Sub(l.lastPrune) < pruneInterval {
		return
	}
	l.lastPrune = now
	for id, c := range l.crashes {
		if now.Sub(c.recordedAt) > suspectRetention {
			l.removeCrash(id)
		}
	}
	for k, s := range l.suspects {
		if now.Sub(s.lastUpdate) > max(suspectRetention, s.probation) {
			delete(l.suspects, k)
		}
	}
}

// removeCrash removes a crash and its references from the suspects. The caller holds mu.
func (l *Ledger) removeCrash(id uint64) {
	for k := range l.crashes[id].suspects {
		if s := l.suspects[k]; s != nil {
			delete(s.crashes, id)
		}
	}
	delete(l.crashes, id)
}

// enforceLimits evicts the oldest crashes, suspects and entries beyond the limits. The caller
// holds mu.
func (l *Ledger) enforceLimits() {
	for _, id := range oldest(l.crashes, maxCrashes, func(c *crash) time.Time { return c.recordedAt }) {
		l.removeCrash(id)
	}
	for _, k := range oldest(l.suspects, maxSuspects, func(s *suspect) time.Time { return s.lastUpdate }) {
		delete(l.suspects, k)
	}
	for _, k := range oldest(l.entries, maxEntries, func(e *activeEntry) time.Time { return e.since }) {
		delete(l.entries, k)
	}
}

// oldest returns the oldest keys of a map that holds more than limit entries. It returns a tenth
// of limit more than necessary, so that a flood does not sort the map for each insertion.
func oldest[K comparable, V any](m map[K]V, limit int, timeOf func(V) time.Time) []K {
	if len(m) <= limit {
		return nil
	}
	keys := slices.SortedFunc(maps.Keys(m), func(a, b K) int { return timeOf(m[a]).Compare(timeOf(m[b])) })
	return keys[:len(m)-limit+limit/10]
}
