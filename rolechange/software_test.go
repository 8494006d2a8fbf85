package rolechange

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/engine"
)

// addSoftware adds engines of a software version by role.
func (f *fakeEngines) addSoftware(version string, prefill, decode int) {
	for i := range prefill + decode {
		id, role := fmt.Sprint(version, "-", i), engine.Decode
		if i < prefill {
			role = engine.Prefill
		}
		f.software[id] = version
		f.add(id, fmt.Sprint("z", i%3), role)
	}
}

// countsOf returns the number of engines of a software version by role.
func (f *fakeEngines) countsOf(version string) RoleCounts {
	counts := softwareCounts{}
	for _, e := range f.dir.Snapshot().Service("llm") {
		counts.add(e.Software(), e.Role)
	}
	return counts[directory.Software{Service: "llm", Version: version}]
}

// Every software version has an engine that decodes, or its streams could not go on, and about its share of
// those that prefill.
func TestEachSoftwareVersionHasBothRoles(t *testing.T) {
	for _, tc := range []struct {
		name string
		// v1 and v2 are the engines of both versions at the start.
		v1, v2 RoleCounts
		// maxOrders bounds the orders until the roles are settled.
		maxOrders int
	}{
		{"shares are right", RoleCounts{4, 2}, RoleCounts{4, 2}, 0},
		{"the last engines of a version prefill", RoleCounts{2, 0}, RoleCounts{5, 5}, 3},
		{"the first engine of a version prefills", RoleCounts{6, 5}, RoleCounts{1, 0}, 3},
		{"the last engine that decodes stays", RoleCounts{0, 1}, RoleCounts{3, 8}, 5},
		{"one version has all that prefill", RoleCounts{7, 1}, RoleCounts{0, 4}, 8},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newTestEnv(t, 0)
				env.fleet.addSoftware("v1", tc.v1.Prefill, tc.v1.Decode)
				env.fleet.addSoftware("v2", tc.v2.Prefill, tc.v2.Decode)
				env.pressure = Pressure{Running: 10, Slots: 8}
				stop := env.run(env.newCandidate("a", 0))
				defer stop()
				for range 600 {
					time.Sleep(100 * time.Millisecond)
					for _, version := range []string{"v1", "v2"} {
						if counts := env.fleet.countsOf(version); tc.v1.Decode > 0 && tc.v2.Decode > 0 && counts.Decode == 0 {
							t.Fatalf("%s has lost its last engine that decodes", version)
						}
					}
				}
				for _, version := range []string{"v1", "v2"} {
					counts := env.fleet.countsOf(version)
					t.Logf("%s: %d prefill, %d decode, %d orders in all", version, counts.Prefill, counts.Decode, env.fleet.count())
					if counts.Decode == 0 || counts.total() >= 4 && counts.Prefill == 0 {
						t.Errorf("%s has %d engines that prefill and %d that decode", version, counts.Prefill, counts.Decode)
					}
				}
				if n := env.fleet.count(); n > tc.maxOrders {
					t.Errorf("%d orders were sent, want at most %d", n, tc.maxOrders)
				}
			})
		})
	}
}

// Engines of a version leave one after the other, first those that decode. While two are left, one of them
// decodes, or takes that role at once.
func TestVersionThatLeavesKeepsDecoding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 0)
		env.fleet.addSoftware("v1", 4, 3)
		env.fleet.addSoftware("v2", 4, 3)
		env.pressure = Pressure{Running: 10, Slots: 8}
		stop := env.run(env.newCandidate("a", 0))
		defer stop()
		time.Sleep(10 * time.Second)
		without, longest := time.Duration(0), time.Duration(0)
		for env.fleet.countsOf("v1").total() > 1 {
			for _, e := range env.dir.Snapshot().Service("llm") {
				if e.SoftwareVersion == "v1" && e.Role == engine.Decode {
					env.dir.Remove(e.ID)
					break
				}
			}
			for range 40 {
				time.Sleep(100 * time.Millisecond)
				if counts := env.fleet.countsOf("v1"); counts.Decode > 0 || counts.total() < 2 {
					without = 0
					continue
				}
				without += 100 * time.Millisecond
				longest = max(longest, without)
			}
		}
		t.Logf("without an engine that decodes for %v, %d orders", longest, env.fleet.count())
		if longest > 0 {
			t.Errorf("v1 had no engine that decodes for %v while two were left", longest)
		}
	})
}
