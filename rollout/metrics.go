package rollout

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/springweir/springweir/failure"
)

// ok is the result label of a success; failures are labelled with their reason.
const ok = "ok"

func result(err error) string {
	if err == nil {
		return ok
	}
	return string(failure.ReasonOf(err))
}

// Values of the label "with" of springweir_contacts_total.
const (
	withTable = "table"
	withPeer  = "peer"
)

// countContact counts an attempt to have contact.
func countContact(with string, err error) {
	name := fmt.Sprintf(`springweir_contacts_total{with=%q,result=%q}`, with, result(err))
	metrics.GetOrCreateCounter(name).Inc()
}

// countConfirmation counts an attempt to confirm a version in a zone.
func countConfirmation(err error) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`springweir_config_confirmations_total{result=%q}`, result(err))).Inc()
}

// setVersionMetric publishes the version in effect in this process.
func setVersionMetric(v Version) {
	metrics.GetOrCreateCounter(`springweir_config_version`).Set(uint64(v))
}
