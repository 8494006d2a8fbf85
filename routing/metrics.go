package routing

import (
	"errors"
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// Counters of the most frequent decisions, created once to avoid a lookup for each request.
var (
	colocatedDecisions     = metrics.NewCounter(`springweir_routing_decided_total{kind="whole"}`)
	disaggregatedDecisions = metrics.NewCounter(`springweir_routing_decided_total{kind="pair"}`)
	trialDecisions         = metrics.NewCounter(`springweir_routing_decided_total{kind="trial"}`)
)

// CountDecision updates the metrics for the result of Decide, which itself has no side effects:
// refusals by the reason of exclusion, spills by zone, pairs and trials.
func CountDecision(d Decision, err error) {
	var noEndpoint *NoEndpointError
	switch {
	case errors.As(err, &noEndpoint):
		countRefusal(noEndpoint)
	case err != nil:
		increment("springweir_routing_refused_total", "cause", "other")
	case d.Zone != "":
		increment("springweir_routing_spilled_total", "zone", d.Zone)
	case d.PrefillEndpoint != nil:
		disaggregatedDecisions.Inc()
	default:
		colocatedDecisions.Inc()
	}
	if d.Trial {
		trialDecisions.Inc()
	}
}

func countRefusal(err *NoEndpointError) {
	if err.Unserved {
		increment("springweir_routing_refused_total", "cause", "unserved")
	}
	for cause := range err.Excluded {
		increment("springweir_routing_refused_total", "cause", cause)
	}
}

func increment(name, label, value string) {
	series := fmt.Sprintf("%s{%s=%q}", name, label, value)
	metrics.GetOrCreateCounter(series).Inc()
}
