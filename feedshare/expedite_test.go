package feedshare

import (
	"fmt"
	"testing"
	"time"
)

// Guards against an endpoint that registers just after another change and gets no requests until
// the pause after that change is over, although no other endpoint of its service is up. Every VM
// must receive the second of two changes within a tenth of a second if queries are expedited, also
// when the pause had begun before, and the store is queried no more often than the shorter pause
// allows.
func TestExpeditedChangeArrivesAtOnce(t *testing.T) {
	const (
		within = 100 * time.Millisecond
		apart  = 20 * time.Millisecond
	)
	expedite := func(z *zone, d time.Duration) {
		for _, v := range z.vms {
			v.source.Expedite(d)
		}
	}
	for _, tc := range []struct {
		name     string
		n        int
		expedite time.Duration
		late     bool
		arrived  bool
	}{
		{name: "one VM, not expedited", n: 1},
		{name: "one VM", n: 1, expedite: time.Minute, arrived: true},
		{name: "30 VMs", n: 30, expedite: time.Minute, arrived: true},
		{name: "30 VMs, during the pause", n: 30, expedite: time.Minute, late: true, arrived: true},
		{name: "30 VMs, no longer expedited", n: 30, expedite: time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runZone(t, tc.n, func(z *zone) {
				time.Sleep(10 * time.Second)
				if !tc.late {
					expedite(z, tc.expedite)
				}
				time.Sleep(apart)
				z.put("first", "1")
				time.Sleep(apart)
				z.put("second", "1")
				if tc.late {
					expedite(z, tc.expedite)
				}
				time.Sleep(within)
				if missing := z.vmsWithout("second", "1"); (missing == "") != tc.arrived {
					t.Errorf("after %v, VMs without the second change: %q", within, missing)
				}
				before := z.callCount()
				for i := range 100 {
					z.put("row", fmt.Sprint(i))
					time.Sleep(10 * time.Millisecond)
				}
				if calls, most := z.callCount()-before, int(time.Second/expeditedCoalesceInterval)+2; calls > most {
					t.Errorf("%d calls to the store in a second, want at most %d", calls, most)
				}
			})
		})
	}
}
