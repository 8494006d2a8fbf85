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

// Store is an in-memory object.Store. It is safe for concurrent use; its lock is
// never held while waiting.
type Store struct {
	mu      sync.Mutex
	objects map[string][]byte
	fault   Fault
	counts  Counts
}

var _ object.Store = (*Store)(nil)

// Fault is the fault injected into every call. The zero value injects none.
type Fault struct {
	// Delay is the time that a call waits before it is processed.
	Delay time.Duration
	// Down makes calls fail before they take effect.
	Down bool
	// LoseResponse makes a Put fail after it has taken effect.
	LoseResponse bool
}

// Counts holds the numbers of calls since the store was created, including failed
// ones.
type Counts struct {
	Puts    uint64 `json:"puts"`
	Gets    uint64 `json:"gets"`
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

// SetFault activates f; the zero Fault clears all faults.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Counts returns the current counts.
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
	f := s.startCall(func(c *Counts) { c.Puts++ })
	if err := f.apply(ctx); err != nil {
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
	f := s.startCall(func(c *Counts) { c.Gets++ })
	if err := f.apply(ctx); err != nil {
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
	f := s.startCall(func(c *Counts) { c.Deletes++ })
	if err := f.apply(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.objects, name)
	return nil
}

// startCall counts a call and returns the active fault.
func (s *Store) startCall(count func(*Counts)) Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	count(&s.counts)
	return s.fault
}

// apply waits for f.Delay and returns the injected error, if any.
func (f Fault) apply(ctx context.Context) error {
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
