package loadshare

import (
	"time"

	"github.com/springweir/springweir/freshness"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/loadshare/sharepb"
)

// maxTold is the age above which a confirmation is not told: nobody can use it.
const maxTold = time.Minute

// echoes are the stamps of other VMs that are still to be sent back. A confirmation that comes with
// an echo was read by its sender after the stamp had arrived, so that the receiver can date it from
// when it sent the stamp: how long either way took, or a VM on it stood still, does not matter.
//
// It belongs to an Exchange, whose lock guards it.
type echoes struct {
	// base is what this process's own stamps count from.
	base time.Time
	// due is by VM. Each stamp goes back once, so that this holds those of one round.
	due map[string]*sharepb.Echo
}

func newEchoes() echoes { return echoes{base: clock.Now(), due: map[string]*sharepb.Echo{}} }

// stamp is the present time as a stamp; never zero, which stands for none.
func (e *echoes) stamp(now time.Time) uint64 { return uint64(max(1, now.Sub(e.base).Microseconds())) }

// at is the time of an own stamp; false if it lies ahead, so that this process did not send it.
func (e *echoes) at(stamp uint64, now time.Time) (time.Time, bool) {
	if stamp > e.stamp(now) {
		return time.Time{}, false
	}
	return e.base.Add(time.Duration(stamp) * time.Microsecond), true
}

// take returns the stamps to send back to some VMs.
func (e *echoes) take(to []Peer) []*sharepb.Echo {
	var list []*sharepb.Echo
	for _, p := range to {
		if echo := e.due[p.Name]; echo != nil {
			list = append(list, echo)
			delete(e.due, p.Name)
		}
	}
	return list
}

// confirm adds to a datagram what this VM knows of the configuration's age, and its stamp.
func (x *Exchange) confirm(load *sharepb.Load, to []Peer) {
	if x.cfg.Confirmation == nil {
		return
	}
	x.mu.Lock()
	load.Stamp = x.echoes.stamp(clock.Now())
	load.Echoes = x.echoes.take(to)
	x.mu.Unlock()
	// The age is read after the stamps that it goes with have come.
	if version, age, known := x.cfg.Confirmation(); known && age < maxTold {
		load.Confirmation = &sharepb.Confirmation{Version: version, AgeMs: uint32(age.Milliseconds()) + 1}
	}
}

// takeConfirmation takes in what a datagram tells of the configuration's age.
func (x *Exchange) takeConfirmation(load *sharepb.Load) {
	if x.cfg.OnConfirmation == nil || load.Stamp == 0 {
		return
	}
	x.mu.Lock()
	x.echoes.due[load.Vm] = &sharepb.Echo{Boot: load.Boot, Stamp: load.Stamp}
	c, confirmed := x.confirmation(load)
	x.mu.Unlock()
	if confirmed {
		x.cfg.OnConfirmation(c)
	}
}

// confirmation dates the confirmation of a datagram by the own stamp that it sends back. The caller
// holds mu.
func (x *Exchange) confirmation(load *sharepb.Load) (freshness.Confirmation, bool) {
	told := load.Confirmation
	if told == nil {
		return freshness.Confirmation{}, false
	}
	for _, echo := range load.Echoes {
		if echo.Boot != x.boot {
			continue
		}
		sent, own := x.echoes.at(echo.Stamp, clock.Now())
		if !own {
			continue
		}
		return freshness.ReceivedConfirmation(told.Version, time.Duration(told.AgeMs)*time.Millisecond, sent), true
	}
	return freshness.Confirmation{}, false
}
