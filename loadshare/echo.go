package loadshare

import (
	"time"

	"github.com/springweir/springweir/freshness"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/loadshare/sharepb"
)

// maxConfirmationAge is the age from which a confirmation is no longer sent, because it is of no
// use to any VM.
const maxConfirmationAge = time.Minute

// echoes holds the stamps of other VMs that are still to be sent back. A confirmation sent with an
// echo was read after the stamp had arrived, so the receiver dates it from when it sent the stamp.
// This holds regardless of delays in either direction and of pauses of either VM.
//
// It is part of an Exchange and guarded by the Exchange's mu.
type echoes struct {
	// base is the time from which the stamps of this process count.
	base time.Time
	// pending is keyed by VM. Each stamp is sent back once, so this holds the stamps of one round.
	pending map[string]*sharepb.Echo
}

func newEchoes() echoes { return echoes{base: clock.Now(), pending: map[string]*sharepb.Echo{}} }

// stamp returns the present time as a stamp. It is never zero, which means no stamp.
func (e *echoes) stamp(now time.Time) uint64 { return uint64(max(1, now.Sub(e.base).Microseconds())) }

// timeOf returns the time of a stamp sent by this process. It returns false if the stamp lies in
// the future, and so was not sent by this process.
func (e *echoes) timeOf(stamp uint64, now time.Time) (time.Time, bool) {
	if stamp > e.stamp(now) {
		return time.Time{}, false
	}
	return e.base.Add(time.Duration(stamp) * time.Microsecond), true
}

// pop removes and returns the stamps to send back to some VMs.
func (e *echoes) pop(to []Peer) []*sharepb.Echo {
	var list []*sharepb.Echo
	for _, p := range to {
		if echo := e.pending[p.Name]; echo != nil {
			list = append(list, echo)
			delete(e.pending, p.Name)
		}
	}
	return list
}

// addConfirmation adds to a datagram the newest confirmation of the configuration, this VM's stamp
// and the echoes for the recipients.
func (x *Exchange) addConfirmation(load *sharepb.Load, to []Peer) {
	if x.cfg.Confirmation == nil {
		return
	}
	x.mu.Lock()
	load.Stamp = x.echoes.stamp(clock.Now())
	load.Echoes = x.echoes.pop(to)
	x.mu.Unlock()
	// The age must be read after the echoed stamps have arrived.
	if version, age, known := x.cfg.Confirmation(); known && age < maxConfirmationAge {
		load.Confirmation = &sharepb.Confirmation{Version: version, AgeMs: uint32(age.Milliseconds()) + 1}
	}
}

// handleConfirmation processes the stamp and the confirmation of a datagram.
func (x *Exchange) handleConfirmation(load *sharepb.Load) {
	if x.cfg.OnConfirmation == nil || load.Stamp == 0 {
		return
	}
	x.mu.Lock()
	x.echoes.pending[load.Vm] = &sharepb.Echo{Boot: load.Boot, Stamp: load.Stamp}
	c, confirmed := x.datedConfirmation(load)
	x.mu.Unlock()
	if confirmed {
		x.cfg.OnConfirmation(c)
	}
}

// datedConfirmation returns the confirmation of a datagram, dated from this process's stamp that
// the datagram echoes. It returns false without a confirmation or a valid echo. The caller holds
// mu.
func (x *Exchange) datedConfirmation(load *sharepb.Load) (freshness.Confirmation, bool) {
	confirmation := load.Confirmation
	if confirmation == nil {
		return freshness.Confirmation{}, false
	}
	for _, echo := range load.Echoes {
		if echo.Boot != x.boot {
			continue
		}
		sent, valid := x.echoes.timeOf(echo.Stamp, clock.Now())
		if !valid {
			continue
		}
		return freshness.ReceivedConfirmation(confirmation.Version, time.Duration(confirmation.AgeMs)*time.Millisecond, sent), true
	}
	return freshness.Confirmation{}, false
}
