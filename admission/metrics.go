package admission

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/springweir/springweir/failure"
)

var classNames = [3]string{"interactive", "standard", "batch"}

// countRefusal counts a refusal by reason and class, and returns err.
func countRefusal(class int, err error) error {
	name := fmt.Sprintf("springweir_admission_refused_total{reason=%q,class=%q}", failure.ReasonOf(err), classNames[class])
	metrics.GetOrCreateCounter(name).Inc()
	return err
}

// observeWait records the waiting time of a request that is sent.
func observeWait(class int, waited time.Duration) {
	name := fmt.Sprintf("springweir_admission_wait_seconds{class=%q}", classNames[class])
	metrics.GetOrCreateHistogram(name).Update(waited.Seconds())
}
