package roles

import (
	"fmt"

	"github.com/springweir/springweir/engine"
)

// RoleCounts counts the engines of a zone by role.
type RoleCounts struct {
	Prefill, Decode, Mixed int
}

// String returns the counts, as in 1p/2d/1m.
func (s RoleCounts) String() string {
	return fmt.Sprintf("%dp/%dd/%dm", s.Prefill, s.Decode, s.Mixed)
}

// Size returns the number of engines.
func (s RoleCounts) Size() int { return s.Prefill + s.Decode + s.Mixed }

// ShapeOf counts the usable engines by the role they have, or, when they are
// away, the role they had.
func ShapeOf(engines []Engine) RoleCounts {
	var s RoleCounts
	for _, e := range engines {
		if !e.Unusable {
			s = s.add(e.Role, 1)
		}
	}
	return s
}

// add returns the shape with n more engines of role r.
func (s RoleCounts) add(r engine.Role, n int) RoleCounts {
	switch r {
	case engine.Prefill:
		s.Prefill += n
	case engine.Decode:
		s.Decode += n
	default:
		s.Mixed += n
	}
	return s
}

// count returns the number of engines of role r.
func (s RoleCounts) count(r engine.Role) int {
	switch r {
	case engine.Prefill:
		return s.Prefill
	case engine.Decode:
		return s.Decode
	default:
		return s.Mixed
	}
}

// changesTo returns the least number of role changes that lead to t, a shape
// of the same size.
func (s RoleCounts) changesTo(t RoleCounts) int {
	n := 0
	for _, r := range allRoles {
		if d := t.count(r) - s.count(r); d > 0 {
			n += d
		}
	}
	return n
}

// keepsFloors tells whether the shape can prefill and decode as the floors ask.
func (s RoleCounts) keepsFloors(set Settings) bool {
	return s.Prefill+s.Mixed >= set.FloorPrefill && s.Decode+s.Mixed >= set.FloorDecode
}

var allRoles = []engine.Role{engine.Prefill, engine.Decode, engine.Mixed}

// sameDirection tells whether going from current to a and to b asks for at
// least one move in common: a role that both shrink and a role that both grow.
func sameDirection(current, a, b RoleCounts) bool {
	shrinks, grows := false, false
	for _, r := range allRoles {
		da := a.count(r) - current.count(r)
		db := b.count(r) - current.count(r)
		shrinks = shrinks || (da < 0 && db < 0)
		grows = grows || (da > 0 && db > 0)
	}
	return shrinks && grows
}

// maxMoves is the number of changes that a candidate may be away from the
// current shape, in steps of stepOf engines.
const maxMoves = 2

// stepOf is the number of engines moved together in a zone of n engines, so
// that the number of candidates does not grow with the zone.
func stepOf(n int) int {
	const parts = 16
	return 1 + n/parts
}

// candidates returns the shapes within maxMoves steps of s that keep the
// floors, s itself excluded.
func candidates(s RoleCounts, set Settings) []RoleCounts {
	seen := map[RoleCounts]bool{s: true}
	frontier := []RoleCounts{s}
	var all []RoleCounts
	for range maxMoves {
		var next []RoleCounts
		for _, from := range frontier {
			next = append(next, neighbours(from, seen, set)...)
		}
		all = append(all, next...)
		frontier = next
	}
	return all
}

// neighbours returns the unseen shapes one step from s.
func neighbours(s RoleCounts, seen map[RoleCounts]bool, set Settings) []RoleCounts {
	step := stepOf(s.Size())
	var out []RoleCounts
	for _, from := range allRoles {
		for _, to := range allRoles {
			n := min(step, s.count(from))
			if from == to || n == 0 {
				continue
			}
			t := s.add(from, -n).add(to, n)
			if seen[t] || !t.keepsFloors(set) {
				continue
			}
			seen[t] = true
			out = append(out, t)
		}
	}
	return out
}
