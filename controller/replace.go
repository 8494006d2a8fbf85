package controller

import (
	"context"
	"slices"

	"k8s.io/klog/v2"

	"github.com/springweir/springweir/engine"
	pb "github.com/springweir/springweir/operator/operatorpb"
	"github.com/springweir/springweir/order"
	"github.com/springweir/springweir/peer/viewpb"
	"github.com/springweir/springweir/settings"
	"github.com/springweir/springweir/weightstore"
)

// replaceAuthor is the author of the edits that carry out replacements.
const replaceAuthor = "springweir-controller"

// replacement is an engine and the engine that is to replace it.
type replacement struct{ old, successor *viewpb.EndpointView }

// replacements returns the pending replacements of the pool's engines in this zone.
func (p *poolPlanner) replacements(tree *settings.Tree, zone *zoneSnapshot) []replacement {
	var list []replacement
	for _, e := range tree.Endpoints() {
		if e.Pool != p.pool || e.Zone != p.c.process.Zone || e.ReplaceBy == "" || e.Leaving() {
			continue
		}
		r := replacement{old: zone.endpoint(e.Name), successor: zone.endpoint(e.ReplaceBy)}
		if r.old != nil && r.successor != nil {
			list = append(list, r)
		}
	}
	return list
}

// endpoint returns an endpoint by name, or nil.
func (s *zoneSnapshot) endpoint(name string) *viewpb.EndpointView {
	for _, e := range s.fleet.Endpoints {
		if e.Name == name {
			return e
		}
	}
	return nil
}

// missingArtifacts returns the artifacts of the old engine that the successor has not loaded. There
// are none if the old engine never reported its state.
func (r replacement) missingArtifacts() []weightstore.Artifact {
	var missing []weightstore.Artifact
	have := artifactsOf(r.successor)
	for _, a := range artifactsOf(r.old) {
		if !slices.Contains(have, a) {
			missing = append(missing, a)
		}
	}
	return missing
}

func artifactsOf(e *viewpb.EndpointView) []weightstore.Artifact {
	var list []weightstore.Artifact
	for _, a := range e.Loaded {
		list = append(list, weightstore.Artifact{Model: a.Model, Adapter: a.Adapter, Version: a.Version})
	}
	return list
}

// replaceEngines advances each replacement by one step: first the successor loads the artifacts of
// the old engine (ordered by the load planner), then it takes over the role, and then the old
// engine is drained, which is an edit of the tree like an operator's.
//
// The drain comes last, once the successor itself reports the artifacts and the role, so that the
// pool never loses capacity.
func (p *poolPlanner) replaceEngines(ctx context.Context, tree *settings.Tree, zone *zoneSnapshot) {
	changing := p.enginesChanging()
	for _, r := range p.replacements(tree, zone) {
		switch {
		case !r.successor.Known || r.successor.Leaving || changing[r.successor.Name] || len(r.missingArtifacts()) > 0:
			klog.V(1).Infof("controller: %s is not ready to replace %s", r.successor.Name, r.old.Name)
		case r.old.Known && r.successor.Role != r.old.Role:
			p.takeOverRole(r)
		default:
			p.drainReplaced(ctx, r)
		}
	}
}

func (p *poolPlanner) takeOverRole(r replacement) {
	err := p.executor.Submit(order.Change{Engine: r.successor.Name, Kind: engine.ChangeRole, Role: engine.Role(r.old.Role)})
	if err != nil {
		klog.V(1).Infof("controller: takeover by %s of role %s refused: %v", r.successor.Name, r.old.Role, err)
	}
}

func (p *poolPlanner) drainReplaced(ctx context.Context, r replacement) {
	_, err := p.c.operators.Plan(ctx, &pb.PlanRequest{
		Kind: pb.PlanKind_PLAN_KIND_DRAIN, Endpoint: r.old.Name,
		Author: replaceAuthor, WriteId: writeID(),
	})
	if err != nil {
		klog.Warningf("controller: draining %s, replaced by %s, failed: %v", r.old.Name, r.successor.Name, err)
		return
	}
	klog.Infof("controller: %s has replaced %s, which is draining", r.successor.Name, r.old.Name)
}
