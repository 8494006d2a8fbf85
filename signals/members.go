package signals

import (
	"slices"
	"time"

	"github.com/springweir/springweir/loadshare"
)

// share gives this VM its part of a limit. The caller holds mu.
func (b *Tracker) share(endpoint uint64, s *state, handover time.Duration) {
	if !s.limit.limited {
		return
	}
	now := b.now()
	from := now.Add(handover)
	if b.sharesFrom.After(from) {
		from = b.sharesFrom
	}
	s.limit.setShare(from, shareOf(b.cfg.VM, endpoint, s.zone, b.members, s.limit.perSecond))
}

// SetMembers takes in which VMs are there. It is called several times in membershipTTL, also when
// nothing has changed.
func (b *Tracker) SetMembers(m loadshare.Membership) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	joined := len(b.members.Live) == 1 && len(m.Live) > 1
	lapsed := now.Sub(b.membersAt) > membershipTTL || joined
	b.membersAt = now
	if !lapsed && m.Registered == b.members.Registered && slices.Equal(m.Live, b.members.Live) {
		return
	}
	b.members = m
	if lapsed {
		b.sharesFrom = now.Add(regain)
		b.dropShares()
	}
	for endpoint, s := range b.states {
		b.share(endpoint, s, handover)
	}
}

// lapse drops all shares once the members have not been confirmed for membershipTTL: the VM was
// suspended, and others may hold them by now. The caller holds mu.
func (b *Tracker) lapse(now time.Time) {
	if now.Sub(b.membersAt) <= membershipTTL || b.members.Registered == 1 {
		return
	}
	b.dropShares()
}

// dropShares gives all shares up. The caller holds mu.
func (b *Tracker) dropShares() {
	for _, s := range b.states {
		s.limit.dropShare()
	}
}
