// Package fakestore is an in-memory weight store with the rate limits of the real one.
package fakestore

import (
	"context"
	"sync"
	"time"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/weightstore"
)

// FaultError is an injected fault.
type FaultError struct{}

// Error implements error.
func (FaultError) Error() string { return "injected fault" }

// Reason implements failure.Coded.
func (FaultError) Reason() failure.Reason { return failure.WeightsUnavailable }

// Store is an in-memory weightstore.Store. In each window it grants at most
// BytesPerSecond times Window, to at most Concurrent fetchers.
type Store struct {
	mu sync.Mutex
	// sizes holds the artifacts; an unknown one has defaultBytes, if not zero.
	sizes        map[weightstore.Artifact]int64
	defaultBytes int64
	limits       weightstore.Limits
	down         bool
	windowStart  time.Time
	// grantedBytes is the number of bytes granted in the current window.
	grantedBytes int64
	// fetchers holds the fetchers served in the current window.
	fetchers   map[string]bool
	refused    uint64
	totalBytes int64
}

var _ weightstore.Store = (*Store)(nil)

// New returns a store with limits. Every artifact not set by Put has the size
// defaultBytes; with zero it is missing.
func New(limits weightstore.Limits, defaultBytes int64) *Store {
	return &Store{
		sizes:        make(map[weightstore.Artifact]int64),
		fetchers:     make(map[string]bool),
		defaultBytes: defaultBytes,
		limits:       limits,
	}
}

// Put sets the size of an artifact.
func (s *Store) Put(info weightstore.Info) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sizes[info.Artifact] = info.Bytes
}

// SetLimits replaces the limits.
func (s *Store) SetLimits(l weightstore.Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = l
}

// SetDown sets whether all calls fail.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// Counts holds the totals of fetches since the store was created.
type Counts struct {
	// Bytes is the number of bytes granted.
	Bytes int64 `json:"bytes"`
	// Refused counts the fetches refused by a limit.
	Refused uint64 `json:"refused"`
}

// Counts returns the current totals.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Counts{Bytes: s.totalBytes, Refused: s.refused}
}

// Describe implements weightstore.Store.
func (s *Store) Describe(_ context.Context, a weightstore.Artifact) (weightstore.Info, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	size, err := s.size(a)
	return weightstore.Info{Artifact: a, Bytes: size}, err
}

// Limits implements weightstore.Store.
func (s *Store) Limits(context.Context) (weightstore.Limits, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return weightstore.Limits{}, &weightstore.UnavailableError{Cause: FaultError{}}
	}
	return s.limits, nil
}

// Fetch charges n bytes of an artifact to the rate limit, like
// weightstore.Client.Fetch.
func (s *Store) Fetch(_ context.Context, fetcher string, a weightstore.Artifact, n int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, err := s.size(a); err != nil {
		return err
	}
	now := time.Now()
	if now.Sub(s.windowStart) >= s.limits.Window {
		s.windowStart = now
		s.grantedBytes = 0
		clear(s.fetchers)
	}
	if !s.hasCapacity(fetcher, n) {
		s.refused++
		return &weightstore.RateLimitError{RetryAfter: s.windowStart.Add(s.limits.Window).Sub(now)}
	}
	s.fetchers[fetcher] = true
	s.grantedBytes += n
	s.totalBytes += n
	return nil
}

// hasCapacity reports whether the current window can serve n more bytes to fetcher.
// The caller holds s.mu.
func (s *Store) hasCapacity(fetcher string, n int64) bool {
	if !s.fetchers[fetcher] && len(s.fetchers) >= s.limits.Concurrent {
		return false
	}
	windowBytes := int64(float64(s.limits.BytesPerSecond) * s.limits.Window.Seconds())
	// A fetch that exceeds an entire window's budget is allowed as the window's
	// first; otherwise it would never be served.
	return s.grantedBytes == 0 || s.grantedBytes+n <= windowBytes
}

// size returns an artifact's size in bytes. The caller holds s.mu.
func (s *Store) size(a weightstore.Artifact) (int64, error) {
	if s.down {
		return 0, &weightstore.UnavailableError{Cause: FaultError{}}
	}
	if size, ok := s.sizes[a]; ok {
		return size, nil
	}
	if s.defaultBytes == 0 {
		return 0, &weightstore.MissingError{Artifact: a}
	}
	return s.defaultBytes, nil
}
