package feedshare

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Measures the delay from the store's acknowledgement of a draining endpoint to each VM of the
// region, with one drain every 0.8 s on average. A VM that has the change may still be writing a
// request that it routed just before, so the last VM must receive the change well before the
// limit.
func TestChangeReachesEveryVMBeforeLimit(t *testing.T) {
	const (
		limit = 2 * time.Second
		// safetyMargin is reserved for a request that a VM has routed but not yet sent to the
		// endpoint, and for slow VMs.
		safetyMargin = limit / 4
		// sharingThreshold is the size of a region from which on its VMs read from each other.
		sharingThreshold = 16
	)
	for _, tc := range []struct {
		name      string
		delay     time.Duration
		noHistory bool
		// fault occurs on the first VM of a zone just before a drain.
		fault fault
	}{
		{"a healthy store", 4 * time.Millisecond, false, healthy},
		{"a slow store", 240 * time.Millisecond, false, healthy},
		{"a store without history", 4 * time.Millisecond, true, healthy},
		{"a reader that has just failed", 4 * time.Millisecond, false, unreachable},
		{"a reader that is suspended", 4 * time.Millisecond, false, frozen},
		{"a reader that is suspended, and a slow store", 240 * time.Millisecond, false, frozen},
	} {
		for _, n := range []int{9, 30, 300} {
			t.Run(fmt.Sprintf("%s, %d VMs", tc.name, n), func(t *testing.T) {
				t.Parallel()
				z := &zone{settings: Settings{PropagationLimit: limit, CoalesceInterval: limit / 3}, zones: min(n, 3), detectsFaults: true, storeDelay: tc.delay, noHistory: tc.noHistory}
				if n < sharingThreshold {
					z.zones = n // each VM reads from the store itself
				}
				var delays []time.Duration
				runZones(t, z, n, func(z *zone) { delays = z.simulateDrains(tc.fault, limit) })
				slices.Sort(delays)
				last := delays[len(delays)-1]
				t.Logf("%d events received: median %v, 99th percentile %v, last %v", len(delays), delays[len(delays)/2], delays[len(delays)*99/100], last)
				if last > limit-safetyMargin {
					t.Errorf("the last VM received the event after %v, want at most %v", last, limit-safetyMargin)
				}
			})
		}
	}
}

// drainInterval is the mean time between two drains, and faultDuration the approximate duration
// of a fault.
const (
	drainInterval = 800 * time.Millisecond
	faultDuration = 3 * time.Second
	// drainsPerFault is the number of drains from one fault to the next.
	drainsPerFault = 20
)

// drainEvent is an acknowledged drain and the VM that can't receive it because of a fault.
type drainEvent struct {
	id       string
	ackedAt  time.Time
	excluded *vm
}

// simulateDrains drains endpoints one after the other and returns the delay of each drain on each
// VM.
func (z *zone) simulateDrains(f fault, limit time.Duration) []time.Duration {
	rng := rand.New(rand.NewPCG(1, uint64(len(z.vms))))
	z.put("e", "ready")
	time.Sleep(10 * time.Second)
	var events []drainEvent
	var faulty *vm
	for n := range 5 * drainsPerFault {
		time.Sleep(drainInterval/2 + time.Duration(rng.Int64N(int64(drainInterval))))
		switch {
		case f != healthy && n%drainsPerFault == 0:
			faulty = z.vms[rng.IntN(z.zones)]
			faulty.setFault(f)
			for i := max(0, len(events)-int(limit/drainInterval)-1); i < len(events); i++ {
				events[i].excluded = faulty // the event may still be in flight
			}
			time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond)
		case n%drainsPerFault == int(faultDuration/drainInterval) && faulty != nil:
			faulty.setFault(healthy)
		case n%drainsPerFault == drainsPerFault/2:
			faulty = nil // recovered, receives events again
		}
		value := fmt.Sprint("leaves ", n)
		z.put("e", value)
		events = append(events, drainEvent{id: "e=" + value, ackedAt: time.Now(), excluded: faulty})
	}
	time.Sleep(2 * limit)
	var delays []time.Duration
	for _, event := range events {
		delays = append(delays, z.propagationDelays(event, 2*limit)...)
	}
	return delays
}

// propagationDelays returns how long after the acknowledgement each VM received an event, with
// unseenDelay for a VM that did not receive it.
func (z *zone) propagationDelays(event drainEvent, unseenDelay time.Duration) []time.Duration {
	var delays []time.Duration
	for _, v := range z.vms {
		if v == event.excluded {
			continue
		}
		v.mu.Lock()
		seenAt, seen := v.firstSeen[event.id]
		v.mu.Unlock()
		if !seen {
			seenAt = event.ackedAt.Add(unseenDelay)
		}
		delays = append(delays, seenAt.Sub(event.ackedAt))
	}
	return delays
}
