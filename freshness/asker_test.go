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

// fleet is a region of VMs that tell each other their confirmations some time after they have them.
type fleet struct {
	vms   []*Tracker
	asked []atomic.Int64
	// away tells whether the store does not answer a VM, and apart whether two VMs cannot reach
	// each other.
	away  func(vm int) bool
	apart func(a, b int) bool
	stop  func()
}

func never(int) bool { return false }

func nowhere(int, int) bool { return false }

const (
	// ask is the age from which the first VM asks, and spread how long news takes.
	ask    = time.Second
	spread = 60 * time.Millisecond
)

func newFleet(t *testing.T, n int, away func(int) bool, apart func(int, int) bool) *fleet {
	f := &fleet{asked: make([]atomic.Int64, n), away: away, apart: apart}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	f.stop = func() { cancel(); running.Wait() }
	for range n {
		tr := New(nil)
		tr.SetInForce(1)
		f.vms = append(f.vms, tr)
	}
	for i, tr := range f.vms {
		asker := NewConfirmer(tr, Settings{ConfirmAfter: ask, Rank: func() int { return i }, Query: func(ctx context.Context) error { return f.ask(ctx, i) }})
		running.Go(func() { asker.Run(ctx) })
		running.Go(func() { f.tell(ctx, i) })
	}
	return f
}

var errAway = errors.New("the store is away")

func (f *fleet) ask(_ context.Context, vm int) error {
	asked := time.Now()
	f.asked[vm].Add(1)
	if f.away(vm) {
		time.Sleep(100 * time.Millisecond)
		return errAway
	}
	time.Sleep(4 * time.Millisecond)
	f.vms[vm].Confirm(Confirmation{Version: 1, At: asked})
	return nil
}

// tell passes on what a VM knows, again and again.
func (f *fleet) tell(ctx context.Context, vm int) {
	for ctx.Err() == nil {
		time.Sleep(spread / 2)
		version, age, known := f.vms[vm].Newest()
		if !known {
			continue
		}
		c := ReceivedConfirmation(version, age, time.Now())
		for other := range f.vms {
			if other != vm && !f.apart(vm, other) {
				f.vms[other].Confirm(c)
			}
		}
	}
}

func (f *fleet) calls() int {
	n := 0
	for i := range f.asked {
		n += int(f.asked[i].Load())
	}
	return n
}

// oldest is the greatest age of some VMs over a time.
func (f *fleet) oldest(over time.Duration, vms ...int) time.Duration {
	oldest := time.Duration(0)
	for end := time.Now().Add(over); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, vm := range vms {
			age, known := f.vms[vm].Age()
			if !known {
				age = time.Hour
			}
			oldest = max(oldest, age)
		}
	}
	return oldest
}

// One VM asks for all, about once each time that knowledge has grown old, and the next ones take
// over from those whose way to the store is cut.
func TestOneVMAsksForAll(t *testing.T) {
	for _, tc := range []struct {
		name string
		// cut are the VMs that the store does not answer.
		cut int
		// calls and age bound what comes of it in a minute, on 40 VMs.
		calls int
		age   time.Duration
	}{
		{"all reach the store", 0, 70, 1300 * time.Millisecond},
		{"the first is cut from it", 1, 130, 1500 * time.Millisecond},
		{"a third is cut from it", 13, 700, 3200 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 40, func(vm int) bool { return vm < tc.cut }, nowhere)
				defer f.stop()
				time.Sleep(2 * time.Second)
				before := f.calls()
				oldest := f.oldest(time.Minute, 0, 1, 12, 13, 39)
				calls := f.calls() - before
				if oldest > tc.age || calls > tc.calls {
					t.Errorf("knowledge was up to %v old, with %d calls in a minute", oldest, calls)
				}
			})
		})
	}
}

// A part of the region that is cut off from the rest keeps itself fresh if the store answers any of
// its VMs, and grows old if it answers none.
func TestPartsThatAreCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		away := func(vm int) bool { return vm != 3 }
		f := newFleet(t, 12, away, func(a, b int) bool { return (a < 4) != (b < 4) })
		defer f.stop()
		time.Sleep(2 * time.Second)
		if oldest := f.oldest(20*time.Second, 0, 1, 2, 3); oldest > 2*time.Second {
			t.Errorf("VMs that reach the store through another one were %v behind", oldest)
		}
		for vm := 4; vm < 12; vm++ {
			if age, known := f.vms[vm].Age(); known {
				t.Errorf("VM %d, which nobody can tell, takes itself for %v behind", vm, age)
			}
		}
	})
}

// VMs that start wait for what the others tell before they ask.
func TestVMsThatStartAreTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 40, never, nowhere)
		defer f.stop()
		time.Sleep(150 * time.Millisecond)
		if calls := f.calls(); calls != 0 {
			t.Errorf("%d calls at once", calls)
		}
		f.vms[7].Confirm(Confirmation{Version: 1, At: time.Now()})
		time.Sleep(500 * time.Millisecond)
		if calls := f.calls(); calls != 0 {
			t.Errorf("%d calls though one VM knew", calls)
		}
	})
}

// While the store answers nobody, the VMs beyond the first few ask it rarely, and all are fresh again
// soon after it is back.
func TestFewAskWhileTheStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var away atomic.Bool
		f := newFleet(t, 80, func(int) bool { return away.Load() }, nowhere)
		defer f.stop()
		time.Sleep(3 * time.Second)
		away.Store(true)
		before := f.calls()
		time.Sleep(10 * time.Second)
		if calls := f.calls() - before; calls > 420 {
			t.Errorf("%d calls in 10 s to a store that is away, by 80 VMs", calls)
		}
		away.Store(false)
		time.Sleep(time.Second)
		if oldest := f.oldest(time.Second, 0, 9, 10, 79); oldest > 1500*time.Millisecond {
			t.Errorf("1 s after the return knowledge is %v old", oldest)
		}
	})
}
