package gateway

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/internal/loop"
)

// unreadyCause names what a VM lacks to be ready; empty if it is ready.
type unreadyCause string

const (
	causeStopping unreadyCause = "stopping"
	// causePort: the callers' port cannot be opened again.
	causePort unreadyCause = "callers-port-closed"
	// causeConfig: no configuration is known.
	causeConfig unreadyCause = "no-configuration"
	// causeEndpoints: the endpoints were not read yet.
	causeEndpoints unreadyCause = "no-endpoint-list"
	// causeKeys: keys are refused, as the configuration was not confirmed recently.
	causeKeys unreadyCause = "configuration-unconfirmed"
)

// unreadyCause returns the first condition of readiness that does not hold.
func (s *state) unreadyCause() unreadyCause {
	config := s.config.Load()
	switch {
	case s.isStopping():
		return causeStopping
	case s.callersRefused.Load():
		return causePort
	case config == nil:
		return causeConfig
	case !s.endpointsListed.Load():
		return causeEndpoints
	case config.Organisations != nil && !s.acceptsKeys() && !s.knowsUnusable():
		// While no VM can accept keys, all serve what needs none.
		return causeKeys
	}
	return ""
}

// readinessInterval is the time between two checks of the readiness for logs and metrics.
const readinessInterval = 200 * time.Millisecond

// readinessLog records for how long a VM is not ready, and for want of what. It is safe for concurrent use; mu is a leaf
// lock.
type readinessLog struct {
	mu sync.Mutex
	// cause is the current one, which was first seen at since and counted until countedAt.
	cause            unreadyCause
	since, countedAt time.Time
	// readyAt is when the VM was ready for the first time, or zero.
	readyAt time.Time
}

func newReadinessLog(now time.Time) *readinessLog {
	return &readinessLog{cause: causeConfig, since: now, countedAt: now}
}

// observe records the current cause. The time since the last call is counted for the previous one.
func (l *readinessLog) observe(now time.Time, cause unreadyCause) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cause != "" {
		metrics.GetOrCreateFloatCounter(fmt.Sprintf(`springweir_unready_seconds_total{cause=%q}`, l.cause)).Add(now.Sub(l.countedAt).Seconds())
	}
	l.countedAt = now
	if cause == l.cause {
		return
	}
	took := now.Sub(l.since).Milliseconds()
	switch {
	case cause == "":
		klog.InfoS("gateway: ready", "lacked", l.cause, "tookMS", took, "first", l.readyAt.IsZero())
	case l.cause == "":
		klog.InfoS("gateway: not ready", "lacks", cause, "readyMS", took)
	default:
		klog.InfoS("gateway: still not ready", "lacks", cause, "lacked", l.cause, "tookMS", took)
	}
	if cause == "" && l.readyAt.IsZero() {
		l.readyAt = now
	}
	l.cause, l.since = cause, now
}

// observeReadiness records the readiness of this VM and returns it.
func (g *Gateway) observeReadiness() unreadyCause {
	cause := g.state.unreadyCause()
	g.readiness.observe(clock.Now(), cause)
	return cause
}

// watchReadiness records the readiness until ctx ends, also while nobody asks for it.
func (g *Gateway) watchReadiness(ctx context.Context) {
	loop.Every(ctx, readinessInterval, func() { g.observeReadiness() })
}

func (g *Gateway) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if g.observeReadiness() != "" {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
