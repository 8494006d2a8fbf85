package order

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/springweir/springweir/failure"
)

// count counts a refusal or a retry by its reason.
func count(reason failure.Reason) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`springweir_order_refusals_total{reason=%q}`, reason)).Inc()
}

func countError(err error) { count(failure.ReasonOf(err)) }

func countOutcome(outcome Outcome) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`springweir_orders_total{outcome=%q}`, outcome)).Inc()
}

func countSend() {
	metrics.GetOrCreateCounter(`springweir_order_sends_total`).Inc()
}
