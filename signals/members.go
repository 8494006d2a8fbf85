package signals

import (
	"slices"
	"time"

	"github.com/springweir/springweir/loadshare"
)

// assignShare assigns this VM's share of a limit, usable after a delay. The caller holds mu.
func (t *Tracker) assignShare(hash uint64, s *endpointState, delay time.Duration) {
	if !s.limit.limited {
		return
	}
	now := t.now()
	usableFrom := now.Add(delay)
	if t.sharesUsableFrom.After(usableFrom) {
		usableFrom = t.sharesUsableFrom
	}
	s.limit.setShare(usableFrom, shareOf(t.cfg.VM, hash, s.zone, t.members, s.limit.perSecond))
}

// SetMembers sets the live VMs. It must be called several times per membershipTTL, even if nothing
// has changed.
func (t *Tracker) SetMembers(m loadshare.Membership) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	joined := len(t.members.Live) == 1 && len(m.Live) > 1
	reset := now.Sub(t.membersConfirmedAt) > membershipTTL || joined
	t.membersConfirmedAt = now
	if !reset && m.Registered == t.members.Registered && slices.Equal(m.Live, t.members.Live) {
		return
	}
	t.members = m
	if reset {
		t.sharesUsableFrom = now.Add(reacquireDelay)
		t.dropShares()
	}
	for hash, s := range t.states {
		t.assignShare(hash, s, handoverDelay)
	}
}

// expireShares drops all shares if the membership has not been confirmed for membershipTTL: the VM
// was suspended, and other VMs may hold its shares by now. The caller holds mu.
func (t *Tracker) expireShares(now time.Time) {
	if now.Sub(t.membersConfirmedAt) <= membershipTTL || t.members.Registered == 1 {
		return
	}
	t.dropShares()
}

// dropShares gives up all shares. The caller holds mu.
func (t *Tracker) dropShares() {
	for _, s := range t.states {
		s.limit.dropShare()
	}
}
