package simulate

import (
	"time"

	"github.com/springweir/springweir/engine"
)

// Request kinds of the traces. Deadlines apply to complete responses.
var (
	// driverQuestion is a driver's short question. The driver must be able to
	// read the response before the next roundabout.
	driverQuestion = requestKind{
		priority: engine.Interactive, deadline: 5 * time.Second,
		promptLow: 40, promptHigh: 200, outputLow: 60, outputHigh: 140, shared: 256,
	}
	// permitLetter is a pasted letter with site rules.
	permitLetter = requestKind{
		priority: engine.Standard, deadline: 20 * time.Second,
		promptLow: 4000, promptHigh: 11000, outputLow: 100, outputHigh: 300, shared: 512, followUps: 0.3,
	}
	// guestReply is a draft reply for a guest who waits at the counter.
	guestReply = requestKind{
		priority: engine.Interactive, deadline: 8 * time.Second,
		promptLow: 150, promptHigh: 500, outputLow: 100, outputHigh: 220, shared: 256,
	}
	// contractCheck reads a contract and gives a short yes-or-no response on
	// parity.
	contractCheck = requestKind{
		priority: engine.Standard, deadline: 15 * time.Second,
		promptLow: 5000, promptHigh: 13000, outputLow: 20, outputHigh: 80, shared: 512, followUps: 0.3,
	}
	// longDraft is a long text written from a short prompt.
	longDraft = requestKind{
		priority: engine.Standard, deadline: 20 * time.Second,
		promptLow: 100, promptHigh: 400, outputLow: 250, outputHigh: 500, shared: 256,
	}
)

// ratesByMinute returns rate points from pairs of a time in minutes and a rate
// per second.
func ratesByMinute(pairs ...float64) []ratePoint {
	var out []ratePoint
	for i := 0; i+1 < len(pairs); i += 2 {
		out = append(out, ratePoint{time.Duration(pairs[i] * float64(time.Minute)), pairs[i+1]})
	}
	return out
}

const (
	traceLength   = 10 * time.Minute
	faultStartAt  = 4 * time.Minute
	faultDuration = 2 * time.Minute
)

// morning is a broad peak of pasted letters alongside drivers' questions.
func morning() []stream {
	return []stream{
		{driverQuestion, ratesByMinute(0, 16, 3, 22, 7, 22, 10, 20)},
		{permitLetter, ratesByMinute(0, 1.5, 3, 9.5, 6, 9.5, 8, 3, 10, 2)},
	}
}

// evening is a peak of contract checks alongside guest replies.
func evening() []stream {
	return []stream{
		{guestReply, ratesByMinute(0, 18, 4, 18, 6, 26, 10, 26)},
		{contractCheck, ratesByMinute(0, 3, 2, 8.5, 5, 8.5, 7, 2, 10, 2)},
	}
}

// swing alternates between pasted letters and long drafts within minutes.
func swing() []stream {
	return []stream{
		{driverQuestion, ratesByMinute(0, 12)},
		{permitLetter, ratesByMinute(0, 9.5, 2, 9.5, 2.5, 1, 4.5, 1, 5, 9.5, 7, 9.5, 7.5, 1, 10, 1)},
		{longDraft, ratesByMinute(0, 4, 2, 4, 2.5, 32, 4.5, 32, 5, 4, 7, 4, 7.5, 32, 10, 32)},
	}
}

// recipes returns the traces in output order.
func recipes() []recipe {
	crash := []Fault{{Kind: CrashEngine, At: faultStartAt, For: time.Minute, Zone: 1, Engine: 0}}
	partition := []Fault{{Kind: PartitionZone, At: faultStartAt, For: faultDuration, Zone: 2}}
	frozen := []Fault{{Kind: FreezeReports, At: faultStartAt, For: faultDuration}}
	return []recipe{
		{"kliko-morning", traceLength, morning(), nil, 1},
		{"szallashalo-evening", traceLength, evening(), nil, 1},
		{"swing", traceLength, swing(), nil, 1},
		{"crash-in-peak", traceLength, morning(), crash, 1},
		{"zone-cut-in-peak", traceLength, morning(), partition, 1},
		{"overload-1.5x", traceLength, morning(), nil, 1.5},
		{"overload-3x", traceLength, morning(), nil, 3},
		{"reports-frozen", traceLength, morning(), frozen, 1},
		{"kliko-ordinary", traceLength, morning(), nil, 0.6},
	}
}
