package entry

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/springweir/springweir/fleet"
)

// warmupTimeout bounds the wait for the engines' first reports, so that a dead engine does
// not keep the VM out of its load balancer. It allows for two polls.
const warmupTimeout = 3 * time.Second

// warmup tracks whether this entry has enough information about its zone to receive
// callers. Once warm it stays warm: routing handles engines that become unresponsive later,
// which must not remove every VM from the load balancer at once.
type warmup struct {
	done atomic.Bool
	// configuredAt is when a configuration first took effect, in nanoseconds on the entry's
	// clock plus one; zero means not yet.
	configuredAt atomic.Int64
}

// isWarm reports whether every engine of the snapshot has reported, or warmupTimeout has
// passed since a configuration was first seen.
func (w *warmup) isWarm(now time.Duration, s *fleet.Snapshot) bool {
	if w.done.Load() {
		return true
	}
	w.configuredAt.CompareAndSwap(0, int64(now)+1)
	waited := now - time.Duration(w.configuredAt.Load()-1)
	if waited < warmupTimeout && !allReported(s) {
		return false
	}
	w.done.Store(true)
	return true
}

func allReported(s *fleet.Snapshot) bool {
	for _, e := range s.Endpoints() {
		if e.Kind == fleet.Engine && !e.Reported {
			return false
		}
	}
	return true
}

// ready serves the load balancer's health check.
func (e *Entry) ready(w http.ResponseWriter, _ *http.Request) {
	if e.stopping.Load() || e.handler.Load() == nil || e.member.Allow() != nil || !e.warmup.isWarm(e.common.now(), e.common.store.Snapshot()) {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}
