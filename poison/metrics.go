package poison

import (
	"fmt"
	"strings"

	"github.com/VictoriaMetrics/metrics"
)

var (
	// crashesSeen counts reports of endpoints that crashed under runs of this VM.
	crashesSeen = metrics.NewCounter("springweir_poison_crashes_total")
	// verdictsMade counts requests that this VM found to be to blame, verdictsLearned those
	// that it read of in the store, and verdictsUnkept those that could not be written there.
	verdictsMade    = metrics.NewCounter(`springweir_poison_verdicts_total{from="own"}`)
	verdictsLearned = metrics.NewCounter(`springweir_poison_verdicts_total{from="store"}`)
	verdictsUnkept  = metrics.NewCounter("springweir_poison_verdicts_unkept_total")
	// rowsMalformed counts rows of verdicts that could not be understood.
	rowsMalformed = metrics.NewCounter("springweir_poison_rows_malformed_total")
)

// maxDescribed bounds the suspects in one line of the log.
const maxDescribed = 40

// describe lists suspects for the log: request and key, with a mark for those that had given
// events.
func describe(list []Suspect) string {
	var b strings.Builder
	for i, s := range list {
		if i == maxDescribed {
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
	}
	return b.String()
}
