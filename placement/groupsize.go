package placement

import (
	"slices"
	"time"

	"github.com/springweir/springweir/directory"
)

// groupPeakTTL is how long a former size of a group that has shrunk is its reference: longer than it
// takes to replace a crashed endpoint.
const groupPeakTTL = 10 * time.Second

// groupSize is the number of endpoints of a group that are up.
type groupSize struct {
	current int
	// earlier holds larger sizes within groupPeakTTL, the largest and oldest first.
	earlier []earlierSize
}

// earlierSize is a size that a group had until a time.
type earlierSize struct {
	size  int
	until time.Time
}

// groupSizes holds the size of each group.
type groupSizes map[directory.Group]*groupSize

// record records the current size of a group.
func (s *groupSize) record(now time.Time, size int) {
	if size < s.current {
		s.earlier = append(s.earlier, earlierSize{s.current, now})
	}
	s.current = size
	s.earlier = slices.DeleteFunc(s.earlier, func(e earlierSize) bool {
		return e.size <= size || now.Sub(e.until) > groupPeakTTL
	})
}

// reference returns the largest size that the group had within groupPeakTTL.
func (s *groupSize) reference(now time.Time) int {
	for _, e := range s.earlier {
		if now.Sub(e.until) <= groupPeakTTL {
			return e.size
		}
	}
	return s.current
}

// recordGroups records the sizes of all groups. The caller holds mu.
func (p *Planner) recordGroups(endpoints *directory.Snapshot) {
	now := p.now()
	sizes := map[directory.Group]int{}
	for g := range p.groups {
		sizes[g] = 0
	}
	for g, size := range endpoints.UsableInGroups() {
		sizes[g] = size
	}
	for load := range p.loads.down {
		if !load.down(now) {
			delete(p.loads.down, load)
			continue
		}
		if e := endpoints.Endpoint(load.id); e != nil && e.StartedAt == load.startedAt && e.Usable() {
			sizes[e.Group()]--
		}
	}
	for g, size := range sizes {
		s := p.groups[g]
		if s == nil {
			s = &groupSize{}
			p.groups[g] = s
		}
		s.record(now, size)
		if s.reference(now) == 0 {
			delete(p.groups, g)
		}
	}
}
