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

// adapterSeparator separates the model's name from the adapter's in the names that callers
// use: "permit-7b:brabant".
const adapterSeparator = ":"

// configView is one version of the operators' settings tree, prepared for the requests of
// one availability zone. It is immutable.
type configView struct {
	version rollout.Version
	tree    *settings.Tree
	zone    string
	models  map[string]caller.Model
	names   []string
	// services holds the plain services.
	services map[string]caller.Service
	// pools maps a base model to the pool that serves it: the first pool by name that lists
	// it.
	pools map[string]settings.Pool
	// maxLimits holds the maximum of each limit over all models and services.
	maxLimits caller.Limits
}

func newConfigView(version rollout.Version, tree *settings.Tree, zone string) *configView {
	view := &configView{
		version:  version,
		tree:     tree,
		zone:     zone,
		models:   map[string]caller.Model{},
		services: map[string]caller.Service{},
		pools:    map[string]settings.Pool{},
	}
	for _, pool := range tree.Pools() {
		for _, name := range pool.ForZone(zone).Models {
			view.addModel(pool, name)
		}
	}
	for _, s := range tree.Services() {
		view.addService(s)
	}
	for name := range view.models {
		view.names = append(view.names, name)
	}
	slices.Sort(view.names)
	return view
}

func (v *configView) addModel(pool settings.Pool, name string) {
	model, found := v.tree.Model(name)
	if _, assigned := v.pools[name]; assigned || !found {
		return
	}
	v.pools[name] = pool
	zoneSettings := pool.ForZone(v.zone)
	base := caller.Model{
		Name: name, Base: name, Version: model.Version, MaxTokens: zoneSettings.OutputLimit, MaxPrompt: zoneSettings.PromptLimit,
		Limits: v.limits(zoneSettings.Deadlines, zoneSettings.BodyLimit),
	}
	v.models[name] = base
	for _, a := range model.Adapters {
		adapted := base
		adapted.Name = name + adapterSeparator + a.Name
		adapted.Adapter, adapted.Version = a.Name, a.Version
		v.models[adapted.Name] = adapted
	}
}

func (v *configView) addService(s settings.Service) {
	zoneSettings := s.ForZone(v.zone)
	v.services[s.Name] = caller.Service{
		Name: s.Name, Repeatable: zoneSettings.Repeatable,
		Limits: v.limits(zoneSettings.Deadlines, zoneSettings.BodyLimit),
	}
}

// limits returns the limits of a pool or service, and raises v.maxLimits to them.
func (v *configView) limits(d settings.Deadlines, body int64) caller.Limits {
	v.maxLimits.MaxBody = max(v.maxLimits.MaxBody, body)
	v.maxLimits.MaxDeadline = max(v.maxLimits.MaxDeadline, d.Limit)
	return caller.Limits{MaxBody: body, Deadlines: tuning.Deadlines(d), MaxDeadline: d.Limit}
}

// endpoints returns the zone's endpoints.
func (v *configView) endpoints() []settings.Endpoint {
	var local []settings.Endpoint
	for _, e := range v.tree.Endpoints() {
		if e.Zone == v.zone {
			local = append(local, e)
		}
	}
	return local
}

// catalogue provides the organisations, models and services of the newest view. It
// implements caller.Organisations and caller.Catalogue.
type catalogue struct {
	current atomic.Pointer[configView]
	store   *fleet.Store
}

// Organisation implements caller.Organisations.
func (c *catalogue) Organisation(apiKey string) (caller.Organisation, bool) {
	v := c.current.Load()
	if v == nil {
		return caller.Organisation{}, false
	}
	org, found := v.tree.OrganisationOf(apiKey)
	return caller.Organisation{
		Name: org.Name, Models: org.Models, Services: org.Services,
		Priority: tuning.Priority(org.Priority), PriorityLimit: tuning.Priority(org.PriorityLimit),
	}, found
}

// organisation returns an organisation's settings, by name.
func (c *catalogue) organisation(name string) (settings.Organisation, bool) {
	v := c.current.Load()
	if v == nil {
		return settings.Organisation{}, false
	}
	return v.tree.Organisation(name)
}

// poolOf returns the name of the pool that serves a base model, or "".
func (c *catalogue) poolOf(model string) string {
	v := c.current.Load()
	if v == nil {
		return ""
	}
	return v.pools[model].Name
}

// Models implements caller.Catalogue.
func (c *catalogue) Models() []caller.Model {
	v := c.current.Load()
	if v == nil {
		return nil
	}
	models := make([]caller.Model, 0, len(v.names))
	for _, name := range v.names {
		models = append(models, v.models[name])
	}
	return models
}

// Model implements caller.Catalogue. While no engine of the zone has loaded the version
// that the tree names, any loaded version is accepted.
func (c *catalogue) Model(name string) (caller.Model, bool) {
	v := c.current.Load()
	if v == nil {
		return caller.Model{}, false
	}
	m, found := v.models[name]
	a := weightstore.Artifact{Model: m.Base, Adapter: m.Adapter, Version: m.Version}
	if found && !c.hasEngine(a) && c.hasEngine(weightstore.Artifact{Model: m.Base, Adapter: m.Adapter}) {
		m.Version = ""
	}
	return m, found
}

// hasEngine reports whether an engine of the zone can generate with a.
func (c *catalogue) hasEngine(a weightstore.Artifact) bool {
	s := c.store.Snapshot()
	return len(s.Engines(a, engine.Mixed)) > 0 || len(s.Engines(a, engine.Decode)) > 0
}

// requiredArtifact returns the artifact that, according to the tree, should be loaded for
// w.
func (c *catalogue) requiredArtifact(w *forward.Work) weightstore.Artifact {
	a := weightstore.Artifact{Model: w.Model, Adapter: w.Adapter, Version: w.Version}
	if v := c.current.Load(); v != nil && a.Version == "" {
		a.Version = v.models[w.ModelName].Version
	}
	return a
}

// Service implements caller.Catalogue.
func (c *catalogue) Service(name string) (caller.Service, bool) {
	v := c.current.Load()
	if v == nil {
		return caller.Service{}, false
	}
	s, found := v.services[name]
	return s, found
}

// claimRetention returns how long responses to calls of a service are kept, or zero.
func (c *catalogue) claimRetention(service string) time.Duration {
	v := c.current.Load()
	if v == nil {
		return 0
	}
	s, _ := v.tree.Service(service)
	return s.ForZone(v.zone).ClaimRetention
}
