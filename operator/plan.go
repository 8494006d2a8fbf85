package operator

import (
	"fmt"

	pb "github.com/springweir/springweir/operator/operatorpb"
	"github.com/springweir/springweir/settings"
)

// planChanges returns the changes that a plan makes to the tree; none if the tree already has these
// values. The error is *NoSuchEndpointError or *PlanError.
func planChanges(tree *settings.Tree, req *pb.PlanRequest) ([]settings.Change, error) {
	e, found := tree.Endpoint(req.Endpoint)
	if !found {
		return nil, &NoSuchEndpointError{Name: req.Endpoint}
	}
	switch req.Kind {
	case pb.PlanKind_PLAN_KIND_DRAIN:
		return settingsChanges(e, keyChange{"drain", formatFlag(e.Drain), "yes"}), nil
	case pb.PlanKind_PLAN_KIND_WITHDRAW:
		return settingsChanges(e, keyChange{"withdrawn", formatFlag(e.Withdrawn), "yes"}), nil
	case pb.PlanKind_PLAN_KIND_UNDRAIN:
		if e.Withdrawn {
			return nil, &PlanError{Endpoint: e.Name, Text: "it is withdrawn for good; edit the tree to take that back"}
		}
		return settingsChanges(e, keyChange{"drain", formatFlag(e.Drain), ""}, keyChange{"replace-by", e.ReplaceBy, ""}), nil
	case pb.PlanKind_PLAN_KIND_REPLACE:
		return replaceChanges(tree, e, req.Replacement)
	}
	return nil, &PlanError{Endpoint: e.Name, Text: "no such kind of plan"}
}

// replaceChanges returns the changes of a replacement. The other rules (same pool and zone, no
// cycle) are checked when the resulting tree is parsed.
func replaceChanges(tree *settings.Tree, e settings.Endpoint, replacement string) ([]settings.Change, error) {
	if _, found := tree.Endpoint(replacement); !found {
		return nil, &NoSuchEndpointError{Name: replacement}
	}
	if e.Leaving() {
		return nil, &PlanError{Endpoint: e.Name, Text: "it is leaving already"}
	}
	return settingsChanges(e, keyChange{"replace-by", e.ReplaceBy, replacement}), nil
}

// keyChange is a key of an endpoint with its current and its desired value; an empty value means
// that the key is unset.
type keyChange struct{ key, current, desired string }

func settingsChanges(e settings.Endpoint, list ...keyChange) []settings.Change {
	var out []settings.Change
	for _, m := range list {
		if m.current == m.desired {
			continue
		}
		c := settings.Change{Section: settings.Section{Kind: settings.EndpointKind, Name: e.Name}, Key: m.key}
		if m.current != "" {
			c.Old = &m.current
		}
		if m.desired != "" {
			c.New = &m.desired
		}
		out = append(out, c)
	}
	return out
}

func formatFlag(flag bool) string {
	if flag {
		return "yes"
	}
	return ""
}

// Reason codes of effects.
const (
	effectBelowFloor = "below-floor"
	effectStreams    = "streams-open"
	effectNotSeen    = "not-seen"
	effectTakesOver  = "takes-over"
)

// planEffects returns the effects of a plan. after is the tree with the plan applied; reported is
// the endpoint's state in the fleet status, or nil.
func planEffects(after *settings.Tree, req *pb.PlanRequest, reported *pb.Endpoint) []*pb.Effect {
	e, _ := after.Endpoint(req.Endpoint)
	var out []*pb.Effect
	if req.Kind == pb.PlanKind_PLAN_KIND_UNDRAIN {
		return out
	}
	if req.Kind == pb.PlanKind_PLAN_KIND_REPLACE {
		out = append(out, &pb.Effect{Reason: effectTakesOver, Text: fmt.Sprintf("%s takes over role and models, then %s drains", req.Replacement, e.Name)})
	}
	if remaining, floor := countRemaining(after, e); e.Leaving() && remaining < floor {
		out = append(out, &pb.Effect{Blocking: true, Reason: effectBelowFloor, Text: fmt.Sprintf("%d endpoints would stay in zone %s, the floor is %d", remaining, e.Zone, floor)})
	}
	switch {
	case reported == nil || !reported.Reachable:
		out = append(out, &pb.Effect{Reason: effectNotSeen, Text: "this controller does not reach the endpoint and cannot tell its streams"})
	case reported.Streams > 0:
		out = append(out, &pb.Effect{Reason: effectStreams, Text: fmt.Sprintf("%d streams finish first", reported.Streams)})
	}
	return out
}

// countRemaining returns the number of endpoints in the same zone and the same pool or service that
// are not leaving, and the floor that applies to them. The floor of a service is one.
func countRemaining(tree *settings.Tree, of settings.Endpoint) (remaining, floor int) {
	floor = 1
	if pool, found := tree.Pool(of.Pool); found {
		floor = pool.ForZone(of.Zone).Roles.Floor
	}
	for _, e := range tree.Endpoints() {
		if e.Pool == of.Pool && e.Service == of.Service && e.Zone == of.Zone && !e.Leaving() {
			remaining++
		}
	}
	return remaining, floor
}
