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

// maxQueryWait bounds the wait that a peer's query may request.
const maxQueryWait = 10 * time.Second

// server serves this VM's sources to other VMs. It implements feedpb.Feed.
type server struct{ sources map[string]*Source }

// Handler returns the HTTP handler that serves the sources to other VMs.
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
	rows, version, err := source.cache.list(ctx, r.Table)
	if err != nil {
		return nil, twirpError(err)
	}
	response := &feedpb.ListResponse{Version: uint64(version)}
	for _, row := range rows {
		response.Rows = append(response.Rows, rowToProto(row))
	}
	return response, nil
}

// Changes implements feedpb.Feed.
func (s *server) Changes(ctx context.Context, r *feedpb.ChangesRequest) (*feedpb.ChangesResponse, error) {
	source := s.sources[r.Table]
	if source == nil {
		return nil, twirp.NotFoundError("no such table: " + r.Table)
	}
	ctx, cancel := clock.WithTimeout(ctx, min(time.Duration(r.WaitMs)*time.Millisecond, maxQueryWait))
	defer cancel()
	changes, version, err := source.cache.changes(ctx, r.Table, table.Version(r.After))
	if err != nil {
		return nil, twirpError(err)
	}
	response := &feedpb.ChangesResponse{Version: uint64(version)}
	for _, c := range changes {
		response.Changes = append(response.Changes, &feedpb.Change{Row: rowToProto(c.Row), Deleted: c.Deleted, AgeMs: ageMillis(c)})
	}
	return response, nil
}

// ageMillis returns the greatest possible age of a change in milliseconds, rounded up, or zero if
// it is unknown.
func ageMillis(c table.Change) uint32 {
	if c.NotBefore.IsZero() {
		return 0
	}
	return uint32(max(0, clock.Since(c.NotBefore).Milliseconds())) + 1
}

func rowToProto(row table.Row) *feedpb.Row {
	return &feedpb.Row{Key: row.Key.Row, Version: uint64(row.Version), Value: row.Value}
}

// twirpError converts an error to the twirp code that feed.proto documents for it.
func twirpError(err error) error {
	var historyGone *table.HistoryGoneError
	var behind *BehindError
	switch {
	case errors.As(err, &historyGone):
		return twirp.NewError(twirp.OutOfRange, err.Error())
	case errors.As(err, &behind):
		return twirp.NewError(twirp.Aborted, err.Error())
	}
	return twirp.NewError(twirp.FailedPrecondition, err.Error())
}
