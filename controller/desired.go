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
	// replaceWeight puts what a replacement lacks before all else.
	replaceWeight = 1e6
	// orderWeight is the weight of the first model of the pool's list while
	// nobody asks for it; the next ones have less.
	orderWeight = 0.01
)

// wants lists the loads that would be useful: what the models' copies ask for,
// and what replacements lack.
func (l *loadPlanner) wants(ctx context.Context, tree *settings.Tree, pool settings.Pool, seen *picture, asked map[weightstore.Artifact]float64) []loads.Load {
	var wants []loads.Load
	for i, name := range pool.ForZone(l.p.c.process.Zone).Models {
		model, found := tree.Model(name)
		if !found {
			continue
		}
		for _, a := range artifactsOfModel(model) {
			weight := asked[a] + orderWeight/float64(i+1)
			wants = append(wants, l.copies(seen, a, model.Copies, weight)...)
		}
	}
	for _, r := range l.p.replacements(tree, seen) {
		for _, a := range r.lacking() {
			wants = append(wants, loads.Load{Engine: r.by.Name, Incarnation: r.by.Incarnation, Artifact: a, Weight: replaceWeight})
		}
	}
	return l.sized(ctx, wants)
}

// artifactsOfModel are the base model and its adapters.
func artifactsOfModel(m settings.Model) []weightstore.Artifact {
	list := []weightstore.Artifact{{Model: m.Name, Version: m.Version}}
	for _, a := range m.Adapters {
		list = append(list, weightstore.Artifact{Model: m.Name, Adapter: a.Name, Version: a.Version})
	}
	return list
}

// copies wants an artifact on as many engines as are short of the copies. An
// adapter goes only where its base model is. Engines with the fewest artifacts
// come first, then by name, so that each round wants the same.
func (l *loadPlanner) copies(seen *picture, a weightstore.Artifact, copies int, weight float64) []loads.Load {
	var without []loads.Load
	have := 0
	counts := map[string]int{}
	for _, e := range seen.fleet.Endpoints {
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

// sized fills in the sizes and leaves out what the store does not describe.
func (l *loadPlanner) sized(ctx context.Context, wants []loads.Load) []loads.Load {
	kept := wants[:0]
	for _, w := range wants {
		size, known := l.sizes[w.Artifact]
		if !known {
			info, err := l.p.c.platform.Weights.Describe(ctx, w.Artifact)
			if err != nil {
				klog.V(1).Infof("controller: %v not described: %v", w.Artifact, err)
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
