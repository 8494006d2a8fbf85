package fleet

import (
	"slices"
	"time"
)

// RecordSpill counts prompt tokens sent to another zone against its room.
func (s *Store) RecordSpill(zone string, promptTokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := *s.Snapshot()
	next.Zones = slices.Clone(next.Zones)
	for i := range next.Zones {
		if next.Zones[i].Zone == zone {
			next.Zones[i].PromptTokensSent += promptTokens
		}
	}
	s.snapshot.Store(&next)
}

// Reserve records work that is about to be sent, so that the next decision sees
// it. An endpoint that was dropped meanwhile has no book and is ignored.
func (s *Store) Reserve(now time.Duration, r Reservation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.slots[r.Endpoint]; !ok {
		return
	}
	s.ledger.Reserve(now, r)
	s.refresh(now, r.Endpoint)
}

// MarkPrefilled records that an attempt's prompt is computed (its first token came),
// so that it no longer counts as waiting for prefill. While reports are stale
// nothing else tells so before the whole answer is done.
func (s *Store) MarkPrefilled(now time.Duration, endpoint, attempt string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.MarkPrefilled(endpoint, attempt)
	s.refresh(now, endpoint)
}

// Release ends a reservation.
func (s *Store) Release(now time.Duration, endpoint, attempt string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.Release(endpoint, attempt)
	s.refresh(now, endpoint)
}

func (s *Store) refresh(now time.Duration, endpoint string) {
	if e := s.copyOf(endpoint); e != nil {
		e.LocalWork = s.ledger.LocalWork(now, endpoint)
		s.publish(e)
	}
}
