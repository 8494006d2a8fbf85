package signals

import (
	"math"
	"time"

	"github.com/springweir/springweir/loadshare"
)

const (
	// maxSharePerSecond is the most that one VM may send per second of an endpoint's limit while
	// there are other VMs to share it.
	maxSharePerSecond = 1.0
	// handoverDelay is how long a VM that takes over a share waits before using it, so that the
	// previous holder has received the same membership change.
	handoverDelay = time.Second
	// membershipTTL is how long a membership is valid without confirmation. A VM that was suspended
	// for longer may have lost its shares meanwhile.
	membershipTTL = time.Second
	// reacquireDelay is how long a VM that has started, was suspended or lost contact with all
	// others waits for its shares. By then every VM whose messages have not arrived since counts as
	// unavailable, whenever the membership was last evaluated.
	reacquireDelay = loadshare.MemberTimeout + membershipTTL
	// minSharedRate is the lowest limit, in requests per second, that is shared. Under a lower one
	// only probes are sent.
	minSharedRate = 0.01
)

// share is this VM's share of an endpoint's limit.
//
// The VMs agree on the holders without exchanging messages: each computes the same ranking of the
// live VMs for an endpoint.
type share struct {
	// rank is this VM's position in the order of holders, from 0.
	rank int
	// perSecond is the rate that this VM may send; zero if it holds no share.
	perSecond float64
	// offset delays the first request after a pause, so that the holders, which often resume
	// together, send one after the other.
	offset time.Duration
	// usableFrom is when the share may first be used.
	usableFrom time.Time
}

// shareOf divides a limit among the first VMs of an order that all VMs compute alike: VMs in the
// endpoint's zone before the others, then by a hash.
//
// Invariant: the shares of VMs with the same membership add up to the limit. The shares on two
// sides of a partition add up to less than one and a half times the limit: at most one side has
// more than half of the registered VMs, and any other divides only the limit's fraction that
// matches its number of VMs.
func shareOf(self string, hash uint64, zone string, m loadshare.Membership, perSecond float64) share {
	s := share{rank: rankOf(self, hash, zone, m.Live)}
	if perSecond < minSharedRate {
		return s
	}
	if 2*len(m.Live) <= m.Registered {
		perSecond *= float64(len(m.Live)) / float64(m.Registered)
	}
	holders := min(math.Ceil(perSecond/maxSharePerSecond), float64(len(m.Live)))
	if float64(s.rank) < holders {
		s.perSecond = perSecond / holders
		s.offset = time.Duration(float64(s.rank) / holders * float64(interval(s.perSecond)))
	}
	return s
}

// rankOf returns the position of a VM in the order of an endpoint's holders.
func rankOf(self string, hash uint64, zone string, live []loadshare.Member) int {
	local := loadshare.Member{Name: self}
	for _, m := range live {
		if m.Name == self {
			local = m
		}
	}
	rank := 0
	for _, m := range live {
		if m.Name != self && ranksBefore(m, local, hash, zone) {
			rank++
		}
	}
	return rank
}

func ranksBefore(a, b loadshare.Member, hash uint64, zone string) bool {
	if aInZone := a.Zone == zone; aInZone != (b.Zone == zone) {
		return aInZone
	}
	return a.PrecedesFor(hash, b)
}
