package fleet

import (
	"time"

	"github.com/springweir/springweir/engine"
)

// Reservation is work that this process sent to an endpoint.
type Reservation struct {
	Endpoint string
	// Attempt is the id that engine.Load.Recent names.
	Attempt string
	Work    Work
}

// Ledger keeps this process's own work at the endpoints, to make up for load
// reports that lag. A Store calls it under its lock; it needs none of its own.
//
// The three ledgers differ in what counts as unseen by the last report.
// MatchedLedger follows "Resource Quota - reservations" in keeping what is
// reserved apart from what is reported as used, until the report has caught up.
type Ledger interface {
	// Reserve records work that is about to be sent.
	Reserve(now time.Duration, r Reservation)
	// MarkPrefilled tells that an attempt's prompt is computed: its prompt tokens
	// no longer wait. Unknown attempts are ignored.
	MarkPrefilled(endpoint, attempt string)
	// Release ends it, whatever became of it. Unknown attempts are ignored.
	Release(endpoint, attempt string)
	// Observe takes in a load report of an endpoint.
	Observe(now time.Duration, endpoint string, load engine.Load)
	// Forget drops all work at an endpoint that lost it (a new incarnation).
	Forget(endpoint string)
	// LocalWork returns the work at an endpoint.
	LocalWork(now time.Duration, endpoint string) LocalWork
}

// entry is one reservation in a book.
type entry struct {
	work Work
	at   time.Duration
	seen bool
}

// book is the reservations at one endpoint. Invariant: own.InFlight is the sum of
// all entries, own.Unreported the sum of those not seen.
type book struct {
	own     LocalWork
	entries map[string]entry
}

// books is the bookkeeping that the ledgers share.
type books map[string]*book

// Reserve implements Ledger. Reserving an attempt twice is idempotent.
func (b books) Reserve(now time.Duration, r Reservation) {
	at := b[r.Endpoint]
	if at == nil {
		at = &book{entries: make(map[string]entry)}
		b[r.Endpoint] = at
	}
	if _, twice := at.entries[r.Attempt]; twice {
		return
	}
	at.entries[r.Attempt] = entry{work: r.Work, at: now}
	at.own.InFlight = at.own.InFlight.Add(r.Work)
	at.own.Unreported = at.own.Unreported.Add(r.Work)
}

// MarkPrefilled implements Ledger. Telling it twice is idempotent.
func (b books) MarkPrefilled(endpoint, attempt string) {
	at := b[endpoint]
	if at == nil {
		return
	}
	e, ok := at.entries[attempt]
	if !ok {
		return
	}
	computed := Work{PromptTokens: e.work.PromptTokens}
	e.work = e.work.sub(computed)
	at.entries[attempt] = e
	at.own.InFlight = at.own.InFlight.sub(computed)
	if !e.seen {
		at.own.Unreported = at.own.Unreported.sub(computed)
	}
}

// Release implements Ledger.
func (b books) Release(endpoint, attempt string) {
	at := b[endpoint]
	if at == nil {
		return
	}
	at.see(attempt)
	e, ok := at.entries[attempt]
	if !ok {
		return
	}
	at.own.InFlight = at.own.InFlight.sub(e.work)
	delete(at.entries, attempt)
	if len(at.entries) == 0 {
		delete(b, endpoint)
	}
}

// Forget implements Ledger.
func (b books) Forget(endpoint string) { delete(b, endpoint) }

func (b *book) see(attempt string) {
	e, ok := b.entries[attempt]
	if !ok || e.seen {
		return
	}
	e.seen = true
	b.entries[attempt] = e
	b.own.Unreported = b.own.Unreported.sub(e.work)
}

// ReportedOnlyLedger trusts reports alone: nothing is ever unseen.
type ReportedOnlyLedger struct{ books }

// NewReportedOnlyLedger returns an empty ledger.
func NewReportedOnlyLedger() *ReportedOnlyLedger { return &ReportedOnlyLedger{make(books)} }

// Observe implements Ledger.
func (*ReportedOnlyLedger) Observe(time.Duration, string, engine.Load) {}

// LocalWork implements Ledger.
func (l *ReportedOnlyLedger) LocalWork(_ time.Duration, endpoint string) LocalWork {
	if at := l.books[endpoint]; at != nil {
		return LocalWork{InFlight: at.own.InFlight}
	}
	return LocalWork{}
}

// InFlightLedger adds all own work in flight to the report, seen by it or not.
type InFlightLedger struct{ books }

// NewInFlightLedger returns an empty ledger.
func NewInFlightLedger() *InFlightLedger { return &InFlightLedger{make(books)} }

// Observe implements Ledger.
func (*InFlightLedger) Observe(time.Duration, string, engine.Load) {}

// LocalWork implements Ledger.
func (l *InFlightLedger) LocalWork(_ time.Duration, endpoint string) LocalWork {
	if at := l.books[endpoint]; at != nil {
		return at.own
	}
	return LocalWork{}
}

// MatchedLedger counts work as unseen until a report names its attempt, or
// until it expires (a report names a bounded number of attempts).
type MatchedLedger struct {
	books
	expiry time.Duration
}

// DefaultExpiry is longer than the reports' usual lag.
const DefaultExpiry = 4 * time.Second

// NewMatchedLedger returns an empty ledger whose reservations count as seen
// after expiry.
func NewMatchedLedger(expiry time.Duration) *MatchedLedger {
	return &MatchedLedger{books: make(books), expiry: expiry}
}

// Observe implements Ledger.
func (l *MatchedLedger) Observe(_ time.Duration, endpoint string, load engine.Load) {
	at := l.books[endpoint]
	if at == nil {
		return
	}
	for _, attempt := range load.Recent {
		at.see(attempt)
	}
}

// LocalWork implements Ledger. It expires what is too old first.
func (l *MatchedLedger) LocalWork(now time.Duration, endpoint string) LocalWork {
	at := l.books[endpoint]
	if at == nil {
		return LocalWork{}
	}
	for attempt, e := range at.entries {
		if !e.seen && now-e.at >= l.expiry {
			at.see(attempt)
		}
	}
	return at.own
}
