// Package history adapts the configuration history of package rollout to the operator API.
package history

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	"github.com/springweir/springweir/operator"
	pb "github.com/springweir/springweir/operator/operatorpb"
	"github.com/springweir/springweir/rollout"
)

// Store implements operator.ConfigStore with a rollout.Store. It is safe for concurrent use.
type Store struct {
	versions *rollout.Store
}

var _ operator.ConfigStore = (*Store)(nil)

// New returns a Store that reads and writes the given history.
func New(versions *rollout.Store) *Store { return &Store{versions: versions} }

// Head implements operator.ConfigStore.
func (s *Store) Head(ctx context.Context) (uint64, error) {
	head, err := s.versions.Head(ctx)
	return uint64(head), err
}

// Load implements operator.ConfigStore.
func (s *Store) Load(ctx context.Context, version uint64) (*pb.Config, error) {
	entry, err := s.versions.Entry(ctx, rollout.Version(version))
	if err != nil {
		return nil, translate(err)
	}
	document, err := s.versions.Load(ctx, rollout.Version(version))
	if err != nil {
		return nil, translate(err)
	}
	config := describe(entry)
	config.Text = document.Text
	return config, nil
}

// Put implements operator.ConfigStore.
func (s *Store) Put(ctx context.Context, edit *pb.PutConfigRequest) (uint64, error) {
	version, err := s.versions.Put(ctx, rollout.Edit{
		Base:    rollout.Version(edit.Base),
		WriteID: edit.WriteId,
		Author:  edit.Author,
		Note:    edit.Note,
		Text:    edit.Text,
	})
	if err != nil {
		return 0, translate(err)
	}
	return uint64(version), nil
}

// State implements operator.ConfigStore.
func (s *Store) State(ctx context.Context, version uint64) (*pb.ConfigState, error) {
	status, err := s.versions.Status(ctx, rollout.Version(version))
	if err != nil {
		return nil, translate(err)
	}
	state := &pb.ConfigState{Version: uint64(status.Version), Accepted: status.Accepted}
	for _, z := range status.Pending {
		state.Pending = append(state.Pending, &pb.PendingZone{Zone: z.Zone, Confirmed: uint64(z.Confirmed), Missing: z.Missing})
	}
	return state, nil
}

// History implements operator.ConfigStore.
func (s *Store) History(ctx context.Context, after uint64, limit int) ([]*pb.Config, error) {
	entries, err := s.versions.History(ctx, rollout.Version(after), limit)
	if err != nil {
		return nil, translate(err)
	}
	out := make([]*pb.Config, len(entries))
	for i, entry := range entries {
		out[i] = describe(entry)
	}
	return out, nil
}

// describe converts a history entry, which has no text.
func describe(e rollout.Entry) *pb.Config {
	return &pb.Config{Version: uint64(e.Version), Author: e.Author, Note: e.Note, Written: e.Written, WriteId: e.WriteID}
}

// translate converts the errors of package rollout for which package operator has a type. Other
// errors are wrapped and keep their reason.
func translate(err error) error {
	var conflict *rollout.ConflictError
	var missing *rollout.MissingVersionError
	switch {
	case errors.As(err, &conflict):
		return &operator.ConflictError{Base: uint64(conflict.Base), Newest: describe(conflict.Head)}
	case errors.As(err, &missing):
		return &operator.NoSuchVersionError{Version: uint64(missing.Version)}
	}
	return eris.Wrap(err, "configuration history")
}
