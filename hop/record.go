package hop

import (
	"fmt"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/springweir/springweir/caller/wire"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/internal/clock"
)

// record counts and logs a request that has ended.
func (s *Server) record(r *http.Request, res result, start time.Time) {
	counter, event, level := "springweir_hop_served_total", "hop: passed on", klog.Level(0)
	switch r.Header.Get(wire.HeaderConnect) {
	case "":
	case wire.ConnectNotNow:
		counter, event, level = "springweir_hop_ready_total", "hop: asked whether to pass on", 1
	default:
		counter, event = "springweir_hop_connects_total", "hop: connection checked"
	}
	outcome, code := failure.Done, failure.Reason("")
	var cause error
	if res.failed != nil {
		outcome, code, cause = res.failed.Ran, res.failed.Code, res.failed.Cause
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`%s{outcome=%q}`, counter, outcome)).Inc()
	klog.V(level).InfoS(event, "request", s.cfg.RequestID(r.Header), "from", r.Header.Get(wire.HeaderHop), "endpoint", r.Header.Get(wire.HeaderEndpoint),
		"status", res.status, "failure", code, "cause", cause, "tookMS", clock.Since(start).Milliseconds())
}
