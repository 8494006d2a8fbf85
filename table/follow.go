package table

import (
	"context"
	"errors"
	"time"

	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/internal/loop"
)

const (
	// DefaultFeedWait is how long one query for changes waits. A longer wait makes fewer calls; a
	// shorter one detects an unresponsive store sooner.
	DefaultFeedWait = 4 * time.Second
	// feedRetryMin and feedRetryMax bound the mean pause before a failed query is retried; the
	// pause doubles with each failure.
	feedRetryMin = 100 * time.Millisecond
	feedRetryMax = 550 * time.Millisecond
)

// Listing describes the circumstances under which a whole table was read.
type Listing struct {
	// AfterOutage marks the first response after failed queries: rows that are missing from it
	// may have expired only because the store was unavailable.
	AfterOutage bool
	// NewEpoch marks the first listing after the store was restored from a backup: changes made
	// since the backup may be missing or reverted.
	NewEpoch bool
}

// Follower follows one table: it reads the whole table, then its changes, and reads the whole
// table again when the changes are no longer kept.
//
// The callbacks are called one at a time, in the order of the table's versions. afterOutage has
// the meaning of Listing.AfterOutage.
type Follower struct {
	Feed  Feed
	Table string
	// Wait is how long a query waits for a change; zero takes DefaultFeedWait.
	Wait time.Duration
	// OnList receives the whole table.
	OnList func(rows []Row, listing Listing)
	// OnChanges receives changes; there may be none.
	OnChanges func(changes []Change, afterOutage bool)
	// OnResponse, which may be nil, is called after OnList or OnChanges has processed a response.
	OnResponse func()
	// OnUnavailable is called when a query fails after a successful one or as the first.
	// OnRecovered is called at the next successful one, with the time since the last response.
	// Both may be nil.
	OnUnavailable func(err error)
	OnRecovered   func(outage time.Duration)

	unavailable  bool
	lastResponse time.Time
	// failures counts consecutive failed queries.
	failures int
	// epoch is the epoch of the last listing.
	epoch uint64
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	if f.Wait == 0 {
		f.Wait = DefaultFeedWait
	}
	f.lastResponse = clock.Now()
	listed := false
	for ctx.Err() == nil {
		rows, version, err := f.Feed.List(ctx, f.Table)
		if err != nil {
			f.handleError(ctx, err)
			continue
		}
		listing := Listing{AfterOutage: f.handleResponse(), NewEpoch: listed && version.Epoch() > f.epoch}
		listed, f.epoch = true, version.Epoch()
		f.OnList(rows, listing)
		f.notifyResponse()
		f.follow(ctx, version)
	}
}

// follow queries for changes until they are no longer kept.
func (f *Follower) follow(ctx context.Context, version Version) {
	var historyGone *HistoryGoneError
	for ctx.Err() == nil {
		wait := f.Wait
		if f.unavailable {
			wait = 0 // the first response must not include changes made after the outage
		}
		changes, next, err := f.Feed.Changes(ctx, f.Table, version, wait)
		switch {
		case errors.As(err, &historyGone):
			return
		case err != nil:
			f.handleError(ctx, err)
		default:
			f.OnChanges(changes, f.handleResponse())
			f.notifyResponse()
			version = max(version, next)
		}
	}
}

func (f *Follower) notifyResponse() {
	if f.OnResponse != nil {
		f.OnResponse()
	}
}

// handleError records a failed query and sleeps for the backoff.
func (f *Follower) handleError(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if !f.unavailable {
		f.unavailable = true
		if f.OnUnavailable != nil {
			f.OnUnavailable(err)
		}
	}
	pause := min(feedRetryMin<<min(f.failures, 8), feedRetryMax)
	f.failures++
	loop.Sleep(ctx, loop.Jitter(pause))
}

// handleResponse records a response and reports whether it is the first after an outage.
func (f *Follower) handleResponse() (afterOutage bool) {
	now := clock.Now()
	afterOutage = f.unavailable
	if f.unavailable && f.OnRecovered != nil {
		f.OnRecovered(now.Sub(f.lastResponse))
	}
	f.unavailable, f.failures, f.lastResponse = false, 0, now
	return afterOutage
}
