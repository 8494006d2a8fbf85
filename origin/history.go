package origin

import (
	"slices"
	"time"

	"github.com/springweir/springweir/directory"
)

// settleTime is how long after a VM has first seen a software version the other VMs may not know it yet,
// or not have sent the records of the streams that began before. It is three times as long as a change of
// an endpoint's row takes to reach all VMs.
const settleTime = 2 * time.Second

// history records which software versions of each service were registered when. It is not safe for
// concurrent use.
type history struct {
	// listedAt is when all endpoints were first known, and currentSince since when this VM receives their
	// changes; zero before that.
	listedAt, currentSince time.Time
	services               map[string]map[string]*sighting
}

// sighting states when endpoints of a software version were registered.
type sighting struct {
	endpoints       int
	firstAt, lastAt time.Time
}

func newHistory() *history { return &history{services: map[string]map[string]*sighting{}} }

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
		seen = &sighting{firstAt: now}
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
	// versions are the hashes of the versions of which an endpoint was registered within the window,
	// sorted. settled are those that were not first seen a moment ago.
	versions, settled []uint32
	// covered is set if versions covers the whole window.
	covered bool
	// current is set if the VM receives changes of the endpoints.
	current bool
}

// hasOneVersion reports whether the service is known to have had a single version.
func (v view) hasOneVersion() bool { return v.covered && v.current && len(v.versions) == 1 }

// isOnly reports whether the service is known to have had only the version with a hash.
func (v view) isOnly(software uint32) bool { return v.hasOneVersion() && v.versions[0] == software }

// needRecords returns the software whose streams need records, because it is not known to be the only
// version of its service.
func (h *history) needRecords(now time.Time, window time.Duration) map[uint32]bool {
	needed := map[uint32]bool{}
	for service := range h.services {
		v := h.view(now, service, window)
		if v.hasOneVersion() {
			continue
		}
		for _, hash := range v.versions {
			needed[hash] = true
		}
	}
	return needed
}

// view returns what is known of a service's software over a window until now. It forgets the versions
// that disappeared before the window.
func (h *history) view(now time.Time, service string, window time.Duration) view {
	v := view{current: !h.currentSince.IsZero(), covered: !h.listedAt.IsZero() && now.Sub(h.listedAt) >= window}
	for version, seen := range h.services[service] {
		if seen.endpoints <= 0 && now.Sub(seen.lastAt) > window {
			delete(h.services[service], version)
			continue
		}
		hash := softwareHash(directory.Software{Service: service, Version: version})
		v.versions = append(v.versions, hash)
		// What is found when the view becomes current may have been there for long.
		if now.Sub(seen.firstAt) >= settleTime || seen.firstAt.Sub(h.currentSince) < settleTime {
			v.settled = append(v.settled, hash)
		}
	}
	slices.Sort(v.versions)
	slices.Sort(v.settled)
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
