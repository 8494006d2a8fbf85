package controller

import (
	"context"
	"slices"

	"k8s.io/klog/v2"

	"github.com/springweir/springweir/loads"
	"github.com/springweir/springweir/settings"
	"github.com/springweir/springweir/weightstore"
)

const (
	// replacementWeight ranks the artifacts that a replacement is missing above all other loads.
	replacementWeight = 1e6
	// listOrderWeight is the weight of the first model of the pool's list without any demand. Later
	// models have lower weights.
	listOrderWeight = 0.01
)

// desiredLoads returns the loads that are needed to reach the configured copies of the models, and
// those that replacements are missing.
func (l *loadPlanner) desiredLoads(ctx context.Context, tree *settings.Tree, pool settings.Pool, zone *zoneSnapshot, rates map[weightstore.Artifact]float64) []loads.Load {
	var desired []loads.Load
	for i, name := range pool.ForZone(l.p.c.process.Zone).Models {
		model, found := tree.Model(name)
		if !found {
			continue
		}
		for _, a := range artifactsOfModel(model) {
			weight := rates[a] + listOrderWeight/float64(i+1)
			desired = append(desired, l.missingCopies(zone, a, model.Copies, weight)...)
		}
	}
	for _, r := range l.p.replacements(tree, zone) {
		for _, a := range r.missingArtifacts() {
			desired = append(desired, loads.Load{Engine: r.successor.Name, Incarnation: r.successor.Incarnation, Artifact: a, Weight: replacementWeight})
		}
	}
	return l.withSizes(ctx, desired)
}

// artifactsOfModel returns the base model and its adapters.
func artifactsOfModel(m settings.Model) []weightstore.Artifact {
	list := []weightstore.Artifact{{Model: m.Name, Version: m.Version}}
	for _, a := range m.Adapters {
		list = append(list, weightstore.Artifact{Model: m.Name, Adapter: a.Name, Version: a.Version})
	}
	return list
}

// missingCopies returns loads of an artifact on as many engines as are missing to reach the number
// of copies. An adapter is loaded only on engines that have its base model. Engines with the fewest
// artifacts come first, then by name, so that every round selects the same engines.
func (l *loadPlanner) missingCopies(zone *zoneSnapshot, a weightstore.Artifact, copies int, weight float64) []loads.Load {
	var without []loads.Load
	have := 0
	counts := map[string]int{}
	for _, e := range zone.fleet.Endpoints {
		if e.Pool != l.p.pool || !e.Known || e.Leaving {
			continue
		}
		loaded := artifactsOf(e)
		counts[e.Name] = len(loaded)
		switch {
		case slices.Contains(loaded, a):
			have++
		case a.Adapter == "" || hasBase(loaded, a.Model):
			without = append(without, loads.Load{Engine: e.Name, Incarnation: e.Incarnation, Artifact: a, Weight: weight})
		}
	}
	slices.SortStableFunc(without, func(x, y loads.Load) int { return counts[x.Engine] - counts[y.Engine] })
	return without[:max(0, min(len(without), copies-have))]
}

func hasBase(loaded []weightstore.Artifact, model string) bool {
	return slices.ContainsFunc(loaded, func(a weightstore.Artifact) bool { return a.Model == model && a.Adapter == "" })
}

// withSizes sets the sizes of the loads and drops loads that the store cannot describe.
func (l *loadPlanner) withSizes(ctx context.Context, desired []loads.Load) []loads.Load {
	kept := desired[:0]
	for _, w := range desired {
		size, known := l.sizes[w.Artifact]
		if !known {
			info, err := l.p.c.platform.Weights.Describe(ctx, w.Artifact)
			if err != nil {
				klog.V(1).Infof("controller: describing %v failed: %v", w.Artifact, err)
				continue
			}
			size = info.Bytes
			l.sizes[w.Artifact] = size
		}
		w.Bytes = size
		kept = append(kept, w)
	}
	return kept
}
