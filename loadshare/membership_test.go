package loadshare

import (
	"fmt"
	"testing"
	"time"

	"github.com/springweir/springweir/loadshare/sharepb"
)

// testCluster holds the VMs of a region, whose datagrams are delivered by the test.
type testCluster struct {
	now    time.Time
	vms    []*region
	failed map[string]bool
	// partitioned holds the zones that exchange no datagrams with other zones.
	partitioned map[string]bool
}

func newTestCluster(size, zones int) *testCluster {
	c := &testCluster{now: time.Unix(1000, 0), failed: map[string]bool{}, partitioned: map[string]bool{}}
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
		c.vms = append(c.vms, &r)
	}
	return c
}

func (c *testCluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(50 * time.Millisecond) {
		for _, from := range c.vms {
			if c.failed[from.self.Name] {
				continue
			}
			for _, m := range from.messages(c.now, Report{}) {
				load := &sharepb.Load{Vm: from.self.Name, Zone: from.self.Zone, ZoneSum: m.scope == scopeZone, RegionSum: m.scope == scopeRegion, Silent: from.unresponsiveHashes(c.now, m.scope)}
				for _, to := range m.to {
					c.deliver(load, to.Name)
				}
			}
		}
	}
}

func (c *testCluster) deliver(load *sharepb.Load, to string) {
	for _, r := range c.vms {
		if r.self.Name == to && !c.failed[to] && (load.Zone == r.self.Zone || !c.partitioned[load.Zone] && !c.partitioned[r.self.Zone]) {
			r.record(c.now, load)
		}
	}
}

// Every VM of a small or a large region detects within seconds which others are live, whichever VM
// fails, including collectors, and considers VMs beyond a partition unresponsive.
func TestMembership(t *testing.T) {
	const detectionTime = 2*MemberTimeout + CollectorTimeout
	for _, size := range []int{4, 9, 83} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			c := newTestCluster(size, 3)
			check := func(what string, want func(r *region) int) {
				t.Helper()
				for _, r := range c.vms {
					if c.failed[r.self.Name] {
						continue
					}
					if m := r.membership(c.now); len(m.Live) != want(r) || m.Registered != size {
						t.Errorf("%s: %s finds %d live VMs of %d, want %d", what, r.self.Name, len(m.Live), m.Registered, want(r))
					}
				}
			}
			c.run(detectionTime)
			check("at the start", func(*region) int { return size })
			c.failed["vm000"], c.failed["vm003"] = true, true
			c.run(detectionTime)
			failures := min(2, size-2)
			check("two failed", func(*region) int { return size - failures })
			delete(c.failed, "vm000")
			delete(c.failed, "vm003")
			c.run(detectionTime)
			check("they recovered", func(*region) int { return size })
			c.partitioned["z1"] = true
			c.run(detectionTime)
			inZone := len(c.vms[1].zones["z1"])
			check("a zone is partitioned", func(r *region) int {
				if r.self.Zone == "z1" {
					return inZone
				}
				return size - inZone
			})
		})
	}
}
