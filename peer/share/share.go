// Package share distributes the polling of a zone's engines over the zone's entries, and
// spreads the reports that each has read to all of them.
//
// Every engine is polled by the entry that ranks first for it by rendezvous hashing. Each
// entry pulls the reports that it lacks from one peer at a time. Peers are chosen at
// distances 1, 2, 4 ... along the roster, so that a report reaches n entries in about log2
// n pulls and is sent to each of them once.
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
	// TakeoverAge is the age of an engine's newest report at which the entry of the next
	// rank polls the engine too. In a large zone a report is up to a poll, a publication
	// and a round of pulls old, which is 7 s.
	TakeoverAge = 8 * time.Second
	// maxRank is the last rank that takes over polling.
	maxRank = 3
	// smallZone is the size up to which a zone completes a round of pulls in smallPeriod.
	// In a larger zone a round takes largePeriod.
	smallZone   = 8
	smallPeriod = time.Second
	largePeriod = 4 * time.Second
)

// Rank returns the rank of the VM, from zero, among the VMs that may poll the endpoint, or
// -1 if it is not one of them. With different rosters, ranks differ only because of the VMs
// in which the rosters differ.
func Rank(r contact.Roster, vm, endpoint string) int {
	if !r.IsActive(vm) {
		return -1
	}
	vmWeight := weight(vm, endpoint)
	rank := 0
	for _, other := range r.VMs {
		if other.Name == vm || other.Excluded() {
			continue
		}
		w := weight(other.Name, endpoint)
		if w > vmWeight || w == vmWeight && strings.Compare(other.Name, vm) < 0 {
			rank++
		}
	}
	return rank
}

// ShouldPoll reports whether the VM should poll the endpoint whose newest report has the
// given age. The VM of rank zero always polls; the next ranks take over when reports stop
// arriving. Polling by two VMs is harmless.
func ShouldPoll(r contact.Roster, vm, endpoint string, age time.Duration) bool {
	rank := Rank(r, vm, endpoint)
	return rank >= 0 && rank <= maxRank && age >= time.Duration(rank)*TakeoverAge
}

func weight(vm, endpoint string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(vm) // never fails
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(endpoint)
	return d.Sum64()
}

// PullsPerRound returns the number of pulls after which reports of all n entries have been
// received.
func PullsPerRound(n int) int { return max(1, bits.Len(uint(max(0, n-1)))) }

// PullInterval returns the time between two pulls in a zone of n entries.
func PullInterval(n int) time.Duration {
	period := largePeriod
	if n <= smallZone {
		period = smallPeriod
	}
	return period / time.Duration(PullsPerRound(n))
}

// PublishInterval returns the time between two publications of an entry in a zone of n
// entries: one per pull in a small zone, and two per round in a large one.
func PublishInterval(n int) time.Duration {
	if n <= smallZone {
		return PullInterval(n)
	}
	return largePeriod / 2
}

// Partner returns the peer to pull from at the given turn. Excluded VMs are skipped.
func Partner(r contact.Roster, vm string, turn int) (contact.VM, bool) {
	i := slices.IndexFunc(r.VMs, func(v contact.VM) bool { return v.Name == vm })
	n := len(r.VMs)
	if i < 0 || n < 2 {
		return contact.VM{}, false
	}
	// Each round starts with the neighbour and doubles the distance at every turn.
	step := 1 << (turn % PullsPerRound(n))
	for k := range n {
		next := r.VMs[(i+step+k)%n]
		if next.Name != vm && !next.Excluded() {
			return next, true
		}
	}
	return contact.VM{}, false
}
