// Package share divides the polling of a zone's engines over the zone's
// entries, and spreads what each has read to all of them.
//
// Every engine is polled by the entry that ranks first for it by rendezvous
// hashing, and each entry pulls from one peer at a time what it lacks. The
// peers are taken at distances 1, 2, 4 ... along the roster, so that a report
// reaches n entries in about log2 n pulls, and is sent to each of them once.
package share

import (
	"math/bits"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/springweir/springweir/contact"
)

const (
	// TakeoverAge is the age of an engine's newest report at which the next entry
	// in rank polls it too. In a large zone a report is up to a poll, a
	// publication and a round of pulls old, 7 s.
	TakeoverAge = 8 * time.Second
	// maxRank is the last rank that takes over.
	maxRank = 3
	// smallZone is the largest zone in which each entry pulls round once in
	// smallPeriod. In a larger one a round takes largePeriod.
	smallZone   = 8
	smallPeriod = time.Second
	largePeriod = 4 * time.Second
)

// Rank returns the place of the VM among those that may poll the endpoint,
// from zero, or -1 if it is not one of them. VMs that hold different rosters
// agree but for the VMs in which the rosters differ.
func Rank(r contact.Roster, vm, endpoint string) int {
	if !r.IsActive(vm) {
		return -1
	}
	mine := weight(vm, endpoint)
	rank := 0
	for _, other := range r.VMs {
		if other.Name == vm || other.Excluded() {
			continue
		}
		w := weight(other.Name, endpoint)
		if w > mine || w == mine && strings.Compare(other.Name, vm) < 0 {
			rank++
		}
	}
	return rank
}

// ShouldPoll tells whether the VM should poll the endpoint whose newest report is
// of that age. The first in rank always does; the next ones fill a gap when
// reports stop coming. Polling twice is harmless.
func ShouldPoll(r contact.Roster, vm, endpoint string, age time.Duration) bool {
	rank := Rank(r, vm, endpoint)
	return rank >= 0 && rank <= maxRank && age >= time.Duration(rank)*TakeoverAge
}

func weight(vm, endpoint string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(vm) // a digest takes all
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(endpoint)
	return d.Sum64()
}

// PullsPerRound returns how many pulls it takes to hear of all n entries.
func PullsPerRound(n int) int { return max(1, bits.Len(uint(max(0, n-1)))) }

// PullInterval returns the time between two pulls in a zone of n entries.
func PullInterval(n int) time.Duration {
	period := largePeriod
	if n <= smallZone {
		period = smallPeriod
	}
	return period / time.Duration(PullsPerRound(n))
}

// PublishInterval returns the time between two publications of an entry in a zone
// of n entries: at each pull in a small one, and twice a round in a large one.
func PublishInterval(n int) time.Duration {
	if n <= smallZone {
		return PullInterval(n)
	}
	return largePeriod / 2
}

// Partner returns the peer to pull from at the given turn. Shunned VMs are
// passed over.
func Partner(r contact.Roster, vm string, turn int) (contact.VM, bool) {
	i := slices.IndexFunc(r.VMs, func(v contact.VM) bool { return v.Name == vm })
	n := len(r.VMs)
	if i < 0 || n < 2 {
		return contact.VM{}, false
	}
	// Each round starts with the neighbour, then goes twice as far.
	step := 1 << (turn % PullsPerRound(n))
	for k := range n {
		next := r.VMs[(i+step+k)%n]
		if next.Name != vm && !next.Excluded() {
			return next, true
		}
	}
	return contact.VM{}, false
}
