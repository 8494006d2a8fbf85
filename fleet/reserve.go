package fleet

import (
	"slices"
	"time"
)

// RecordSpill counts prompt tokens sent to another zone against its prompt budget.
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

// Reserve records work that is about to be sent, so that the next decision includes it. Endpoints
// that have been removed are ignored.
func (s *Store) Reserve(now time.Duration, r Reservation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.slots[r.Endpoint]; !ok {
		return
	}
	s.ledger.Reserve(now, r)
	s.refreshLocalWork(now, r.Endpoint)
}

// MarkPrefilled records that the prompt of an attempt has been computed (its first token has
// arrived), so that it no longer counts as waiting for prefill. While load reports are stale, this
// is the only such indication before the response is complete.
func (s *Store) MarkPrefilled(now time.Duration, endpoint, attempt string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.MarkPrefilled(endpoint, attempt)
	s.refreshLocalWork(now, endpoint)
}

// Release ends a reservation.
func (s *Store) Release(now time.Duration, endpoint, attempt string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.Release(endpoint, attempt)
	s.refreshLocalWork(now, endpoint)
}

func (s *Store) refreshLocalWork(now time.Duration, endpoint string) {
	if e := s.clone(endpoint); e != nil {
		e.LocalWork = s.ledger.LocalWork(now, endpoint)
		s.publish(e)
	}
}
