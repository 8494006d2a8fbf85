package feedshare

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

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
	mux := http.NewServeMux()
	mux.Handle("/", feedpb.NewFeedServer(s))
	mux.HandleFunc("POST "+feedpb.FeedPathPrefix+"List", s.serveList)
	return mux
}

// maxListRequest bounds the size of a query for a whole table, in bytes.
const maxListRequest = 4096

// serveList serves List as the twirp server would, with rows that are encoded once for all queries.
func (s *server) serveList(w http.ResponseWriter, r *http.Request) {
	var request feedpb.ListRequest
	body, err := io.ReadAll(io.LimitReader(r.Body, maxListRequest))
	if err == nil {
		err = proto.Unmarshal(body, &request)
	}
	if err != nil {
		writeError(w, twirp.NewError(twirp.Malformed, err.Error()))
		return
	}
	source := s.sources[request.Table]
	if source == nil {
		writeError(w, noSuchTable(request.Table))
		return
	}
	rows, version, err := source.cache.encodedList(r.Context(), request.Table)
	if err != nil {
		writeError(w, twirpError(err))
		return
	}
	encodedVersion, err := encodeVersion(version)
	if err != nil {
		writeError(w, twirpError(err))
		return
	}
	if err := writeList(w, rows, encodedVersion); err != nil {
		klog.V(1).InfoS("feedshare: the VM that asked for a table has gone", "table", request.Table, "err", err)
	}
}

// writeList writes a response whose fields are encoded apart. Encoded fields that follow each other
// are one message; rows are not copied for it.
func writeList(w http.ResponseWriter, rows, version []byte) error {
	w.Header().Set("Content-Type", "application/protobuf")
	w.Header().Set("Content-Length", strconv.Itoa(len(rows)+len(version)))
	if _, err := w.Write(rows); err != nil {
		return err
	}
	_, err := w.Write(version)
	return err
}

func writeError(w http.ResponseWriter, err twirp.Error) {
	if writeErr := twirp.WriteError(w, err); writeErr != nil {
		klog.V(1).InfoS("feedshare: the VM that asked has gone", "err", writeErr)
	}
}

func noSuchTable(name string) twirp.Error { return twirp.NotFoundError("no such table: " + name) }

// encodeRows encodes the rows of a response to a query for a whole table.
func encodeRows(rows map[string]table.Row) ([]byte, error) {
	response := &feedpb.ListResponse{}
	for _, row := range rows {
		response.Rows = append(response.Rows, rowToProto(row))
	}
	return proto.Marshal(response)
}

// encodeVersion encodes the version of a response to a query for a whole table.
func encodeVersion(version table.Version) ([]byte, error) {
	return proto.Marshal(&feedpb.ListResponse{Version: uint64(version)})
}

// List implements feedpb.Feed. Handler routes the queries to serveList instead.
func (s *server) List(ctx context.Context, r *feedpb.ListRequest) (*feedpb.ListResponse, error) {
	source := s.sources[r.Table]
	if source == nil {
		return nil, noSuchTable(r.Table)
	}
	rows, version, err := source.cache.encodedList(ctx, r.Table)
	if err != nil {
		return nil, twirpError(err)
	}
	response := &feedpb.ListResponse{}
	err = proto.Unmarshal(rows, response)
	response.Version = uint64(version)
	return response, err
}

// Changes implements feedpb.Feed.
func (s *server) Changes(ctx context.Context, r *feedpb.ChangesRequest) (*feedpb.ChangesResponse, error) {
	source := s.sources[r.Table]
	if source == nil {
		return nil, noSuchTable(r.Table)
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
func twirpError(err error) twirp.Error {
	var historyGone *table.HistoryGoneError
	var behind *BehindError
	var notReadYet *NotReadYetError
	switch {
	case errors.As(err, &notReadYet):
		return twirp.NewError(twirp.Unavailable, err.Error())
	case errors.As(err, &historyGone):
		return twirp.NewError(twirp.OutOfRange, err.Error())
	case errors.As(err, &behind):
		return twirp.NewError(twirp.Aborted, err.Error())
	}
	return twirp.NewError(twirp.FailedPrecondition, err.Error())
}
