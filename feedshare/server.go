package feedshare

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/springweir/springweir/feedshare/feedpb"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/table"
)

// maxPeerWait bounds how long a question of another VM waits here.
const maxPeerWait = 10 * time.Second

// server answers the other VMs from the sources of this one. It implements feedpb.Feed.
type server struct{ sources map[string]*Source }

// Handler serves the sources to the other VMs.
func Handler(sources ...*Source) http.Handler {
	s := &server{sources: map[string]*Source{}}
	for _, source := range sources {
		s.sources[source.table] = source
	}
	return feedpb.NewFeedServer(s)
}

// List implements feedpb.Feed.
func (s *server) List(ctx context.Context, r *feedpb.ListRequest) (*feedpb.ListResponse, error) {
	source := s.sources[r.Table]
	if source == nil {
		return nil, twirp.NotFoundError("no such table: " + r.Table)
	}
	rows, at, err := source.cache.list(ctx, r.Table)
	if err != nil {
		return nil, toTwirp(err)
	}
	answer := &feedpb.ListResponse{Version: uint64(at)}
	for _, row := range rows {
		answer.Rows = append(answer.Rows, toPB(row))
	}
	return answer, nil
}

// Changes implements feedpb.Feed.
func (s *server) Changes(ctx context.Context, r *feedpb.ChangesRequest) (*feedpb.ChangesResponse, error) {
	source := s.sources[r.Table]
	if source == nil {
		return nil, twirp.NotFoundError("no such table: " + r.Table)
	}
	ctx, cancel := clock.WithTimeout(ctx, min(time.Duration(r.WaitMs)*time.Millisecond, maxPeerWait))
	defer cancel()
	changes, at, err := source.cache.changes(ctx, r.Table, table.Version(r.After))
	if err != nil {
		return nil, toTwirp(err)
	}
	answer := &feedpb.ChangesResponse{Version: uint64(at)}
	for _, c := range changes {
		answer.Changes = append(answer.Changes, &feedpb.Change{Row: toPB(c.Row), Deleted: c.Deleted, AgeMs: age(c)})
	}
	return answer, nil
}

// age is how long ago a change was made at the most, in whole milliseconds begun, or zero if
// that is not known.
func age(c table.Change) uint32 {
	if c.NotBefore.IsZero() {
		return 0
	}
	return uint32(max(0, clock.Since(c.NotBefore).Milliseconds())) + 1
}

func toPB(row table.Row) *feedpb.Row {
	return &feedpb.Row{Key: row.Key.Row, Version: uint64(row.Version), Value: row.Value}
}

// toTwirp gives an error the code that feed.proto names for it.
func toTwirp(err error) error {
	var gone *table.HistoryGoneError
	var behind *BehindError
	switch {
	case errors.As(err, &gone):
		return twirp.NewError(twirp.OutOfRange, err.Error())
	case errors.As(err, &behind):
		return twirp.NewError(twirp.Aborted, err.Error())
	}
	return twirp.NewError(twirp.FailedPrecondition, err.Error())
}
