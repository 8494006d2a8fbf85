package feedshare

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// News of an endpoint that leaves, from the store's acknowledgement to each VM of the region, with
// an endpoint that leaves each 0.8 s. After a VM knows, a request may still be written that it looked
// at a moment before, so that the last VM is to know well before the bound.
func TestNewsReachesTheLastVMWellBeforeTheBound(t *testing.T) {
	const (
		bound = 2 * time.Second
		// wellBefore is what is left of the bound for the way from a VM's last look to the
		// endpoint, and for a VM that is slow.
		wellBefore = bound / 4
		// readersFrom is the size of a region from which on its VMs read from each other.
		readersFrom = 16
	)
	for _, tc := range []struct {
		name    string
		delay   time.Duration
		forgets bool
		// fault strikes the first VM of a zone just before a leaving.
		fault fault
	}{
		{"a calm store", 4 * time.Millisecond, false, healthy},
		{"a slow store", 240 * time.Millisecond, false, healthy},
		{"a store that forgets its history", 4 * time.Millisecond, true, healthy},
		{"a reader that has just died", 4 * time.Millisecond, false, unreachable},
		{"a reader that is suspended", 4 * time.Millisecond, false, frozen},
		{"a reader that is suspended, and a slow store", 240 * time.Millisecond, false, frozen},
	} {
		for _, n := range []int{9, 30, 300} {
			t.Run(fmt.Sprintf("%s, %d VMs", tc.name, n), func(t *testing.T) {
				t.Parallel()
				z := &zone{settings: Settings{PropagationLimit: bound, CoalesceInterval: bound / 3}, zones: min(n, 3), notices: true, delay: tc.delay, forgets: tc.forgets}
				if n < readersFrom {
					z.zones = n // each VM asks the store itself
				}
				var took []time.Duration
				playZones(t, z, n, func(z *zone) { took = z.leavings(tc.fault, bound) })
				slices.Sort(took)
				last := took[len(took)-1]
				t.Logf("%d pieces of news: median %v, 99 in 100 %v, last %v", len(took), took[len(took)/2], took[len(took)*99/100], last)
				if last > bound-wellBefore {
					t.Errorf("the last VM knows after %v, want at most %v", last, bound-wellBefore)
				}
			})
		}
	}
}

// leaves is the time between two endpoints' leavings, and struckFor how long a VM is struck.
const (
	leaves    = 800 * time.Millisecond
	struckFor = 3 * time.Second
	// strikes is the number of leavings between two strikes.
	strikes = 20
)

// leaving is one that was acknowledged, and the VM that cannot know of it.
type leaving struct {
	id    string
	at    time.Time
	blind *vm
}

// leavings has endpoints leave one after the other and returns how long each VM took to know of each.
func (z *zone) leavings(f fault, bound time.Duration) []time.Duration {
	rng := rand.New(rand.NewPCG(1, uint64(len(z.vms))))
	z.put("e", "ready")
	time.Sleep(10 * time.Second)
	var list []leaving
	var struck *vm
	for n := range 5 * strikes {
		time.Sleep(leaves/2 + time.Duration(rng.Int64N(int64(leaves))))
		switch {
		case f != healthy && n%strikes == 0:
			struck = z.vms[rng.IntN(z.zones)]
			struck.set(f)
			for i := max(0, len(list)-int(bound/leaves)-1); i < len(list); i++ {
				list[i].blind = struck // its news may still be on the way
			}
			time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond)
		case n%strikes == int(struckFor/leaves) && struck != nil:
			struck.set(healthy)
		case n%strikes == strikes/2:
			struck = nil // in touch again
		}
		value := fmt.Sprint("leaves ", n)
		z.put("e", value)
		list = append(list, leaving{id: "e=" + value, at: time.Now(), blind: struck})
	}
	time.Sleep(2 * bound)
	var took []time.Duration
	for _, l := range list {
		took = append(took, z.knownOf(l, 2*bound)...)
	}
	return took
}

// knownOf returns how long each VM took to know of a leaving, or never for one that does not.
func (z *zone) knownOf(l leaving, never time.Duration) []time.Duration {
	var took []time.Duration
	for _, v := range z.vms {
		if v == l.blind {
			continue
		}
		v.mu.Lock()
		learned, known := v.learned[l.id]
		v.mu.Unlock()
		if !known {
			learned = l.at.Add(never)
		}
		took = append(took, learned.Sub(l.at))
	}
	return took
}
