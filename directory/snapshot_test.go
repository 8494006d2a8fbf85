package directory

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/engine"
)

// Each snapshot is what its endpoints make it, whatever changes led to it, and names the changes.
func TestSnapshotFollowsChanges(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var changes []Change
	d := New(func(old, next *Snapshot) {
		changes = nil
		for _, c := range next.Changes() {
			if old.Endpoint(c.ID) != c.Old || next.Endpoint(c.ID) != c.New || c.Old == c.New {
				t.Errorf("change of %s does not match the snapshots", c.ID)
			}
			changes = append(changes, c)
		}
	})
	registration := func() Registration {
		return Registration{
			ID: fmt.Sprint("e", rng.IntN(40)), Service: fmt.Sprint("s", rng.IntN(2)), Zone: fmt.Sprint("z", rng.IntN(3)),
			Draining: rng.IntN(4) == 0, Role: []engine.Role{"", engine.Prefill, engine.Decode}[rng.IntN(3)],
		}
	}
	for range 2000 {
		before := d.Snapshot()
		switch rng.IntN(10) {
		case 0:
			d.Remove(fmt.Sprint("e", rng.IntN(40)))
		case 1:
			list := make([]Registration, rng.IntN(30))
			for i := range list {
				list[i] = registration()
			}
			d.Replace(list, rng.IntN(2) == 0)
		default:
			list := make([]Registration, 1+rng.IntN(4))
			for i := range list {
				list[i] = registration()
			}
			d.Put(list...)
		}
		s := d.Snapshot()
		if s.Len() != len(d.byID) {
			t.Fatalf("%d endpoints in the snapshot, %d in the directory", s.Len(), len(d.byID))
		}
		different := 0
		zones, groups, services := map[string]int{}, map[Group]int{}, map[string]int{}
		for id, e := range d.byID {
			if s.Endpoint(id) != e {
				t.Fatalf("%s differs from the directory", id)
			}
			if before.Endpoint(id) != e {
				different++
			}
			if e.Usable() {
				zones[e.Zone]++
				groups[e.Group()]++
				services[e.Service]++
			}
		}
		for _, e := range before.All() {
			if s.Endpoint(e.ID) == nil {
				different++
			}
		}
		if len(changes) != different {
			t.Fatalf("%d changes are named, %d endpoints differ", len(changes), different)
		}
		if diff := cmp.Diff(groups, s.UsableInGroups()) + cmp.Diff(zones, s.inZone); diff != "" {
			t.Fatal(diff)
		}
		for service, n := range services {
			list := s.Service(service)
			if len(list) != n {
				t.Fatalf("%d endpoints of %s, want %d", len(list), service, n)
			}
			for i, e := range list {
				if e != d.byID[e.ID] || !e.Usable() || i > 0 && list[i-1].ID >= e.ID {
					t.Fatalf("%s of %s is out of order, outdated or not usable", e.ID, service)
				}
			}
		}
	}
}
