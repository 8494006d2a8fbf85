package loadshare

import (
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/loadshare/sharepb"
)

var (
	// stalls counts the times at which this process was suspended or without processor time, and
	// catchUpsFailed the times at which it did not catch up in time.
	stalls         = metrics.NewCounter("springweir_loadshare_stalls_total")
	catchUpsFailed = metrics.NewCounter("springweir_loadshare_catch_ups_failed_total")
)

const (
	// minStall is the delay of a round from which the process has been stalled: suspended, or without
	// processor time. It is longer than the throttling of a VM with a fraction of a core.
	minStall = 100 * time.Millisecond
	// maxCatchUp bounds how long a process that has been stalled takes to process the datagrams that have
	// arrived meanwhile: the socket holds some hundred.
	maxCatchUp = 200 * time.Millisecond
	// markerInterval is the time after which a marker is sent again, since a full socket drops it.
	markerInterval = 20 * time.Millisecond
)

// A process that has been stalled sends itself a marker. Its socket delivers datagrams in the order of their
// arrival, so that everything that had arrived during the stall is processed once the marker is.

// stallDetector finds out that the process has been stalled, also before the next round makes up for it.
// It is safe for concurrent use; mu is a leaf lock.
type stallDetector struct {
	mu sync.Mutex
	// due is when the next round is due; zero before the first.
	due time.Time
	// behindSince is when the last stall was found to be over; zero once the process has caught up.
	behindSince time.Time
	// reached is closed when the next marker is processed; nil if none awaits it.
	reached chan struct{}
}

// expect records that the next round is due after an interval. It is called after each round.
func (d *stallDetector) expect(now time.Time, interval time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.overdue(now) {
		stalls.Inc()
		klog.V(1).InfoS("loadshare: the process was stalled", "lateMS", now.Sub(d.due).Milliseconds())
		d.behindSince = now
	}
	d.due = now.Add(interval)
}

// overdue reports whether a round is overdue by minStall. The caller holds mu.
func (d *stallDetector) overdue(now time.Time) bool {
	return !d.due.IsZero() && now.Sub(d.due) >= minStall
}

// isBehind reports whether the process has been stalled and may not have caught up.
func (d *stallDetector) isBehind(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.overdue(now) || !d.behindSince.IsZero() && now.Sub(d.behindSince) < maxCatchUp
}

// markerReached returns a channel that is closed when the next marker is processed. The caller must send
// that if it is the first to await it.
func (d *stallDetector) markerReached() (reached <-chan struct{}, first bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.reached == nil {
		d.reached, first = make(chan struct{}), true
	}
	return d.reached, first
}

// reach records that a marker was processed, which was sent at a time on the clock of this process, or that
// none is awaited any more, with the zero time.
func (d *stallDetector) reach(sentAt time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !sentAt.Before(d.behindSince) {
		d.behindSince = time.Time{}
	}
	if d.reached != nil {
		close(d.reached)
		d.reached = nil
	}
}

// AwaitCatchUp returns at once unless this VM has just been suspended or without processor time. Then it waits
// until the datagrams of other VMs that have arrived meanwhile are processed, but not longer than maxCatchUp.
func (x *Exchange) AwaitCatchUp() {
	if !x.stall.isBehind(clock.Now()) {
		return
	}
	reached, first := x.stall.markerReached()
	for end := clock.Now().Add(maxCatchUp); clock.Now().Before(end); {
		if first {
			x.sendMarker()
		}
		select {
		case <-reached:
			return
		case <-time.After(markerInterval):
		}
	}
	catchUpsFailed.Inc()
	klog.InfoS("loadshare: what arrived during a stall was not processed in time", "limit", maxCatchUp)
	if first {
		x.stall.reach(time.Time{})
	}
}

// sendMarker sends this VM a datagram of its own.
func (x *Exchange) sendMarker() {
	conn := x.conn.Load()
	if conn == nil {
		return
	}
	x.mu.Lock()
	marker := &sharepb.Load{NoWork: true, Stamp: x.echoes.stamp(clock.Now())}
	x.setSender(marker)
	x.mu.Unlock()
	x.sendLoad(conn, marker, []Peer{{Name: x.cfg.VM, Address: conn.LocalAddr().(*net.UDPAddr).AddrPort()}})
}

// handleMarker processes a datagram of this VM.
func (x *Exchange) handleMarker(marker *sharepb.Load) {
	if marker.Boot != x.boot {
		return
	}
	x.mu.Lock()
	sentAt, valid := x.echoes.timeOf(marker.Stamp, clock.Now())
	x.mu.Unlock()
	if valid {
		x.stall.reach(sentAt)
	}
}
