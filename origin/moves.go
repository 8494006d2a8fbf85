package origin

import (
	"strings"

	"k8s.io/klog/v2"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/routes"
)

// A stream names no service. Once resumable streams of one path have begun at several services, a stream without a record
// that is taken up at one of them may have begun at another, which is then as good as a further software version.

// routeKey identifies what a route matches.
type routeKey struct{ host, prefix string }

// resumableRoutes returns the routes of a configuration whose streams can be taken up. The configuration may be nil.
func resumableRoutes(c *routes.Config) map[routeKey]*routes.Route {
	list := map[routeKey]*routes.Route{}
	if c == nil {
		return list
	}
	for i := range c.Routes {
		if r := &c.Routes[i]; r.IsResumable() {
			list[routeKey{host: strings.ToLower(r.Host), prefix: r.Prefix}] = r
		}
	}
	return list
}

// lookup returns the resumable route that a configuration, which may be nil, has for what another route matches.
func lookup(c *routes.Config, list map[routeKey]*routes.Route, key routeKey) *routes.Route {
	if r := list[key]; r != nil || c == nil {
		return r
	}
	if r := c.Lookup(key.host, key.prefix); r != nil && r.IsResumable() {
		return r
	}
	return nil
}

// setConfig records between which services resumable streams of one path are divided or have moved.
func (h *history) setConfig(next *routes.Config) {
	before, after := resumableRoutes(h.config), resumableRoutes(next)
	for key, r := range after {
		h.join(lookup(h.config, before, key), r)
	}
	for key, r := range before {
		if after[key] == nil {
			h.join(r, lookup(next, after, key))
		}
	}
	h.config = next
}

// join records that a stream of any service of two routes, which may be nil, may be taken up at each other one.
func (h *history) join(a, b *routes.Route) {
	services := map[string]bool{}
	for _, r := range []*routes.Route{a, b} {
		if r == nil {
			continue
		}
		for _, target := range r.Targets {
			services[target.Service] = true
		}
	}
	for service := range services {
		for other := range services {
			if other != service {
				h.addJoined(service, other)
			}
		}
	}
}

func (h *history) addJoined(service, other string) {
	if h.joined[service] == nil {
		h.joined[service] = map[uint32]bool{}
	}
	hash := softwareHash(directory.Software{Service: other})
	if !h.joined[service][hash] {
		h.joined[service][hash] = true
		klog.InfoS("origin: streams of one service may be taken up at another", "began", other, "takenUp", service)
	}
}
