package caller

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/internal/clock"
)

// kind is the request kind in metric labels.
type kind string

const (
	kindChat       kind = "chat"
	kindCompletion kind = "completion"
	kindModels     kind = "models"
	kindService    kind = "service"
	kindUnknown    kind = "unknown"
	// kindHop is a request forwarded by an entry of another zone, which also counts it.
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

// labels returns the metric labels of a request. Both have a small, fixed set of values.
func (x *exchange) labels() string {
	return fmt.Sprintf(`{kind=%q,priority=%q}`, x.kind, priorityName(x.work.Priority))
}

// countRequest counts a received request.
func (x *exchange) countRequest() {
	metrics.GetOrCreateCounter("springweir_requests_total" + x.labels()).Inc()
}

// recordFirstChunk records the time to the first chunk of a streamed response.
func (x *exchange) recordFirstChunk() {
	metrics.GetOrCreateHistogram("springweir_first_piece_seconds" + x.labels()).UpdateDuration(x.start)
}

// recordCompletion counts a request whose response was complete and records its latency. Those
// completed within their deadline, the goodput, are counted separately.
func (x *exchange) recordCompletion() {
	if x.failed {
		return
	}
	metrics.GetOrCreateCounter("springweir_requests_whole_total" + x.labels()).Inc()
	metrics.GetOrCreateHistogram("springweir_answer_seconds" + x.labels()).UpdateDuration(x.start)
	if x.work.Deadline.IsZero() || clock.Now().Before(x.work.Deadline) {
		metrics.GetOrCreateCounter("springweir_requests_in_time_total" + x.labels()).Inc()
	}
}
