package signals

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// countEvent counts a change of an endpoint's signals: signal is limit, backoff or drain, event is
// learned, changed, ended or malformed.
func countEvent(signal, event string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`springweir_endpoint_signals_total{signal=%q,event=%q}`, signal, event)).Inc()
}
