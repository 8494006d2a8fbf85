package routing

import (
	"errors"
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// Counters of the usual decisions, made beforehand because each request has one.
var (
	decidedWhole = metrics.NewCounter(`springweir_routing_decided_total{kind="whole"}`)
	decidedPair  = metrics.NewCounter(`springweir_routing_decided_total{kind="pair"}`)
	decidedTrial = metrics.NewCounter(`springweir_routing_decided_total{kind="trial"}`)
)

// CountDecision counts a decision's result: refusals by what left the endpoints out,
// spills by zone, pairs and trials. Decide itself stays free of side effects.
func CountDecision(d Decision, err error) {
	var none *NoEndpointError
	switch {
	case errors.As(err, &none):
		countRefusal(none)
	case err != nil:
		count("springweir_routing_refused_total", "cause", "other")
	case d.Zone != "":
		count("springweir_routing_spilled_total", "zone", d.Zone)
	case d.PrefillEndpoint != nil:
		decidedPair.Inc()
	default:
		decidedWhole.Inc()
	}
	if d.Trial {
		decidedTrial.Inc()
	}
}

func countRefusal(err *NoEndpointError) {
	if err.Unserved {
		count("springweir_routing_refused_total", "cause", "unserved")
	}
	for cause := range err.Left {
		count("springweir_routing_refused_total", "cause", cause)
	}
}

func count(name, label, value string) {
	full := fmt.Sprintf("%s{%s=%q}", name, label, value)
	metrics.GetOrCreateCounter(full).Inc()
}
