package contact

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/springweir/springweir/failure"
)

// countStep counts a failed step of the reconciler by reason.
func countStep(err error) {
	if err != nil {
		name := fmt.Sprintf(`springweir_roster_failures_total{reason=%q}`, failure.ReasonOf(err))
		metrics.GetOrCreateCounter(name).Inc()
	}
}

// countChange counts the VMs that a change of the roster excluded and removed.
func countChange(old, next Roster) {
	for _, vm := range old.VMs {
		now, listed := next.Find(vm.Name)
		if !listed {
			metrics.GetOrCreateCounter(`springweir_roster_dropped_total`).Inc()
		}
		if now.Excluded() && !vm.Excluded() {
			metrics.GetOrCreateCounter(`springweir_roster_shunned_total`).Inc()
		}
	}
}
