package placement

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/springweir/springweir/fairshare"
	"github.com/springweir/springweir/relay"
)

const (
	// shownOrganisations is the number of organisations whose demands and shares are metrics.
	shownOrganisations = 8
	// shownInterval is the time between two updates of these metrics.
	shownInterval = time.Second
	// maxShownNames bounds the names that are remembered.
	maxShownNames = 1024
)

// shownShares publishes the demands and shares of the organisations that request most.
type shownShares struct {
	names     map[fairshare.Key][2]string
	published map[string]bool
	updatedAt time.Time
}

func newShownShares() shownShares {
	return shownShares{names: map[fairshare.Key][2]string{}, published: map[string]bool{}}
}

// name remembers the names behind a key.
func (s *shownShares) name(k fairshare.Key, r *relay.Request) {
	if _, known := s.names[k]; known {
		return
	}
	if len(s.names) >= maxShownNames {
		clear(s.names)
	}
	s.names[k] = [2]string{r.Service, organisationName(r)}
}

// update publishes the present demands and shares, and removes those of organisations that no longer
// request most.
func (s *shownShares) update(now time.Time, t *fairshare.Tracker) {
	if len(s.names) == 0 || now.Sub(s.updatedAt) < shownInterval {
		return
	}
	s.updatedAt = now
	current := map[string]float64{}
	for _, e := range s.largest(t) {
		labels := fmt.Sprintf(`{service=%q,organisation=%q}`, e.names[0], e.names[1])
		current[`springweir_fairshare_demand_slots`+labels] += e.demand
		current[`springweir_fairshare_share_slots`+labels] += e.share
	}
	for name := range s.published {
		if _, kept := current[name]; !kept {
			metrics.UnregisterMetric(name)
			delete(s.published, name)
		}
	}
	for name, value := range current {
		metrics.GetOrCreateGauge(name, nil).Set(value)
		s.published[name] = true
	}
}

type shownEntry struct {
	names         [2]string
	demand, share float64
}

// largest returns the demands that are largest.
func (s *shownShares) largest(t *fairshare.Tracker) []shownEntry {
	var list []shownEntry
	seen := map[uint32]bool{}
	for k := range s.names {
		if seen[k.Service] {
			continue
		}
		seen[k.Service] = true
		t.Allotted(k.Service, func(k fairshare.Key, demand, share float64) {
			if names, known := s.names[k]; known {
				list = append(list, shownEntry{names, demand, share})
			}
		})
	}
	slices.SortFunc(list, func(a, b shownEntry) int {
		return cmp.Or(cmp.Compare(b.demand, a.demand), slices.Compare(a.names[:], b.names[:]))
	})
	return list[:min(len(list), shownOrganisations)]
}
