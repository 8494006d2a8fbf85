package feedshare

import (
	"context"
	"time"

	"github.com/springweir/springweir/internal/clock"
)

// expeditedCoalesceInterval replaces Settings.CoalesceInterval while queries are expedited. It still
// bounds the calls to the store when many rows change one after the other.
const expeditedCoalesceInterval = 50 * time.Millisecond

// Expedite shortens the pause after a response with changes to expeditedCoalesceInterval for the
// given time, because a change is expected that requests wait for. It may be called concurrently
// with all other methods.
func (s *Source) Expedite(d time.Duration) {
	until := clock.Now().Add(d)
	s.expedite.Store(&until)
	select {
	case s.expedited <- struct{}{}:
	default: // the follower will be woken already
	}
}

// coalesceEnd returns when the store may next be queried for changes.
func (s *Source) coalesceEnd() time.Time {
	interval := s.settings.CoalesceInterval
	if until := s.expedite.Load(); until != nil && clock.Now().Before(*until) {
		interval = min(interval, expeditedCoalesceInterval)
	}
	return s.changedAt.Add(interval)
}

// awaitCoalescing waits until the store may be queried for changes, or ctx ends.
func (s *Source) awaitCoalescing(ctx context.Context) {
	for {
		pause := clock.Until(s.coalesceEnd())
		if pause <= 0 {
			return
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-s.expedited:
			timer.Stop()
		case <-timer.C:
		}
	}
}
