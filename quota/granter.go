// Package quota keeps the requests of each organisation within its limit, which holds for all VMs
// together.
//
// Each limit is granted by one VM, its granter: the first responsive VM in an order that all VMs
// compute alike. The others ask it for each request. A VM that does not reach the granter asks the next
// one, and uses its own part of the limit if it reaches neither.
package quota

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/springweir/springweir/loadshare"
	"github.com/springweir/springweir/organisation"
)

// deputyIdle is how long a VM that is not the granter of a limit keeps the bucket that it grants from
// when another VM does not reach the granter.
const deputyIdle = 2 * time.Second

// Granter grants the limits of organisations, to this VM and to others. It is safe for concurrent use;
// mu is a leaf lock.
//
// Invariant: a VM that becomes the granter of a limit starts with an empty bucket, since its
// predecessor may have granted the whole burst just before.
type Granter struct {
	self string
	// limit returns the configured limit of an organisation; nothing is granted without one.
	limit func(organisation string) organisation.Limit
	now   func() time.Time

	mu      sync.Mutex
	members loadshare.Membership
	// changedAt is when the responsive VMs last changed.
	changedAt time.Time
	grants    map[string]*grant
}

// grant is what this VM has granted to an organisation.
type grant struct {
	bucket bucket
	// isGranter is whether this VM was the granter at the last request, and usedAt when that was.
	isGranter bool
	usedAt    time.Time
}

// newGranter returns a granter of a VM that knows of no others.
func newGranter(self string, limit func(string) organisation.Limit, now func() time.Time) *Granter {
	return &Granter{self: self, limit: limit, now: now, members: loadshare.Membership{Live: []loadshare.Member{{Name: self}}, Registered: 1}, changedAt: now(), grants: map[string]*grant{}}
}

// setMembers sets the responsive VMs.
func (g *Granter) setMembers(m loadshare.Membership) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !slices.Equal(m.Live, g.members.Live) {
		g.changedAt = g.now()
	}
	g.members = m
}

// order returns the first n responsive VMs in the order for an organisation.
func (g *Granter) order(organisation string, n int) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return firstVMs(g.members.Live, organisation, n)
}

// firstVMs returns the first n VMs in the order for an organisation.
func firstVMs(live []loadshare.Member, organisation string, n int) []string {
	hash := xxhash.Sum64String(organisation)
	var first []loadshare.Member
	for _, m := range live {
		pos, _ := slices.BinarySearchFunc(first, m, func(a, b loadshare.Member) int {
			if a.PrecedesFor(hash, b) {
				return -1
			}
			return 1
		})
		if pos < n {
			first = slices.Insert(first, pos, m)
			first = first[:min(n, len(first))]
		}
	}
	names := make([]string, len(first))
	for i, m := range first {
		names[i] = m.Name
	}
	return names
}

// reserve takes the cost of a request from a limit, or returns the time after which the limit has
// something left. The error is *NoLimitError.
func (g *Granter) reserve(organisation string, cost float64) (wait time.Duration, err error) {
	l := g.limit(organisation)
	g.mu.Lock()
	defer g.mu.Unlock()
	if !l.Limited() {
		delete(g.grants, organisation)
		return 0, &NoLimitError{Organisation: organisation}
	}
	return g.current(organisation).bucket.take(g.now(), scale(l, g.reachable()), cost), nil
}

// refund gives back the cost of a request that was not run. The error is *NoLimitError.
func (g *Granter) refund(organisation string, cost float64) error {
	l := g.limit(organisation)
	g.mu.Lock()
	defer g.mu.Unlock()
	if !l.Limited() {
		return &NoLimitError{Organisation: organisation}
	}
	g.current(organisation).bucket.refund(g.now(), scale(l, g.reachable()), cost)
	return nil
}

// current returns the grant of an organisation, emptied if it may not go on. The caller holds mu.
func (g *Granter) current(organisation string) *grant {
	now := g.now()
	isGranter := firstVMs(g.members.Live, organisation, 1)[0] == g.self
	c := g.grants[organisation]
	switch {
	case c == nil:
		c = &grant{bucket: newBucket(g.changedAt)}
		if !isGranter {
			c.bucket = newBucket(now)
		}
		g.grants[organisation] = c
	case isGranter && !c.isGranter:
		c.bucket = newBucket(g.changedAt)
	case !isGranter && now.Sub(c.usedAt) > deputyIdle:
		c.bucket = newBucket(now)
	}
	c.isGranter, c.usedAt = isGranter, now
	return c
}

// reachable returns the part of each limit that the responsive VMs may use: those that are cut off
// from them may be using the rest. A VM that stopped leaves its part to the others, so silent VMs count
// only if nothing in their availability zone responds, or nothing at all. The caller holds mu.
func (g *Granter) reachable() float64 {
	m := g.members
	if len(m.Live) == 1 {
		return 1 / float64(max(1, m.Registered))
	}
	return float64(len(m.Live)) / float64(len(m.Live)+m.InSilentZones)
}

// scale returns a part of a limit.
func scale(l organisation.Limit, part float64) organisation.Limit {
	l.PerSecond *= part
	l.Burst *= part
	return l
}
