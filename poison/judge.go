package poison

import (
	"slices"
	"time"
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
	// firstTerm is how long a request is refused at first, and longestTerm at most; each
	// further verdict doubles it. After its term a request may run again, and a single crash
	// convicts it once more: one that stays bad costs six endpoints an hour at first and one
	// in four hours in the end, and one refused by mistake is free again in ten minutes.
	firstTerm   = 10 * time.Minute
	longestTerm = 4 * time.Hour
)

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
