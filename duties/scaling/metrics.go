package scaling

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// demandUnknown counts samples of demand that were not taken because other VMs had not reported.
var demandUnknown = metrics.NewCounter("springweir_scaling_demand_unknown_total")

// demandGauge and targetGauge name the gauges of a service.
func demandGauge(service, role string) string {
	return fmt.Sprintf(`springweir_scaling_demand{service=%q,role=%q}`, service, role)
}

func targetGauge(service, kind string) string {
	return fmt.Sprintf(`springweir_scaling_target{service=%q,kind=%q}`, service, kind)
}

// setDemand updates the gauges of the demand of a service, in busy endpoints.
func setDemand(service string, d Demand) {
	for role, busy := range map[string]float64{"prefill": d.Prefill, "decode": d.Decode, "either": d.Either, "plain": d.Plain} {
		metrics.GetOrCreateGauge(demandGauge(service, role), nil).Set(busy)
	}
}

// setTargets updates the gauges of the endpoints that the lease holder plans for a service.
func setTargets(service string, c Count) {
	for kind, n := range map[string]int{"ordinary": c.Ordinary, "revocable": c.Revocable} {
		metrics.GetOrCreateGauge(targetGauge(service, kind), nil).Set(float64(n))
	}
}

// dropDemand and dropTargets remove the gauges of a service.
func dropDemand(service string) {
	for _, role := range []string{"prefill", "decode", "either", "plain"} {
		metrics.UnregisterMetric(demandGauge(service, role))
	}
}

func dropTargets(service string) {
	for _, kind := range []string{"ordinary", "revocable"} {
		metrics.UnregisterMetric(targetGauge(service, kind))
	}
}
