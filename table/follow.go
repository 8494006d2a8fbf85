package table

import (
	"context"
	"errors"
	"time"

	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/internal/loop"
)

const (
	// DefaultFeedWait is how long one question for changes waits. A longer wait
	// makes fewer calls; a shorter one finds a store that fell silent sooner.
	DefaultFeedWait = 4 * time.Second
	// feedRetryMin and feedRetryMax bound the mean pause before a failed
	// question is asked again; it doubles with each.
	feedRetryMin = 100 * time.Millisecond
	feedRetryMax = 800 * time.Millisecond
)

// Listing tells under which circumstances a table was read whole.
type Listing struct {
	// AfterOutage marks the first answer after questions that failed: what it shows as missing
	// may have lapsed only because the store was away.
	AfterOutage bool
	// NewEpoch marks the first listing since the store came back from a copy: it may lack, or hold
	// as it was, what has changed since the copy was taken.
	NewEpoch bool
}

// Follower keeps up with one table: it reads it whole, then follows its changes,
// and reads it whole again when they are no longer kept.
//
// The callbacks are called one at a time, in the order of the table's versions. afterOutage is as
// in Listing.
type Follower struct {
	Feed  Feed
	Table string
	// Wait is how long a question waits for a change; zero takes DefaultFeedWait.
	Wait time.Duration
	// OnList takes the whole table.
	OnList func(rows []Row, listing Listing)
	// OnChanges takes changes; there may be none.
	OnChanges func(changes []Change, afterOutage bool)
	// OnResponse, which may be nil, is called after OnList or OnChanges has taken in an answer.
	OnResponse func()
	// OnUnavailable is called when a question fails after one that did not, OnRecovered
	// when one succeeds again, with how long there was no answer. Both may be nil.
	OnUnavailable func(err error)
	OnRecovered   func(away time.Duration)

	unavailable  bool
	lastResponse time.Time
	// failures counts the questions that failed one after the other.
	failures int
	// epoch is that of the last listing.
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

// follow asks for changes until they are no longer kept.
func (f *Follower) follow(ctx context.Context, version Version) {
	var historyGone *HistoryGoneError
	for ctx.Err() == nil {
		wait := f.Wait
		if f.unavailable {
			wait = 0 // the first answer must not mix in what happens after the outage
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

// failed notes a question without an answer and pauses.
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

// answered notes an answer and tells whether it is the first after an outage.
func (f *Follower) handleResponse() (afterOutage bool) {
	now := clock.Now()
	afterOutage = f.unavailable
	if f.unavailable && f.OnRecovered != nil {
		f.OnRecovered(now.Sub(f.lastResponse))
	}
	f.unavailable, f.failures, f.lastResponse = false, 0, now
	return afterOutage
}
