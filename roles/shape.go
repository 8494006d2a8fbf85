package roles

import (
	"fmt"

	"github.com/springweir/springweir/engine"
)

// RoleCounts is the number of engines of a zone in each role.
type RoleCounts struct {
	Prefill, Decode, Mixed int
}

// String returns the counts, as in 1p/2d/1m.
func (s RoleCounts) String() string {
	return fmt.Sprintf("%dp/%dd/%dm", s.Prefill, s.Decode, s.Mixed)
}

// Size returns the number of engines.
func (s RoleCounts) Size() int { return s.Prefill + s.Decode + s.Mixed }

// CountRoles counts the usable engines by role; an unavailable engine counts in the last role that
// it had.
func CountRoles(engines []Engine) RoleCounts {
	var s RoleCounts
	for _, e := range engines {
		if !e.Unusable {
			s = s.add(e.Role, 1)
		}
	}
	return s
}

// add returns the counts with n more engines of role r.
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

// changesTo returns the minimum number of role changes that lead to target, which has the same
// size.
func (s RoleCounts) changesTo(target RoleCounts) int {
	n := 0
	for _, r := range allRoles {
		if d := target.count(r) - s.count(r); d > 0 {
			n += d
		}
	}
	return n
}

// meetsFloors reports whether enough engines can prefill and decode.
func (s RoleCounts) meetsFloors(set Settings) bool {
	return s.Prefill+s.Mixed >= set.FloorPrefill && s.Decode+s.Mixed >= set.FloorDecode
}

var allRoles = []engine.Role{engine.Prefill, engine.Decode, engine.Mixed}

// sameDirection reports whether changing from current to a and to b have a move in common: a role
// that shrinks in both and a role that grows in both.
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

// maxSteps is the maximum distance of a candidate from the current counts, in steps of stepSize
// engines.
const maxSteps = 2

// stepSize returns the number of engines that change together in a zone of n engines, so that the
// number of candidates does not grow with the zone.
func stepSize(n int) int {
	const parts = 16
	return 1 + n/parts
}

// candidates returns the role counts within maxSteps steps of s that meet the floors, except s.
func candidates(s RoleCounts, set Settings) []RoleCounts {
	seen := map[RoleCounts]bool{s: true}
	frontier := []RoleCounts{s}
	var all []RoleCounts
	for range maxSteps {
		var next []RoleCounts
		for _, from := range frontier {
			next = append(next, neighbours(from, seen, set)...)
		}
		all = append(all, next...)
		frontier = next
	}
	return all
}

// neighbours returns the unseen role counts one step from s.
func neighbours(s RoleCounts, seen map[RoleCounts]bool, set Settings) []RoleCounts {
	step := stepSize(s.Size())
	var out []RoleCounts
	for _, from := range allRoles {
		for _, to := range allRoles {
			n := min(step, s.count(from))
			if from == to || n == 0 {
				continue
			}
			counts := s.add(from, -n).add(to, n)
			if seen[counts] || !counts.meetsFloors(set) {
				continue
			}
			seen[counts] = true
			out = append(out, counts)
		}
	}
	return out
}
