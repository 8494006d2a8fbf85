package operator

import (
	"context"
	"errors"
	"fmt"

	"k8s.io/klog/v2"

	pb "github.com/springweir/springweir/operator/operatorpb"
	"github.com/springweir/springweir/settings"
)

// Plan implements operatorpb.Operator. It edits the newest version and retries if another edit is
// committed first.
//
// A plan takes effect at most once: each attempt looks for the write id in the last planMemory
// versions up to its base, and the commit fails if the base is no longer the newest version, so a
// repeat of the plan can't be committed in between.
func (s *Server) Plan(ctx context.Context, req *pb.PlanRequest) (*pb.PlanResponse, error) {
	if err := checkWrite(req.WriteId, req.Author, ""); err != nil && !req.Preview {
		return nil, refuse("plan", err)
	}
	var err error
	for range planAttempts {
		var response *pb.PlanResponse
		response, err = s.planOnce(ctx, req)
		var conflict *ConflictError
		if err == nil {
			return response, nil
		}
		if !errors.As(err, &conflict) {
			break
		}
	}
	return nil, refuse("plan", err)
}

func (s *Server) planOnce(ctx context.Context, req *pb.PlanRequest) (*pb.PlanResponse, error) {
	config, err := s.load(ctx, 0)
	if err != nil {
		return nil, err
	}
	if committed, err := s.findCommitted(ctx, config.Version, req); committed != nil || err != nil {
		return committed, err
	}
	text, response, err := s.prepare(ctx, config, req)
	if err != nil || req.Preview {
		return response, err
	}
	if len(response.Changes) == 0 {
		response.State = s.state(ctx, config.Version)
		return response, nil
	}
	if err := refuseBlocked(req, response.Effects); err != nil {
		return nil, err
	}
	edit := &pb.PutConfigRequest{Base: config.Version, Text: text, Author: req.Author, Note: note(req), WriteId: req.WriteId}
	version, err := s.store.Put(ctx, edit)
	if err != nil {
		return nil, err
	}
	klog.Infof("operator: version %d: %s, by %s", version, edit.Note, req.Author)
	response.State = s.state(ctx, version)
	return response, nil
}

// findCommitted returns the response to a plan that an earlier attempt committed, or nil if there
// is none.
func (s *Server) findCommitted(ctx context.Context, head uint64, req *pb.PlanRequest) (*pb.PlanResponse, error) {
	if req.Preview || head == 0 {
		return nil, nil
	}
	list, err := s.recent(ctx, head, planMemory)
	if err != nil {
		return nil, err
	}
	for _, c := range list {
		if c.WriteId == req.WriteId {
			return &pb.PlanResponse{State: s.state(ctx, c.Version)}, nil
		}
	}
	return nil, nil
}

// prepare returns the tree's text with the plan applied, and a response with its changes and
// effects.
func (s *Server) prepare(ctx context.Context, config *pb.Config, req *pb.PlanRequest) ([]byte, *pb.PlanResponse, error) {
	tree, err := settings.ParseTree("tree", config.Text)
	if err != nil {
		return nil, nil, err
	}
	changes, err := planChanges(tree, req)
	if err != nil {
		return nil, nil, err
	}
	text, err := settings.Apply(config.Text, changes)
	if err != nil {
		return nil, nil, err
	}
	after, err := settings.ParseTree("tree", text)
	if err != nil {
		return nil, nil, err
	}
	response := &pb.PlanResponse{Effects: planEffects(after, req, s.reportedState(ctx, req.Endpoint))}
	for _, c := range changes {
		response.Changes = append(response.Changes, c.String())
	}
	return text, response, nil
}

// reportedState returns the endpoint's state in the fleet status, or nil if it can't be read or the
// endpoint isn't listed.
func (s *Server) reportedState(ctx context.Context, endpoint string) *pb.Endpoint {
	status, err := s.fleet.Status(ctx)
	if err != nil {
		return nil
	}
	for _, e := range status.Endpoints {
		if e.Name == endpoint {
			return e
		}
	}
	return nil
}

func refuseBlocked(req *pb.PlanRequest, effects []*pb.Effect) error {
	for _, e := range effects {
		if e.Blocking && !req.Force {
			return &PlanError{Endpoint: req.Endpoint, Text: e.Text + " (force it if it must be)"}
		}
	}
	return nil
}

var planVerbs = map[pb.PlanKind]string{
	pb.PlanKind_PLAN_KIND_DRAIN:    "drain",
	pb.PlanKind_PLAN_KIND_UNDRAIN:  "undrain",
	pb.PlanKind_PLAN_KIND_REPLACE:  "replace",
	pb.PlanKind_PLAN_KIND_WITHDRAW: "withdraw",
}

func note(req *pb.PlanRequest) string {
	text := fmt.Sprintf("%s %s", planVerbs[req.Kind], req.Endpoint)
	if req.Replacement != "" {
		text += " by " + req.Replacement
	}
	return text
}
