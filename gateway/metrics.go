package gateway

import (
	"fmt"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/memory"
	"github.com/springweir/springweir/relay"
	"github.com/springweir/springweir/routes"
)

var kindNames = map[routes.Kind]string{
	routes.NonIdempotent: "non-idempotent", routes.Idempotent: "idempotent", routes.Stream: "stream",
}

// malformedEndpoints counts malformed endpoint rows.
var malformedEndpoints = metrics.NewCounter("springweir_endpoint_rows_malformed_total")

// drainDelay records an upper bound of how long endpoints had been draining when this VM received
// it.
var drainDelay = metrics.GetOrCreateHistogram("springweir_drain_known_seconds")

// recordRequest updates the counters and latency histograms for a relayed request.
func recordRequest(req *relay.Request, result relay.Result) {
	kind := kindNames[req.Route.Kind]
	outcome := "answered"
	switch {
	case result.Failure != nil && result.HeadSent:
		outcome = "broken-off"
	case result.Failure != nil:
		outcome = "failed"
	case result.Status >= http.StatusBadRequest:
		outcome = "endpoint-error"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`springweir_requests_total{kind=%q,outcome=%q}`, kind, outcome)).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf(`springweir_request_seconds{kind=%q}`, kind)).UpdateDuration(req.Received)
	if result.HeadSent {
		metrics.GetOrCreateHistogram(fmt.Sprintf(`springweir_first_byte_seconds{kind=%q}`, kind)).Update(result.TimeToHead.Seconds())
	}
	if req.Route.Objective > 0 && (!result.HeadSent || result.TimeToHead > req.Route.Objective) {
		metrics.GetOrCreateCounter(fmt.Sprintf(`springweir_objective_missed_total{kind=%q}`, kind)).Inc()
	}
}

// countRefusal counts a refusal by its reason.
func countRefusal(failed *failure.Request) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`springweir_refusals_total{reason=%q,ran=%q}`, failed.Code, failed.Ran)).Inc()
}

// serveMetrics writes the metrics page.
func (g *Gateway) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	metrics.WritePrometheus(w, true)
	ready := uint64(0)
	if g.observeReadiness() == "" {
		ready = 1
	}
	metrics.WriteGaugeUint64(w, "springweir_ready", ready)
	metrics.WriteGaugeUint64(w, "springweir_config_version", g.state.version())
	if config := g.state.config.Load(); config != nil {
		metrics.WriteGaugeUint64(w, "springweir_config_malformed_parts", uint64(config.MalformedParts))
	}
	if age, known := g.freshness.Age(); known {
		metrics.WriteGaugeFloat64(w, "springweir_config_age_seconds", age.Seconds())
	}
	for part, budget := range map[string]*memory.Budget{"requests": g.requestMemory, "heads": g.headMemory, "responses": g.responseMemory} {
		metrics.WriteGaugeUint64(w, fmt.Sprintf(`springweir_memory_held_bytes{part=%q}`, part), uint64(budget.Held()))
		metrics.WriteGaugeUint64(w, fmt.Sprintf(`springweir_memory_limit_bytes{part=%q}`, part), uint64(budget.Total()))
	}
	g.writeEndpointCounts(w)
	limits, backoffs := g.signals.Active()
	metrics.WriteGaugeUint64(w, "springweir_endpoint_limits", uint64(limits))
	metrics.WriteGaugeUint64(w, "springweir_endpoint_backoffs", uint64(backoffs))
	metrics.WriteGaugeUint64(w, "springweir_peers", uint64(len(g.roster.Others())))
	metrics.WriteGaugeUint64(w, "springweir_reach_broken_paths", uint64(g.reach.NumBroken()))
	metrics.WriteGaugeUint64(w, "springweir_uptime_seconds", uint64(time.Since(g.started).Seconds()))
}

// writeEndpointCounts writes the number of registered endpoints, in all and by service and zone.
func (g *Gateway) writeEndpointCounts(w http.ResponseWriter) {
	snapshot := g.directory.Snapshot()
	metrics.WriteGaugeUint64(w, "springweir_endpoints", uint64(snapshot.Len()))
	type group struct{ service, zone string }
	counts := map[group]uint64{}
	for _, e := range snapshot.All() {
		counts[group{e.Service, e.Zone}]++
	}
	for of, n := range counts {
		metrics.WriteGaugeUint64(w, fmt.Sprintf(`springweir_endpoints_registered{service=%q,zone=%q}`, of.service, of.zone), n)
	}
}
