package simulate

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/standin/enginemodel"
)

// Result holds the measurements of one run.
type Result struct {
	// Goodput is the fraction of all requests with a complete response within
	// the deadline.
	Goodput float64
	// Interactive is the goodput of the interactive requests.
	Interactive float64
	// Changes is the number of role changes.
	Changes int
	// FirstToken is the 95th percentile of the time to the first token.
	// BetweenTokens is the 95th percentile of a response's mean time between
	// tokens. Both cover completed responses only.
	FirstToken, BetweenTokens time.Duration
	// Refused counts the requests that were rejected without being run, Late
	// those that missed their deadline.
	Refused, Late int
	// Requests is the number of requests in the trace.
	Requests int
}

// Line returns the measurement in the format that `make policy` prints.
func (r Result) Line(trace, policy string, seed uint64) string {
	return fmt.Sprintf("POLICY trace=%s policy=%s seed=%d goodput=%.4f role_changes=%d ttft_p95_ms=%d itl_p95_ms=%d refused=%d",
		trace, policy, seed, r.Goodput, r.Changes, r.FirstToken.Milliseconds(), r.BetweenTokens.Milliseconds(), r.Refused)
}

// tally accumulates the measurements of a run.
type tally struct {
	good, late, refused, changes int
	// interactive counts the interactive arrivals, interactiveGood those
	// completed in time.
	interactive, interactiveGood int
	firstToken, betweenTokens    *hdrhistogram.Histogram
}

// maxLatencyMicros is the highest value of the histograms, in microseconds.
const maxLatencyMicros = 120_000_000

// finished counts a response that was completed in time.
func (t *tally) finished(r *activeRequest, ev enginemodel.Event) {
	if t.firstToken == nil {
		t.firstToken = hdrhistogram.New(1, maxLatencyMicros, 3)
		t.betweenTokens = hdrhistogram.New(1, maxLatencyMicros, 3)
	}
	t.good++
	if r.Priority == engine.Interactive {
		t.interactiveGood++
	}
	record(t.firstToken, r.firstTokenAt-r.At)
	if r.Output > 1 {
		record(t.betweenTokens, (ev.At-r.firstTokenAt)/time.Duration(r.Output-1))
	}
}

// record adds a time to h. Times above the range of h count as its maximum.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(d.Microseconds(), maxLatencyMicros))
}

func (t *tally) result(requests int) Result {
	out := Result{
		Goodput:     float64(t.good) / float64(requests),
		Interactive: float64(t.interactiveGood) / float64(max(1, t.interactive)),
		Changes:     t.changes,
		Refused:     t.refused,
		Late:        t.late,
		Requests:    requests,
	}
	if t.firstToken != nil {
		out.FirstToken = time.Duration(t.firstToken.ValueAtQuantile(95)) * time.Microsecond
		out.BetweenTokens = time.Duration(t.betweenTokens.ValueAtQuantile(95)) * time.Microsecond
	}
	return out
}
