// Package memobject is an in-memory object store with fault injection.
package memobject

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/internal/loop"
	"github.com/springweir/springweir/object"
)

// Store is an in-memory object.Store. Its lock is never held while waiting.
type Store struct {
	mu      sync.Mutex
	objects map[string][]byte
	fault   Fault
	counts  Counts
}

var _ object.Store = (*Store)(nil)

// Fault is what to do to every call. The zero value does nothing.
type Fault struct {
	// Delay is how long a call waits before anything else happens.
	Delay time.Duration
	// Down fails calls before they have any effect.
	Down bool
	// LoseResponse lets a Put take effect and fails it all the same.
	LoseResponse bool
}

// Counts are the calls since the start, failed ones included.
type Counts struct {
	Puts uint64 `json:"puts"`
	Gets uint64 `json:"gets"`
	// Deletes are counted apart from puts.
	Deletes uint64 `json:"deletes"`
}

// FaultError is an injected fault.
type FaultError struct{}

// Error implements error.
func (FaultError) Error() string { return "injected fault" }

// Reason implements failure.Coded.
func (FaultError) Reason() failure.Reason { return failure.ObjectUnavailable }

// New returns an empty store.
func New() *Store { return &Store{objects: make(map[string][]byte)} }

// SetFault puts f in force; the zero Fault ends all faults.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Counts returns the counts so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Put implements object.Store.
func (s *Store) Put(ctx context.Context, name string, data []byte) error {
	if err := object.Validate(name, data); err != nil {
		return err
	}
	f := s.begin(func(c *Counts) { c.Puts++ })
	if err := f.hit(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	s.objects[name] = bytes.Clone(data)
	s.mu.Unlock()
	if f.LoseResponse {
		return &object.UnavailableError{Cause: FaultError{}}
	}
	return nil
}

// Get implements object.Store.
func (s *Store) Get(ctx context.Context, name string) ([]byte, error) {
	f := s.begin(func(c *Counts) { c.Gets++ })
	if err := f.hit(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	data, ok := s.objects[name]
	if !ok {
		return nil, &object.MissingError{Name: name}
	}
	return bytes.Clone(data), nil
}

// Delete implements object.Store.
func (s *Store) Delete(ctx context.Context, name string) error {
	f := s.begin(func(c *Counts) { c.Deletes++ })
	if err := f.hit(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.objects, name)
	return nil
}

// begin counts a call and returns the fault in force.
func (s *Store) begin(count func(*Counts)) Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	count(&s.counts)
	return s.fault
}

// hit waits and fails as f says.
func (f Fault) hit(ctx context.Context) error {
	if f.Delay > 0 {
		loop.Sleep(ctx, f.Delay)
	}
	if ctx.Err() != nil {
		return &object.UnavailableError{Cause: context.Cause(ctx)}
	}
	if f.Down {
		return &object.UnavailableError{Cause: FaultError{}}
	}
	return nil
}
