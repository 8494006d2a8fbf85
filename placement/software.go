package placement

import (
	"slices"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/failure"
)

// Engines of different software versions are planned separately, as if they belonged to different
// services: nothing says that one version can use the KV cache that another one has produced.

// bestOfSoftware returns the best option among those of each software version.
func (d *decision) bestOfSoftware(chunks []chunk, tokens int) option {
	bySoftware := groupBySoftware(d.endpoints)
	if len(bySoftware) == 1 {
		return d.best(chunks, tokens)
	}
	var best option
	for _, engines := range bySoftware {
		best = earlier(best, d.among(engines).best(chunks, tokens))
	}
	return best
}

// groupBySoftware returns the endpoints by software version, in the order in which the versions first
// appear.
func groupBySoftware(endpoints []*directory.Endpoint) [][]*directory.Endpoint {
	if allSameSoftware(endpoints) {
		return [][]*directory.Endpoint{endpoints}
	}
	var groups [][]*directory.Endpoint
	for _, e := range endpoints {
		i := slices.IndexFunc(groups, func(g []*directory.Endpoint) bool { return g[0].Software() == e.Software() })
		if i < 0 {
			groups = append(groups, nil)
			i = len(groups) - 1
		}
		groups[i] = append(groups[i], e)
	}
	return groups
}

func allSameSoftware(endpoints []*directory.Endpoint) bool {
	for _, e := range endpoints {
		if e.Software() != endpoints[0].Software() {
			return false
		}
	}
	return true
}

// among returns the decision restricted to some of its endpoints, which run the same software.
func (d *decision) among(endpoints []*directory.Endpoint) *decision {
	restricted := *d
	software := endpoints[0].Software()
	restricted.endpoints, restricted.software = endpoints, &software
	restricted.withRole, restricted.holders = nil, nil
	return &restricted
}

// importers returns the engines that decode and can import a KV cache of another engine.
func (d *decision) importers(from *directory.Endpoint) []*directory.Endpoint {
	engines := d.enginesWithRole(engine.Decode)
	if len(engines) == 0 || allSameSoftware(engines) && engines[0].Software() == from.Software() {
		return engines
	}
	return slices.DeleteFunc(slices.Clone(engines), func(e *directory.Endpoint) bool { return e.Software() != from.Software() })
}

// canImport reports whether an engine can import the KV cache that an earlier attempt produced. If none
// can, the cache is dropped and the serving engine prefills the prompt.
func (d *decision) canImport() bool {
	if len(d.importers(d.prior.Handle.Endpoint)) > 0 {
		return true
	}
	d.prior.Handle, d.prior.Colocated = nil, true
	return false
}

// noneUsable returns the refusal of a request for which the service has no usable endpoint. A stream
// whose software no endpoint runs any more cannot go on.
func (d *decision) noneUsable() *failure.Request {
	if d.prior.Software == nil || slices.ContainsFunc(d.p.directory.Snapshot().Service(d.req.Service), d.prior.Allows) {
		return d.unavailable("no endpoint of the service takes work now")
	}
	d.logRefusal("placement: refused, no endpoint runs the software that began the stream", "request", d.req.ID, "origin", d.req.Origin,
		"service", d.req.Service, "software", d.prior.Software.Version)
	return &failure.Request{
		Code: failure.SoftwareGone, Ran: failure.NotRun, RetryAfter: d.p.tuning.ComeBack,
		Message: "no endpoint runs the software version that began the stream",
	}
}
