// Package fakeoperator provides in-memory fakes of the interfaces that the operator API uses.
package fakeoperator

import (
	"context"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/springweir/springweir/operator"
	pb "github.com/springweir/springweir/operator/operatorpb"
	"github.com/springweir/springweir/table"
)

// Store is an operator.ConfigStore in memory. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	versions []*pb.Config
	pending  []*pb.PendingZone
	down     bool
	loseNext bool
	blind    bool
	// before is called once before the next Put, without holding mu.
	before func()
}

// SetDown sets whether every call fails as unavailable.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// LoseNextResponse makes the next Put take effect but fail with *table.UnknownError.
func (s *Store) LoseNextResponse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseNext = true
}

// BeforeNextPut makes the next Put call f before it takes effect.
func (s *Store) BeforeNextPut(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.before = f
}

// SetStateUnavailable sets whether State, and no other method, fails as unavailable.
func (s *Store) SetStateUnavailable(blind bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.blind = blind
}

// SetPending sets the zones on which every version is pending. Without zones, versions are
// accepted.
func (s *Store) SetPending(zones ...*pb.PendingZone) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = zones
}

// lock locks mu, or returns an error without holding it if the store is down.
func (s *Store) lock() error {
	s.mu.Lock()
	if s.down {
		s.mu.Unlock()
		return &table.UnavailableError{}
	}
	return nil
}

// Head implements operator.ConfigStore.
func (s *Store) Head(context.Context) (uint64, error) {
	if err := s.lock(); err != nil {
		return 0, err
	}
	defer s.mu.Unlock()
	return uint64(len(s.versions)), nil
}

// Load implements operator.ConfigStore.
func (s *Store) Load(_ context.Context, version uint64) (*pb.Config, error) {
	if err := s.lock(); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	if version == 0 || version > uint64(len(s.versions)) {
		return nil, &operator.NoSuchVersionError{Version: version}
	}
	return proto.CloneOf(s.versions[version-1]), nil
}

// Put implements operator.ConfigStore.
func (s *Store) Put(_ context.Context, edit *pb.PutConfigRequest) (uint64, error) {
	s.mu.Lock()
	before := s.before
	s.before = nil
	s.mu.Unlock()
	if before != nil {
		before()
	}
	if err := s.lock(); err != nil {
		return 0, err
	}
	defer s.mu.Unlock()
	head := uint64(len(s.versions))
	if edit.Base != head {
		if edit.Base < head && s.versions[edit.Base].WriteId == edit.WriteId {
			return edit.Base + 1, nil
		}
		return 0, &operator.ConflictError{Base: edit.Base, Newest: s.describe(head)}
	}
	s.versions = append(s.versions, &pb.Config{
		Version: head + 1, Text: edit.Text, Author: edit.Author, Note: edit.Note, WriteId: edit.WriteId, Written: int64(1000 * (head + 1)),
	})
	if s.loseNext {
		s.loseNext = false
		return 0, &table.UnknownError{}
	}
	return head + 1, nil
}

// describe returns a version without its text.
func (s *Store) describe(version uint64) *pb.Config {
	if version == 0 {
		return &pb.Config{}
	}
	c := proto.CloneOf(s.versions[version-1])
	c.Text = nil
	return c
}

// State implements operator.ConfigStore.
func (s *Store) State(_ context.Context, version uint64) (*pb.ConfigState, error) {
	if err := s.lock(); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	if s.blind {
		return nil, &table.UnavailableError{}
	}
	if version == 0 || version > uint64(len(s.versions)) {
		return nil, &operator.NoSuchVersionError{Version: version}
	}
	return &pb.ConfigState{Version: version, Accepted: len(s.pending) == 0, Pending: s.pending}, nil
}

// History implements operator.ConfigStore.
func (s *Store) History(_ context.Context, after uint64, limit int) ([]*pb.Config, error) {
	if err := s.lock(); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	var out []*pb.Config
	for v := after + 1; v <= uint64(len(s.versions)) && len(out) < limit; v++ {
		out = append(out, s.describe(v))
	}
	return out, nil
}

// Fleet is an operator.Fleet that returns a configured status. It is safe for concurrent use.
type Fleet struct {
	mu     sync.Mutex
	status *pb.FleetStatus
}

// Set sets the status that Status returns.
func (f *Fleet) Set(status *pb.FleetStatus) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.status = status
}

// Status implements operator.Fleet.
func (f *Fleet) Status(context.Context) (*pb.FleetStatus, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.status == nil {
		return &pb.FleetStatus{}, nil
	}
	return proto.CloneOf(f.status), nil
}
