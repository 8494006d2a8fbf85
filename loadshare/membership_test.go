package loadshare

import (
	"fmt"
	"testing"
	"time"

	"github.com/springweir/springweir/loadshare/sharepb"
)

// regions are the VMs of a region whose datagrams are delivered by the test.
type regions struct {
	now  time.Time
	vms  []*region
	dead map[string]bool
	// cut names zones between which nothing is delivered to or from the others.
	cut map[string]bool
}

func newRegions(size, zones int) *regions {
	w := &regions{now: time.Unix(1000, 0), dead: map[string]bool{}, cut: map[string]bool{}}
	var all []Peer
	for i := range size {
		all = append(all, Peer{Name: fmt.Sprintf("vm%03d", i), Zone: fmt.Sprint("z", i%zones), Capacity: 1})
	}
	for _, self := range all {
		r := newRegion(self)
		var peers []Peer
		for _, p := range all {
			if p.Name != self.Name {
				peers = append(peers, p)
			}
		}
		r.setPeers(peers)
		w.vms = append(w.vms, &r)
	}
	return w
}

func (w *regions) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(50 * time.Millisecond) {
		for _, from := range w.vms {
			if w.dead[from.self.Name] {
				continue
			}
			for _, m := range from.messages(w.now, Report{}) {
				load := &sharepb.Load{Vm: from.self.Name, Zone: from.self.Zone, ZoneSum: m.of == ofZone, RegionSum: m.of == ofRegion, Silent: from.silentHashes(w.now, m.of)}
				for _, to := range m.to {
					w.deliver(load, to.Name)
				}
			}
		}
	}
}

func (w *regions) deliver(load *sharepb.Load, to string) {
	for _, r := range w.vms {
		if r.self.Name == to && !w.dead[to] && (load.Zone == r.self.Zone || !w.cut[load.Zone] && !w.cut[r.self.Zone]) {
			r.heard(w.now, load)
		}
	}
}

// Every VM of a small and of a large region knows within seconds which others are there, whichever
// VM dies, be it a collector, and knows that those beyond a partition are silent.
func TestMembership(t *testing.T) {
	const settle = 2*MemberTimeout + CollectorTimeout
	for _, size := range []int{4, 9, 83} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			w := newRegions(size, 3)
			check := func(what string, want func(r *region) int) {
				t.Helper()
				for _, r := range w.vms {
					if w.dead[r.self.Name] {
						continue
					}
					if m := r.membership(w.now); len(m.Live) != want(r) || m.Registered != size {
						t.Errorf("%s: %s knows %d live VMs of %d, not %d", what, r.self.Name, len(m.Live), m.Registered, want(r))
					}
				}
			}
			w.run(settle)
			check("at first", func(*region) int { return size })
			w.dead["vm000"], w.dead["vm003"] = true, true
			w.run(settle)
			gone := min(2, size-2)
			check("two died", func(*region) int { return size - gone })
			delete(w.dead, "vm000")
			delete(w.dead, "vm003")
			w.run(settle)
			check("they are back", func(*region) int { return size })
			w.cut["z1"] = true
			w.run(settle)
			inZone := len(w.vms[1].zones["z1"])
			check("a zone is cut off", func(r *region) int {
				if r.self.Zone == "z1" {
					return inZone
				}
				return size - inZone
			})
		})
	}
}
