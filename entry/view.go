package entry

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/springweir/springweir/caller"
	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/fleet"
	"github.com/springweir/springweir/forward"
	"github.com/springweir/springweir/rollout"
	"github.com/springweir/springweir/settings"
	"github.com/springweir/springweir/settings/tuning"
	"github.com/springweir/springweir/weightstore"
)

// adapterSeparator stands between a model's name and an adapter's in the name
// that callers use: "permit-7b:brabant".
const adapterSeparator = ":"

// view is one version of the operators' tree, prepared for requests of one
// availability zone. It is immutable.
type view struct {
	version rollout.Version
	tree    *settings.Tree
	zone    string
	models  map[string]caller.Model
	names   []string
	// services are the plain services.
	services map[string]caller.Service
	// pools is the pool that serves a base model: the first by name that lists it.
	pools map[string]settings.Pool
	// widest are limits that no model's or service's go beyond.
	widest caller.Limits
}

func newView(v rollout.Version, tree *settings.Tree, zone string) *view {
	w := &view{
		version:  v,
		tree:     tree,
		zone:     zone,
		models:   map[string]caller.Model{},
		services: map[string]caller.Service{},
		pools:    map[string]settings.Pool{},
	}
	for _, pool := range tree.Pools() {
		for _, name := range pool.ForZone(zone).Models {
			w.addModel(pool, name)
		}
	}
	for _, s := range tree.Services() {
		w.addService(s)
	}
	for name := range w.models {
		w.names = append(w.names, name)
	}
	slices.Sort(w.names)
	return w
}

func (w *view) addModel(pool settings.Pool, name string) {
	model, found := w.tree.Model(name)
	if _, taken := w.pools[name]; taken || !found {
		return
	}
	w.pools[name] = pool
	set := pool.ForZone(w.zone)
	base := caller.Model{
		Name: name, Base: name, Version: model.Version, MaxTokens: set.OutputLimit, MaxPrompt: set.PromptLimit,
		Limits: w.limits(set.Deadlines, set.BodyLimit),
	}
	w.models[name] = base
	for _, a := range model.Adapters {
		adapted := base
		adapted.Name = name + adapterSeparator + a.Name
		adapted.Adapter, adapted.Version = a.Name, a.Version
		w.models[adapted.Name] = adapted
	}
}

func (w *view) addService(s settings.Service) {
	set := s.ForZone(w.zone)
	w.services[s.Name] = caller.Service{
		Name: s.Name, Repeatable: set.Repeatable,
		Limits: w.limits(set.Deadlines, set.BodyLimit),
	}
}

// limits returns the limits of a pool or service, and widens w.widest to them.
func (w *view) limits(d settings.Deadlines, body int64) caller.Limits {
	w.widest.MaxBody = max(w.widest.MaxBody, body)
	w.widest.MaxDeadline = max(w.widest.MaxDeadline, d.Limit)
	return caller.Limits{MaxBody: body, Deadlines: tuning.Deadlines(d), MaxDeadline: d.Limit}
}

// endpoints returns the zone's endpoints.
func (w *view) endpoints() []settings.Endpoint {
	var own []settings.Endpoint
	for _, e := range w.tree.Endpoints() {
		if e.Zone == w.zone {
			own = append(own, e)
		}
	}
	return own
}

// catalogue is what callers may ask for, by the newest view. It implements
// caller.Organisations and caller.Catalogue.
type catalogue struct {
	current atomic.Pointer[view]
	store   *fleet.Store
}

// Organisation implements caller.Organisations.
func (c *catalogue) Organisation(apiKey string) (caller.Organisation, bool) {
	w := c.current.Load()
	if w == nil {
		return caller.Organisation{}, false
	}
	org, found := w.tree.OrganisationOf(apiKey)
	return caller.Organisation{
		Name: org.Name, Models: org.Models, Services: org.Services,
		Priority: tuning.Priority(org.Priority), PriorityLimit: tuning.Priority(org.PriorityLimit),
	}, found
}

// organisation returns an organisation's settings, by name.
func (c *catalogue) organisation(name string) (settings.Organisation, bool) {
	w := c.current.Load()
	if w == nil {
		return settings.Organisation{}, false
	}
	return w.tree.Organisation(name)
}

// poolOf returns the name of the pool that serves a base model, or "".
func (c *catalogue) poolOf(model string) string {
	w := c.current.Load()
	if w == nil {
		return ""
	}
	return w.pools[model].Name
}

// Models implements caller.Catalogue.
func (c *catalogue) Models() []caller.Model {
	w := c.current.Load()
	if w == nil {
		return nil
	}
	models := make([]caller.Model, 0, len(w.names))
	for _, name := range w.names {
		models = append(models, w.models[name])
	}
	return models
}

// Model implements caller.Catalogue. While no engine of the zone has the version
// that the tree names (its load takes a while), any version that one has will do.
func (c *catalogue) Model(name string) (caller.Model, bool) {
	w := c.current.Load()
	if w == nil {
		return caller.Model{}, false
	}
	m, found := w.models[name]
	a := weightstore.Artifact{Model: m.Base, Adapter: m.Adapter, Version: m.Version}
	if found && !c.served(a) && c.served(weightstore.Artifact{Model: m.Base, Adapter: m.Adapter}) {
		m.Version = ""
	}
	return m, found
}

// served tells whether an engine of the zone can answer with a.
func (c *catalogue) served(a weightstore.Artifact) bool {
	s := c.store.Snapshot()
	return len(s.Engines(a, engine.Mixed)) > 0 || len(s.Engines(a, engine.Decode)) > 0
}

// wanted is what the tree says should be loaded for w.
func (c *catalogue) wanted(w *forward.Work) weightstore.Artifact {
	a := weightstore.Artifact{Model: w.Model, Adapter: w.Adapter, Version: w.Version}
	if v := c.current.Load(); v != nil && a.Version == "" {
		a.Version = v.models[w.ModelName].Version
	}
	return a
}

// Service implements caller.Catalogue.
func (c *catalogue) Service(name string) (caller.Service, bool) {
	w := c.current.Load()
	if w == nil {
		return caller.Service{}, false
	}
	s, found := w.services[name]
	return s, found
}

// retention is how long answers to calls of a service are kept, or zero.
func (c *catalogue) retention(service string) time.Duration {
	w := c.current.Load()
	if w == nil {
		return 0
	}
	s, _ := w.tree.Service(service)
	return s.ForZone(w.zone).ClaimRetention
}
