package poison

import (
	"maps"
	"slices"
	"time"
)

const (
	// memoryOfSuspects is how long a crash is held against the requests that were there.
	// Callers repeat a failed request within seconds or minutes.
	memoryOfSuspects = 10 * time.Minute
	// expirePeriod is how often what is too old is looked for: in a flood a look at each
	// crash would take most of its cost.
	expirePeriod = time.Second
	// maxCrashes and maxSuspects bound the memory, and maxVerdicts also the rows in the store;
	// the oldest go first. All full take 8.7 MB (growth of the heap).
	maxCrashes  = 512
	maxSuspects = 4096
	maxVerdicts = 2048
	// maxPerCrash bounds what is noted at one crash, two names a request: more requests than
	// an engine works on at once.
	maxPerCrash = 256
)

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
