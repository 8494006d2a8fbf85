package lease

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/springweir/springweir/failure"
)

// Lease events, as the label event of the metrics.
const (
	eventAcquired = "acquired"
	eventRenewed  = "renewed"
	eventReleased = "released"
)

func countEvent(event string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`springweir_lease_events_total{event=%q}`, event)).Inc()
}

func countLoss(cause LossCause) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`springweir_lease_lost_total{cause=%q}`, cause)).Inc()
}

func countRetry(err error) {
	reason := failure.ReasonOf(err)
	metrics.GetOrCreateCounter(fmt.Sprintf(`springweir_lease_retries_total{reason=%q}`, reason)).Inc()
}
