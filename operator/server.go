package operator

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"unicode"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/springweir/springweir/failure"
	pb "github.com/springweir/springweir/operator/operatorpb"
	"github.com/springweir/springweir/settings"
)

// Limits of a call.
const (
	// maxBody bounds a request body in bytes; a settings tree of the target size has 0.7 MB.
	maxBody = 8 << 20
	// defaultHistory and maxHistory are the default and the maximum number of versions in a
	// History response.
	defaultHistory = 20
	maxHistory     = 200
	// maxNote bounds a write id, an author and a note, each in bytes.
	maxNote = 400
	// planAttempts bounds the attempts of a plan that conflicts with other edits.
	planAttempts = 5
	// planMemory is the number of newest versions that are searched for a repeated plan.
	planMemory = 20
)

// Server implements the operator API in a controller. It is safe for concurrent use.
type Server struct {
	store ConfigStore
	fleet Fleet
}

// NewServer returns a server that uses the given configuration history and fleet.
func NewServer(store ConfigStore, fleet Fleet) *Server {
	return &Server{store: store, fleet: fleet}
}

// Handler returns an HTTP handler that serves the operator API under its twirp paths.
func (s *Server) Handler() http.Handler {
	api := pb.NewOperatorServer(s)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxBody)
		api.ServeHTTP(w, r)
	})
}

// refuse counts and logs a failure and converts it to a twirp error.
func refuse(call string, err error) error {
	reason := failure.ReasonOf(err)
	metrics.GetOrCreateCounter(fmt.Sprintf(`springweir_operator_refusals_total{call=%q,reason=%q}`, call, reason)).Inc()
	klog.V(1).Infof("operator: %s refused: %v", call, err)
	return toTwirp(err)
}

// GetConfig implements operatorpb.Operator.
func (s *Server) GetConfig(ctx context.Context, req *pb.GetConfigRequest) (*pb.Config, error) {
	config, err := s.load(ctx, req.Version)
	if err != nil {
		return nil, refuse("get-config", err)
	}
	return config, nil
}

// load reads a version; zero selects the newest. Before the first version, it returns an empty
// Config.
func (s *Server) load(ctx context.Context, version uint64) (*pb.Config, error) {
	if version == 0 {
		head, err := s.store.Head(ctx)
		if err != nil {
			return nil, eris.Wrap(err, "read newest version")
		}
		if head == 0 {
			return &pb.Config{}, nil
		}
		version = head
	}
	config, err := s.store.Load(ctx, version)
	if err != nil {
		return nil, eris.Wrapf(err, "read version %d", version)
	}
	return config, nil
}

// checkWrite validates the texts that are stored in the history and shown on terminals. They must
// be short and printable; only the write id is required.
func checkWrite(writeID, author, note string) error {
	if writeID == "" {
		return &RequestError{Text: "a change needs a write id"}
	}
	for _, text := range []string{writeID, author, note} {
		if len(text) > maxNote || strings.ContainsFunc(text, func(r rune) bool { return !unicode.IsPrint(r) }) {
			return &RequestError{Text: fmt.Sprintf("write id, author and note: want at most %d printable characters", maxNote)}
		}
	}
	return nil
}

// PutConfig implements operatorpb.Operator.
func (s *Server) PutConfig(ctx context.Context, req *pb.PutConfigRequest) (*pb.PutConfigResponse, error) {
	if err := checkWrite(req.WriteId, req.Author, req.Note); err != nil {
		return nil, refuse("put-config", err)
	}
	if _, err := settings.ParseTree("tree", req.Text); err != nil {
		return nil, refuse("put-config", err)
	}
	version, err := s.store.Put(ctx, req)
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		metrics.GetOrCreateCounter(`springweir_operator_refusals_total{call="put-config",reason="config-conflict"}`).Inc()
		return &pb.PutConfigResponse{Newest: conflict.Newest}, nil
	}
	if err != nil {
		return nil, refuse("put-config", eris.Wrap(err, "commit configuration"))
	}
	klog.Infof("operator: version %d committed by %s", version, req.Author)
	return &pb.PutConfigResponse{Committed: true, State: s.state(ctx, version)}, nil
}

// state returns the rollout state of a committed version. If it can't be read, state returns
// ConfirmationUnknown instead of an error, so that a committed edit isn't reported as failed.
func (s *Server) state(ctx context.Context, version uint64) *pb.ConfigState {
	state, err := s.store.State(ctx, version)
	if err != nil {
		return &pb.ConfigState{Version: version, ConfirmationUnknown: true}
	}
	return state
}

// ConfigStatus implements operatorpb.Operator.
func (s *Server) ConfigStatus(ctx context.Context, req *pb.ConfigStatusRequest) (*pb.ConfigState, error) {
	version := req.Version
	if version == 0 {
		head, err := s.store.Head(ctx)
		if err != nil {
			return nil, refuse("config-status", eris.Wrap(err, "read newest version"))
		}
		version = head
	}
	if version == 0 {
		return &pb.ConfigState{}, nil
	}
	state, err := s.store.State(ctx, version)
	if err != nil {
		return nil, refuse("config-status", eris.Wrapf(err, "read state of version %d", version))
	}
	return state, nil
}

// History implements operatorpb.Operator.
func (s *Server) History(ctx context.Context, req *pb.HistoryRequest) (*pb.HistoryResponse, error) {
	limit := int(req.Limit)
	if limit == 0 {
		limit = defaultHistory
	}
	if limit > maxHistory {
		return nil, refuse("history", &RequestError{Text: fmt.Sprintf("at most %d versions at once", maxHistory)})
	}
	before := req.Before
	if before == 0 {
		head, err := s.store.Head(ctx)
		if err != nil {
			return nil, refuse("history", eris.Wrap(err, "read newest version"))
		}
		before = head + 1
	}
	list, err := s.recent(ctx, before-1, limit)
	if err != nil {
		return nil, refuse("history", err)
	}
	slices.Reverse(list)
	return &pb.HistoryResponse{Versions: list}, nil
}

// recent lists up to limit versions that end with last, oldest first.
func (s *Server) recent(ctx context.Context, last uint64, limit int) ([]*pb.Config, error) {
	after := last - min(last, uint64(limit))
	list, err := s.store.History(ctx, after, int(last-after))
	if err != nil {
		return nil, eris.Wrap(err, "read history")
	}
	return slices.DeleteFunc(list, func(c *pb.Config) bool { return c.Version > last }), nil
}

// Status implements operatorpb.Operator.
func (s *Server) Status(ctx context.Context, _ *pb.StatusRequest) (*pb.FleetStatus, error) {
	status, err := s.fleet.Status(ctx)
	if err != nil {
		return nil, refuse("status", err)
	}
	return status, nil
}
