package withhold

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/springweir/springweir/failure"
)

// countRefusal counts an attempt that the gate refused.
func countRefusal(err error) {
	name := fmt.Sprintf(`springweir_attempts_refused_total{reason=%q}`, failure.ReasonOf(err))
	metrics.GetOrCreateCounter(name).Inc()
}

// Causes for which a withholding waits.
const (
	waitEntries  = "entries"
	waitStreams  = "endpoint-streams"
	waitEndpoint = "endpoint-silent"
)

// countWait counts a round in which a withholding was not confirmed.
func countWait(w *WaitingError) {
	cause := waitEntries
	switch {
	case w.Unresponsive:
		cause = waitEndpoint
	case w.Streams > 0:
		cause = waitStreams
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`springweir_withhold_waits_total{cause=%q}`, cause)).Inc()
}
