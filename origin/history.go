package origin

import (
	"maps"
	"slices"
	"time"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/routes"
)

// history records which software versions of each service were registered when. It is not safe for
// concurrent use.
type history struct {
	// listedAt is when all endpoints were first known, and currentSince since when this VM receives their
	// changes; zero before that.
	listedAt, currentSince time.Time
	services               map[string]map[string]*sighting
	// config is the newest configuration, or nil. joined holds for each service hashes of the others that may have begun
	// a stream which is taken up there.
	config *routes.Config
	joined map[string]map[uint32]bool
}

// sighting states when endpoints of a software version were registered.
type sighting struct {
	endpoints int
	lastAt    time.Time
}

func newHistory() *history {
	return &history{services: map[string]map[string]*sighting{}, joined: map[string]map[uint32]bool{}}
}

// apply records the changes of a snapshot.
func (h *history) apply(now time.Time, changes []directory.Change) {
	for _, c := range changes {
		if c.Old != nil {
			h.record(now, c.Old.Software(), -1)
		}
		if c.New != nil {
			h.record(now, c.New.Software(), 1)
		}
	}
}

// record adds n endpoints of a software version.
func (h *history) record(now time.Time, s directory.Software, n int) {
	versions := h.services[s.Service]
	if versions == nil {
		versions = map[string]*sighting{}
		h.services[s.Service] = versions
	}
	seen := versions[s.Version]
	if seen == nil {
		seen = &sighting{}
		versions[s.Version] = seen
	}
	seen.endpoints += n
	seen.lastAt = now
}

// setCurrent records whether this VM receives changes of the endpoints.
func (h *history) setCurrent(now time.Time, current bool) {
	switch {
	case !current:
		h.currentSince = time.Time{}
	case h.currentSince.IsZero():
		h.currentSince = now
	}
	if current && h.listedAt.IsZero() {
		h.listedAt = now
	}
}

// view is what a VM knows about the software of a service.
type view struct {
	// versions are the hashes of the versions that may have begun a stream, sorted: those of which an endpoint was
	// registered within the window, those that the service is registered to have had, and one for each joined service.
	versions []uint32
	// covered is set if there can have been no other version.
	covered bool
	// current is set if the VM receives changes of the endpoints.
	current bool
}

// hasOneVersion reports whether the service is known to have had a single version.
func (v view) hasOneVersion() bool { return v.covered && v.current && len(v.versions) == 1 }

// isOnly reports whether the service is known to have had only the version with a hash.
func (v view) isOnly(software uint32) bool { return v.hasOneVersion() && v.versions[0] == software }

// view returns what this VM has seen of a service's software over a window until now; the window is zero if it is not
// known. It forgets the versions that disappeared before the window.
func (h *history) view(now time.Time, service string, window time.Duration) view {
	v := view{current: !h.currentSince.IsZero(), covered: window > 0 && !h.listedAt.IsZero() && now.Sub(h.listedAt) >= window}
	for version, seen := range h.services[service] {
		if seen.endpoints <= 0 && window > 0 && now.Sub(seen.lastAt) > window {
			delete(h.services[service], version)
			continue
		}
		hash := softwareHash(directory.Software{Service: service, Version: version})
		v.versions = append(v.versions, hash)
	}
	v.versions = slices.AppendSeq(v.versions, maps.Keys(h.joined[service]))
	slices.Sort(v.versions)
	return v
}

// with adds what the service is registered to have had. If that is not known, nothing is certain.
func (v view) with(r registration, known bool) view {
	v.versions = slices.Concat(v.versions, r.Versions)
	slices.Sort(v.versions)
	v.versions = slices.Compact(v.versions)
	v.covered = known && (v.covered || r.Complete)
	return v
}

// find returns the software that has a hash, or nil.
func (h *history) find(hash uint32) *directory.Software {
	for service, versions := range h.services {
		for version := range versions {
			if s := (directory.Software{Service: service, Version: version}); softwareHash(s) == hash {
				return &s
			}
		}
	}
	return nil
}
