package entry

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/springweir/springweir/fleet"
)

// warmLimit bounds the wait for the first reports of engines, so that a dead
// engine does not keep a VM from its balancer. It leaves room for two polls.
const warmLimit = 3 * time.Second

// warmth tells whether this entry knows its zone well enough to be sent
// callers. Once warm it stays so: later silence of engines is for routing to
// judge, and must not take every VM from the balancer at once.
type warmth struct {
	done atomic.Bool
	// since is when the first configuration was in force, in nanoseconds on the
	// entry's clock plus one; zero is not yet.
	since atomic.Int64
}

// warm tells whether every engine of the snapshot has reported, or warmLimit
// has passed since a configuration was first seen.
func (w *warmth) warm(now time.Duration, s *fleet.Snapshot) bool {
	if w.done.Load() {
		return true
	}
	w.since.CompareAndSwap(0, int64(now)+1)
	waited := now - time.Duration(w.since.Load()-1)
	if waited < warmLimit && !allKnown(s) {
		return false
	}
	w.done.Store(true)
	return true
}

func allKnown(s *fleet.Snapshot) bool {
	for _, e := range s.Endpoints() {
		if e.Kind == fleet.Engine && !e.Reported {
			return false
		}
	}
	return true
}

// ready answers the balancer's health check.
func (e *Entry) ready(w http.ResponseWriter, _ *http.Request) {
	if e.stopping.Load() || e.handler.Load() == nil || e.member.Allow() != nil || !e.warmth.warm(e.common.now(), e.common.store.Snapshot()) {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}
