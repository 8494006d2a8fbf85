package loadshare

import (
	"sync"
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
// It is safe for concurrent use; mu is a leaf lock.
type stallDetector struct {
	mu sync.Mutex
	// due is when the next round is due; zero before the first.
	due time.Time
	// caughtUpAt is when the datagrams that arrived during the last stall have been processed.
	caughtUpAt time.Time
}

// expect records that the next round is due after an interval. It is called after each round.
func (d *stallDetector) expect(now time.Time, interval time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.overdue(now) {
		stalls.Inc()
		klog.V(1).InfoS("loadshare: the process was stalled", "lateMS", now.Sub(d.due).Milliseconds())
		d.caughtUpAt = now.Add(CatchUpTime)
	}
	d.due = now.Add(interval)
}

// overdue reports whether a round is overdue by minStall. The caller holds mu.
func (d *stallDetector) overdue(now time.Time) bool {
	return !d.due.IsZero() && now.Sub(d.due) >= minStall
}

// stalled reports whether the process has been stalled and may not have caught up.
func (d *stallDetector) stalled(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.overdue(now) || now.Before(d.caughtUpAt)
}

// Stalled reports whether this VM has just been suspended or without processor time. The datagrams of
// other VMs that have arrived meanwhile may not have been processed then.
func (x *Exchange) Stalled() bool { return x.stall.stalled(clock.Now()) }
