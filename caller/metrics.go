package caller

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/internal/clock"
)

// kind tells requests apart in metrics.
type kind string

const (
	kindChat       kind = "chat"
	kindCompletion kind = "completion"
	kindModels     kind = "models"
	kindService    kind = "service"
	kindUnknown    kind = "unknown"
	// kindHop is passed on by another zone's entry, which counts it as well.
	kindHop kind = "hop"
)

// priorityName is the inverse of priorityNames.
func priorityName(p engine.Priority) string {
	for name, value := range priorityNames {
		if value == p {
			return name
		}
	}
	return "unknown"
}

// labels name a request in metrics. Both have few values.
func (x *exchange) labels() string {
	return fmt.Sprintf(`{kind=%q,priority=%q}`, x.kind, priorityName(x.work.Priority))
}

// arrived counts a request.
func (x *exchange) arrived() {
	metrics.GetOrCreateCounter("springweir_requests_total" + x.labels()).Inc()
}

// firstPiece notes the time to the first piece of a streamed answer.
func (x *exchange) firstPiece() {
	metrics.GetOrCreateHistogram("springweir_first_piece_seconds" + x.labels()).UpdateDuration(x.start)
}

// ended counts a request that was answered whole and, of those, one that was
// answered within its deadline: the goodput.
func (x *exchange) ended() {
	if x.failed {
		return
	}
	metrics.GetOrCreateCounter("springweir_requests_whole_total" + x.labels()).Inc()
	metrics.GetOrCreateHistogram("springweir_answer_seconds" + x.labels()).UpdateDuration(x.start)
	if x.work.Deadline.IsZero() || clock.Now().Before(x.work.Deadline) {
		metrics.GetOrCreateCounter("springweir_requests_in_time_total" + x.labels()).Inc()
	}
}
