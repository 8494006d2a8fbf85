package poison

import (
	"fmt"
	"strings"

	"github.com/VictoriaMetrics/metrics"
)

var (
	// crashesReported counts the crash reports that this VM made about its own runs.
	crashesReported = metrics.NewCounter("springweir_poison_crashes_total")
	// entriesCreated counts the quarantine entries that this VM created, entriesReceived those that
	// it read from the store, and entriesNotStored the writes and removals that found the queue
	// full.
	entriesCreated   = metrics.NewCounter(`springweir_poison_verdicts_total{from="own"}`)
	entriesReceived  = metrics.NewCounter(`springweir_poison_verdicts_total{from="store"}`)
	entriesNotStored = metrics.NewCounter("springweir_poison_verdicts_unkept_total")
	// malformedRows counts rows of the table that could not be decoded.
	malformedRows = metrics.NewCounter("springweir_poison_rows_malformed_total")
)

// maxLoggedSuspects bounds the suspects in one log line.
const maxLoggedSuspects = 40

// describe formats suspects for the log: the request ID and the subject of each, a mark if it had
// emitted events, and in brackets the parts of its prompt that may be to blame.
func describe(list []Suspect) string {
	var b strings.Builder
	for i, s := range list {
		if i == maxLoggedSuspects {
			fmt.Fprintf(&b, " and %d more", len(list)-i)
			break
		}
		if i > 0 {
			b.WriteByte(' ')
		}
		fmt.Fprintf(&b, "%s=%s", s.Request, Subject{Key: s.Key, Origin: s.Origin})
		if s.Streaming {
			b.WriteString("(streaming)")
		}
		for _, part := range s.Parts {
			fmt.Fprintf(&b, "[%s=%s]", part.ID, Subject{Key: part.Key, Part: true})
		}
	}
	return b.String()
}
