package loadshare

import (
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/springweir/springweir/internal/clock"
)

// stalls counts the times at which this process was suspended or without processor time.
var stalls = metrics.NewCounter("springweir_loadshare_stalls_total")

const (
	// minStall is the delay of a round from which the process has been stalled: suspended, or without
	// processor time. It is longer than the throttling of a VM with a fraction of a core.
	minStall = 100 * time.Millisecond
	// CatchUpTime is how long the datagrams that have arrived during a stall take to be processed.
	CatchUpTime = 10 * time.Millisecond
)

// stallDetector finds out that the process has been stalled, also before the next round makes up for it.
// It is safe for concurrent use.
type stallDetector struct {
	epoch time.Time
	// due is when the next round is due, in nanoseconds since epoch; zero before the first.
	due atomic.Int64
	// caughtUpAt is when the datagrams that arrived during the last stall have been processed.
	caughtUpAt atomic.Int64
}

func newStallDetector() *stallDetector { return &stallDetector{epoch: clock.Now()} }

// expect records that the next round is due after an interval. It is called after each round.
func (d *stallDetector) expect(now time.Time, interval time.Duration) {
	if d.overdue(now) {
		stalls.Inc()
		klog.V(1).InfoS("loadshare: the process was stalled", "lateMS", (now.Sub(d.epoch) - time.Duration(d.due.Load())).Milliseconds())
		d.caughtUpAt.Store(int64(now.Sub(d.epoch) + CatchUpTime))
	}
	d.due.Store(int64(max(1, now.Sub(d.epoch)+interval)))
}

// overdue reports whether a round is overdue by minStall.
func (d *stallDetector) overdue(now time.Time) bool {
	due := d.due.Load()
	return due != 0 && now.Sub(d.epoch)-time.Duration(due) >= minStall
}

// stalled reports whether the process has been stalled and may not have caught up.
func (d *stallDetector) stalled(now time.Time) bool {
	return d.overdue(now) || now.Sub(d.epoch) < time.Duration(d.caughtUpAt.Load())
}

// Stalled reports whether this VM has just been suspended or without processor time. The datagrams of
// other VMs that have arrived meanwhile may not have been processed then.
func (x *Exchange) Stalled() bool { return x.stall.stalled(clock.Now()) }
