package signals

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// count counts a change of what is known of an endpoint: signal is limit, backoff or drain, event is
// learned, changed, ended or malformed.
func count(signal, event string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`springweir_endpoint_signals_total{signal=%q,event=%q}`, signal, event)).Inc()
}
