package freshness

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// testRegion is a region of VMs that broadcast their confirmations with a delay.
type testRegion struct {
	vms     []*Tracker
	queries []atomic.Int64
	// storeDown reports whether the store does not respond to a VM, and partitioned whether two VMs
	// cannot reach each other.
	storeDown   func(vm int) bool
	partitioned func(a, b int) bool
	stop        func()
}

func neverDown(int) bool { return false }

func notPartitioned(int, int) bool { return false }

const (
	// confirmAfter is the age at which the first VM queries, and propagationTime the time until all
	// VMs have received a confirmation.
	confirmAfter    = time.Second
	propagationTime = 60 * time.Millisecond
)

func newTestRegion(t *testing.T, n int, storeDown func(int) bool, partitioned func(int, int) bool) *testRegion {
	r := &testRegion{queries: make([]atomic.Int64, n), storeDown: storeDown, partitioned: partitioned}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	r.stop = func() { cancel(); running.Wait() }
	for range n {
		tracker := New(nil)
		tracker.SetInForce(1)
		r.vms = append(r.vms, tracker)
	}
	for i, tracker := range r.vms {
		confirmer := NewConfirmer(tracker, Settings{ConfirmAfter: confirmAfter, Rank: func() int { return i }, Query: func(ctx context.Context) error { return r.query(ctx, i) }})
		running.Go(func() { confirmer.Run(ctx) })
		running.Go(func() { r.broadcast(ctx, i) })
	}
	return r
}

var errStoreDown = errors.New("store is unavailable")

func (r *testRegion) query(_ context.Context, vm int) error {
	sentAt := time.Now()
	r.queries[vm].Add(1)
	if r.storeDown(vm) {
		time.Sleep(100 * time.Millisecond)
		return errStoreDown
	}
	time.Sleep(4 * time.Millisecond)
	r.vms[vm].Confirm(Confirmation{Version: 1, At: sentAt})
	return nil
}

// broadcast periodically sends the newest confirmation of a VM to the others.
func (r *testRegion) broadcast(ctx context.Context, vm int) {
	for ctx.Err() == nil {
		time.Sleep(propagationTime / 2)
		version, age, known := r.vms[vm].Newest()
		if !known {
			continue
		}
		c := ReceivedConfirmation(version, age, time.Now())
		for other := range r.vms {
			if other != vm && !r.partitioned(vm, other) {
				r.vms[other].Confirm(c)
			}
		}
	}
}

func (r *testRegion) queryCount() int {
	n := 0
	for i := range r.queries {
		n += int(r.queries[i].Load())
	}
	return n
}

// maxAgeOver returns the highest age seen on the given VMs during the given time.
func (r *testRegion) maxAgeOver(duration time.Duration, vms ...int) time.Duration {
	oldest := time.Duration(0)
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, vm := range vms {
			age, known := r.vms[vm].Age()
			if !known {
				age = time.Hour
			}
			oldest = max(oldest, age)
		}
	}
	return oldest
}

// One VM queries the store for all, about once per confirmAfter, and the next VMs replace those
// that cannot reach the store.
func TestOneVMConfirmsForAll(t *testing.T) {
	for _, tc := range []struct {
		name string
		// storeDown is the number of VMs to which the store does not respond.
		storeDown int
		// calls and age are the limits for one minute with 40 VMs.
		calls int
		age   time.Duration
	}{
		{"all VMs reach the store", 0, 70, 1300 * time.Millisecond},
		{"the first VM does not reach it", 1, 130, 1500 * time.Millisecond},
		{"a third of the VMs do not reach it", 13, 700, 3200 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newTestRegion(t, 40, func(vm int) bool { return vm < tc.storeDown }, notPartitioned)
				defer r.stop()
				time.Sleep(2 * time.Second)
				before := r.queryCount()
				oldest := r.maxAgeOver(time.Minute, 0, 1, 12, 13, 39)
				calls := r.queryCount() - before
				if oldest > tc.age || calls > tc.calls {
					t.Errorf("maximum age %v, with %d queries in a minute", oldest, calls)
				}
			})
		})
	}
}

// VMs that are partitioned from the rest of the region stay up to date if the store responds to any
// of them, and become outdated otherwise.
func TestPartitionedRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		storeDown := func(vm int) bool { return vm != 3 }
		r := newTestRegion(t, 12, storeDown, func(a, b int) bool { return (a < 4) != (b < 4) })
		defer r.stop()
		time.Sleep(2 * time.Second)
		if oldest := r.maxAgeOver(20*time.Second, 0, 1, 2, 3); oldest > 2*time.Second {
			t.Errorf("VMs that receive confirmations from another VM reached an age of %v", oldest)
		}
		for vm := 4; vm < 12; vm++ {
			if age, known := r.vms[vm].Age(); known {
				t.Errorf("VM %d, which can receive no confirmation, has an age of %v", vm, age)
			}
		}
	})
}

// Starting VMs wait for confirmations from other VMs before they query the store.
func TestStartingVMsWaitForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRegion(t, 40, neverDown, notPartitioned)
		defer r.stop()
		time.Sleep(150 * time.Millisecond)
		if calls := r.queryCount(); calls != 0 {
			t.Errorf("%d queries before the startup wait is over", calls)
		}
		r.vms[7].Confirm(Confirmation{Version: 1, At: time.Now()})
		time.Sleep(500 * time.Millisecond)
		if calls := r.queryCount(); calls != 0 {
			t.Errorf("%d queries although one VM had a confirmation", calls)
		}
	})
}

// During a store outage, the VMs of higher ranks query it rarely. Soon after the outage all VMs are
// up to date again.
func TestFewQueriesDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var down atomic.Bool
		r := newTestRegion(t, 80, func(int) bool { return down.Load() }, notPartitioned)
		defer r.stop()
		time.Sleep(3 * time.Second)
		down.Store(true)
		before := r.queryCount()
		time.Sleep(10 * time.Second)
		if calls := r.queryCount() - before; calls > 420 {
			t.Errorf("%d queries in 10 s by 80 VMs during the store outage", calls)
		}
		down.Store(false)
		time.Sleep(time.Second)
		if oldest := r.maxAgeOver(time.Second, 0, 9, 10, 79); oldest > 1500*time.Millisecond {
			t.Errorf("maximum age %v, measured from 1 s after the outage", oldest)
		}
	})
}
