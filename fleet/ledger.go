package fleet

import (
	"time"

	"github.com/springweir/springweir/engine"
)

// Reservation is work that this process sends to an endpoint.
type Reservation struct {
	Endpoint string
	// Attempt is the attempt ID, as listed in engine.Load.Recent.
	Attempt string
	Work    Work
}

// Ledger tracks the work of this process at the endpoints, to compensate for the lag of load
// reports. A Store calls it under its lock, so implementations need no lock.
//
// The implementations differ in the work that they count as missing from the last report.
// MatchedLedger separates reserved from reported usage until a report includes the reservation,
// like the reservations of a resource quota.
type Ledger interface {
	// Reserve records work that is about to be sent.
	Reserve(now time.Duration, r Reservation)
	// MarkPrefilled records that the prompt of an attempt has been computed, so that its prompt
	// tokens no longer wait. Unknown attempts are ignored.
	MarkPrefilled(endpoint, attempt string)
	// Release ends a reservation, whatever the outcome of the attempt. Unknown attempts are
	// ignored.
	Release(endpoint, attempt string)
	// Observe processes a load report of an endpoint.
	Observe(now time.Duration, endpoint string, load engine.Load)
	// Forget drops all work at an endpoint that has lost it by a restart (a new incarnation).
	Forget(endpoint string)
	// LocalWork returns the work of this process at an endpoint.
	LocalWork(now time.Duration, endpoint string) LocalWork
}

// trackedAttempt is one reservation. reported is set once its work counts as included in the load
// reports.
type trackedAttempt struct {
	work       Work
	reservedAt time.Duration
	reported   bool
}

// endpointLoad holds the reservations at one endpoint. Invariant: work.InFlight is the sum over all
// attempts, work.Unreported the sum over those that are not reported.
type endpointLoad struct {
	work     LocalWork
	attempts map[string]trackedAttempt
}

// loadTracker is the part shared by the ledgers. It is keyed by endpoint name.
type loadTracker map[string]*endpointLoad

// Reserve implements Ledger. It is idempotent for an attempt.
func (b loadTracker) Reserve(now time.Duration, r Reservation) {
	load := b[r.Endpoint]
	if load == nil {
		load = &endpointLoad{attempts: make(map[string]trackedAttempt)}
		b[r.Endpoint] = load
	}
	if _, exists := load.attempts[r.Attempt]; exists {
		return
	}
	load.attempts[r.Attempt] = trackedAttempt{work: r.Work, reservedAt: now}
	load.work.InFlight = load.work.InFlight.Add(r.Work)
	load.work.Unreported = load.work.Unreported.Add(r.Work)
}

// MarkPrefilled implements Ledger. It is idempotent for an attempt.
func (b loadTracker) MarkPrefilled(endpoint, attempt string) {
	load := b[endpoint]
	if load == nil {
		return
	}
	e, ok := load.attempts[attempt]
	if !ok {
		return
	}
	computed := Work{PromptTokens: e.work.PromptTokens}
	e.work = e.work.sub(computed)
	load.attempts[attempt] = e
	load.work.InFlight = load.work.InFlight.sub(computed)
	if !e.reported {
		load.work.Unreported = load.work.Unreported.sub(computed)
	}
}

// Release implements Ledger.
func (b loadTracker) Release(endpoint, attempt string) {
	load := b[endpoint]
	if load == nil {
		return
	}
	load.markReported(attempt)
	e, ok := load.attempts[attempt]
	if !ok {
		return
	}
	load.work.InFlight = load.work.InFlight.sub(e.work)
	delete(load.attempts, attempt)
	if len(load.attempts) == 0 {
		delete(b, endpoint)
	}
}

// Forget implements Ledger.
func (b loadTracker) Forget(endpoint string) { delete(b, endpoint) }

// markReported counts an attempt as included in the load reports.
func (b *endpointLoad) markReported(attempt string) {
	e, ok := b.attempts[attempt]
	if !ok || e.reported {
		return
	}
	e.reported = true
	b.attempts[attempt] = e
	b.work.Unreported = b.work.Unreported.sub(e.work)
}

// ReportedOnlyLedger relies on load reports alone: no work counts as unreported.
type ReportedOnlyLedger struct{ loadTracker }

// NewReportedOnlyLedger returns an empty ledger.
func NewReportedOnlyLedger() *ReportedOnlyLedger { return &ReportedOnlyLedger{make(loadTracker)} }

// Observe implements Ledger.
func (*ReportedOnlyLedger) Observe(time.Duration, string, engine.Load) {}

// LocalWork implements Ledger.
func (l *ReportedOnlyLedger) LocalWork(_ time.Duration, endpoint string) LocalWork {
	if load := l.loadTracker[endpoint]; load != nil {
		return LocalWork{InFlight: load.work.InFlight}
	}
	return LocalWork{}
}

// InFlightLedger counts all local work in flight as unreported.
type InFlightLedger struct{ loadTracker }

// NewInFlightLedger returns an empty ledger.
func NewInFlightLedger() *InFlightLedger { return &InFlightLedger{make(loadTracker)} }

// Observe implements Ledger.
func (*InFlightLedger) Observe(time.Duration, string, engine.Load) {}

// LocalWork implements Ledger.
func (l *InFlightLedger) LocalWork(_ time.Duration, endpoint string) LocalWork {
	if load := l.loadTracker[endpoint]; load != nil {
		return load.work
	}
	return LocalWork{}
}

// MatchedLedger counts work as unreported until a report lists its attempt, or until it expires (a
// report lists a bounded number of attempts).
type MatchedLedger struct {
	loadTracker
	expiry time.Duration
}

// DefaultReservationExpiry exceeds the usual lag of load reports.
const DefaultReservationExpiry = 4 * time.Second

// NewMatchedLedger returns an empty ledger in which reservations count as reported after expiry.
func NewMatchedLedger(expiry time.Duration) *MatchedLedger {
	return &MatchedLedger{loadTracker: make(loadTracker), expiry: expiry}
}

// Observe implements Ledger.
func (l *MatchedLedger) Observe(_ time.Duration, endpoint string, load engine.Load) {
	tracked := l.loadTracker[endpoint]
	if tracked == nil {
		return
	}
	for _, attempt := range load.Recent {
		tracked.markReported(attempt)
	}
}

// LocalWork implements Ledger. It first marks expired reservations as reported.
func (l *MatchedLedger) LocalWork(now time.Duration, endpoint string) LocalWork {
	load := l.loadTracker[endpoint]
	if load == nil {
		return LocalWork{}
	}
	for attempt, e := range load.attempts {
		if !e.reported && now-e.reservedAt >= l.expiry {
			load.markReported(attempt)
		}
	}
	return load.work
}
