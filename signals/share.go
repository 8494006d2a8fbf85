package signals

import (
	"cmp"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/springweir/springweir/loadshare"
)

const (
	// sharePerSecond is the most that one VM may send a second of an endpoint's limit while there are
	// other VMs to share it.
	sharePerSecond = 1.0
	// handover is how long a VM that takes over a share waits before it uses it, so that the one that
	// held it has learned of the same change of VMs.
	handover = time.Second
	// membershipTTL is how long the known VMs count without being confirmed. A VM that was suspended
	// for longer may have lost its shares meanwhile.
	membershipTTL = time.Second
	// regain is how long a VM that has started, was suspended, or heard nobody, waits for its shares: whom it has not
	// heard since counts as silent by then, whatever moment it looked at last.
	regain = loadshare.MemberTimeout + membershipTTL
	// leastRate is the lowest limit, in requests a second, that is shared. A lower one lets only
	// probes through.
	leastRate = 0.01
)

// share is this VM's part of an endpoint's limit.
//
// The VMs agree on the holders without a message: each ranks the live VMs for the endpoint alike.
type share struct {
	// rank is this VM's place in the order of holders, from 0.
	rank int
	// perSecond is what this VM may send; zero if it holds no share.
	perSecond float64
	// from is when the share may first be used.
	from time.Time
}

// shareOf divides a limit among the first VMs in an order that all derive alike: those of the endpoint's
// zone before the others, then by a hash.
//
// Invariant: the shares of VMs that know the same membership add up to the limit. Those of VMs on two
// sides of a partition add up to less than one and a half of it: at most one side knows more than half
// of the registered VMs, and any other divides only its part of the limit.
func shareOf(self string, endpoint uint64, zone string, m loadshare.Membership, perSecond float64) share {
	s := share{rank: rankOf(self, endpoint, zone, m.Live)}
	if perSecond < leastRate {
		return s
	}
	if 2*len(m.Live) <= m.Registered {
		perSecond *= float64(len(m.Live)) / float64(m.Registered)
	}
	holders := min(math.Ceil(perSecond/sharePerSecond), float64(len(m.Live)))
	if float64(s.rank) < holders {
		s.perSecond = perSecond / holders
	}
	return s
}

// rankOf is the place of a VM in the order of an endpoint's holders.
func rankOf(self string, endpoint uint64, zone string, live []loadshare.Member) int {
	own := loadshare.Member{Name: self}
	for _, m := range live {
		if m.Name == self {
			own = m
		}
	}
	rank := 0
	for _, m := range live {
		if m.Name != self && before(m, own, endpoint, zone) {
			rank++
		}
	}
	return rank
}

func before(a, b loadshare.Member, endpoint uint64, zone string) bool {
	if near := a.Zone == zone; near != (b.Zone == zone) {
		return near
	}
	return cmp.Or(cmp.Compare(weight(a.Name, endpoint), weight(b.Name, endpoint)), cmp.Compare(a.Name, b.Name)) > 0
}

// weight orders VMs for an endpoint. The endpoint's hash is mixed in after the name's, so that the
// orders of two endpoints have nothing in common.
func weight(vm string, endpoint uint64) uint64 {
	h := xxhash.Sum64String(vm) ^ endpoint
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
