package rollout

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/springweir/springweir/failure"
)

// ok is the result of what succeeded; failures are counted by their reason.
const ok = "ok"

func result(err error) string {
	if err == nil {
		return ok
	}
	return string(failure.ReasonOf(err))
}

// Whom a contact was with.
const (
	withTable = "table"
	withPeer  = "peer"
)

// countContact counts a try to have contact.
func countContact(with string, err error) {
	name := fmt.Sprintf(`springweir_contacts_total{with=%q,result=%q}`, with, result(err))
	metrics.GetOrCreateCounter(name).Inc()
}

// countConfirmation counts a try to confirm a version in a zone.
func countConfirmation(err error) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`springweir_config_confirmations_total{result=%q}`, result(err))).Inc()
}

// showVersion publishes the version in force in this process.
func setVersionMetric(v Version) {
	metrics.GetOrCreateCounter(`springweir_config_version`).Set(uint64(v))
}
