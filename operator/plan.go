package operator

import (
	"fmt"

	pb "github.com/springweir/springweir/operator/operatorpb"
	"github.com/springweir/springweir/settings"
)

// planChanges returns the keys that a plan sets in the tree; none when the tree
// says so already. The error is *NoSuchEndpointError or *PlanError.
func planChanges(tree *settings.Tree, req *pb.PlanRequest) ([]settings.Change, error) {
	e, found := tree.Endpoint(req.Endpoint)
	if !found {
		return nil, &NoSuchEndpointError{Name: req.Endpoint}
	}
	switch req.Kind {
	case pb.PlanKind_PLAN_KIND_DRAIN:
		return marks(e, mark{"drain", yes(e.Drain), "yes"}), nil
	case pb.PlanKind_PLAN_KIND_WITHDRAW:
		return marks(e, mark{"withdrawn", yes(e.Withdrawn), "yes"}), nil
	case pb.PlanKind_PLAN_KIND_UNDRAIN:
		if e.Withdrawn {
			return nil, &PlanError{Endpoint: e.Name, Text: "it is withdrawn for good; edit the tree to take that back"}
		}
		return marks(e, mark{"drain", yes(e.Drain), ""}, mark{"replace-by", e.ReplaceBy, ""}), nil
	case pb.PlanKind_PLAN_KIND_REPLACE:
		return replaceChanges(tree, e, req.Replacement)
	}
	return nil, &PlanError{Endpoint: e.Name, Text: "no such kind of plan"}
}

// replaceChanges leaves the finer checks (same pool and zone, no cycle) to the
// check of the resulting tree.
func replaceChanges(tree *settings.Tree, e settings.Endpoint, by string) ([]settings.Change, error) {
	if _, found := tree.Endpoint(by); !found {
		return nil, &NoSuchEndpointError{Name: by}
	}
	if e.Leaving() {
		return nil, &PlanError{Endpoint: e.Name, Text: "it is leaving already"}
	}
	return marks(e, mark{"replace-by", e.ReplaceBy, by}), nil
}

// mark is a key of an endpoint with its value now and as wanted; empty is unset.
type mark struct{ key, now, want string }

func marks(e settings.Endpoint, list ...mark) []settings.Change {
	var out []settings.Change
	for _, m := range list {
		if m.now == m.want {
			continue
		}
		c := settings.Change{Section: settings.Section{Kind: settings.EndpointKind, Name: e.Name}, Key: m.key}
		if m.now != "" {
			c.Old = &m.now
		}
		if m.want != "" {
			c.New = &m.want
		}
		out = append(out, c)
	}
	return out
}

func yes(flag bool) string {
	if flag {
		return "yes"
	}
	return ""
}

// Reasons of effects.
const (
	effectBelowFloor = "below-floor"
	effectStreams    = "streams-open"
	effectNotSeen    = "not-seen"
	effectTakeOver   = "takes-over"
)

// planEffects tells what follows from a plan. after is the tree with the plan
// in it; seen is what the fleet knows of the endpoint, or nil.
func planEffects(after *settings.Tree, req *pb.PlanRequest, seen *pb.Endpoint) []*pb.Effect {
	e, _ := after.Endpoint(req.Endpoint)
	var out []*pb.Effect
	if req.Kind == pb.PlanKind_PLAN_KIND_UNDRAIN {
		return out
	}
	if req.Kind == pb.PlanKind_PLAN_KIND_REPLACE {
		out = append(out, &pb.Effect{Reason: effectTakeOver, Text: fmt.Sprintf("%s takes over role and models, then %s drains", req.Replacement, e.Name)})
	}
	if left, floor := staying(after, e); e.Leaving() && left < floor {
		out = append(out, &pb.Effect{Blocking: true, Reason: effectBelowFloor, Text: fmt.Sprintf("%d endpoints would stay in zone %s, the floor is %d", left, e.Zone, floor)})
	}
	switch {
	case seen == nil || !seen.Reachable:
		out = append(out, &pb.Effect{Reason: effectNotSeen, Text: "this controller does not reach the endpoint and cannot tell its streams"})
	case seen.Streams > 0:
		out = append(out, &pb.Effect{Reason: effectStreams, Text: fmt.Sprintf("%d streams finish first", seen.Streams)})
	}
	return out
}

// staying counts the endpoints of the same pool or service and zone that do
// not leave, and the floor there. A service keeps at least one.
func staying(tree *settings.Tree, of settings.Endpoint) (left, floor int) {
	floor = 1
	if pool, found := tree.Pool(of.Pool); found {
		floor = pool.ForZone(of.Zone).Roles.Floor
	}
	for _, e := range tree.Endpoints() {
		if e.Pool == of.Pool && e.Service == of.Service && e.Zone == of.Zone && !e.Leaving() {
			left++
		}
	}
	return left, floor
}
