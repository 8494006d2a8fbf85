package rollout_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/springweir/springweir/rollout"
	"github.com/springweir/springweir/table/memtable"
)

// Porcupine model of the history of configurations: a register that holds the newest version
// and the ID of the write that created it.
type (
	register struct {
		version rollout.Version
		writeID string
	}
	putOp  struct{ edit rollout.Edit }
	readOp struct{}
	// outcome is the result of an operation; unknown marks a put whose result is not known.
	outcome struct {
		register
		conflict, unknown bool
	}
)

var history = porcupine.Model{
	Init: func() any { return register{} },
	Step: func(state, input, output any) (bool, any) {
		s, out := state.(register), output.(outcome)
		put, isPut := input.(putOp)
		if !isPut {
			return out.register == s, s
		}
		applies := s.version == put.edit.Base
		next := register{version: put.edit.Base + 1, writeID: put.edit.WriteID}
		switch {
		case out.unknown && !applies:
			return true, s
		case out.unknown:
			return true, next
		case out.conflict:
			return !applies, s
		default:
			return applies && out.version == next.version, next
		}
	},
}

// operator makes edits independently and records the results of its operations.
type operator struct {
	id    int
	store *rollout.Store
	rng   *rand.Rand
	began time.Time
	mu    *sync.Mutex
	ops   *[]porcupine.Operation
}

// run makes edits until ctx ends. A put that timed out may take effect at any later time.
func (o *operator) run(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(time.Duration(o.rng.IntN(4000)) * time.Millisecond)
		base, ok := o.read(ctx)
		if !ok {
			continue
		}
		call := time.Since(o.began)
		e := rollout.Edit{Base: base, WriteID: fmt.Sprintf("%d-%d", o.id, n), Text: fmt.Appendf(nil, "text %d %d", o.id, n)}
		limited, cancel := context.WithTimeout(ctx, 3*time.Second)
		v, err := o.store.Put(limited, e)
		cancel()
		var conflict *rollout.ConflictError
		out := outcome{register: register{version: v}, conflict: errors.As(err, &conflict)}
		ends := time.Since(o.began)
		if err != nil && !out.conflict {
			out.unknown, ends = true, time.Hour
		}
		o.record(putOp{edit: e}, out, call, ends)
	}
}

func (o *operator) read(ctx context.Context) (rollout.Version, bool) {
	call := time.Since(o.began)
	v, err := o.store.Head(ctx)
	if err != nil {
		return 0, false
	}
	var r register
	if v != rollout.None {
		entry, err := o.store.Entry(ctx, v)
		if err != nil {
			return 0, false
		}
		r = register{version: v, writeID: entry.WriteID}
	}
	o.record(readOp{}, outcome{register: r}, call, time.Since(o.began))
	return v, true
}

func (o *operator) record(in, out any, call, ends time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	*o.ops = append(*o.ops, porcupine.Operation{
		ClientId: o.id, Input: in, Output: out, Call: int64(call), Return: int64(ends),
	})
}

// injectFault applies one random fault, recovery or replacement to the fleet.
func injectFault(f *fleet, rng *rand.Rand) {
	names := f.Names()
	name := names[rng.IntN(len(names))]
	n := f.Nodes[name]
	switch rng.IntN(12) {
	case 0, 1:
		f.Isolate(name, true)
	case 2, 3:
		f.Isolate(name, false)
	case 4:
		f.Pause(name)
		time.Sleep(time.Duration(rng.IntN(20)) * time.Second)
		f.Resume(name)
	case 5, 6:
		f.Kill(name)
		f.Start(name, n.Zone)
	case 7:
		f.Rows.SetDown(rng.IntN(4) == 0)
	case 8:
		f.Rows.SetFault(memtable.Fault{Delay: time.Duration(rng.IntN(1500)) * time.Millisecond})
	case 9:
		n.Table.SetPartitioned(rng.IntN(2) == 0)
	case 10:
		f.Net.Partition(name, names[rng.IntN(len(names))], rng.IntN(2) == 0)
	case 11: // the VM is replaced
		f.Remove(name)
		f.Add(n.Zone+"-"+f.NewID(), n.Zone)
	}
}

// clearFaults ends all faults.
func clearFaults(f *fleet) {
	f.Rows.SetDown(false)
	f.Rows.SetFault(memtable.Fault{})
	f.Rows.SetHook(nil)
	for _, a := range f.Names() {
		f.Isolate(a, false)
	}
}

// commitFaults returns a hook that loses the response of some commits and delays others.
func commitFaults(rng *rand.Rand) func(memtable.Call) memtable.Fault {
	var mu sync.Mutex
	return func(c memtable.Call) memtable.Fault {
		mu.Lock()
		defer mu.Unlock()
		if c.Op != memtable.OpCommit {
			return memtable.Fault{}
		}
		switch rng.IntN(8) {
		case 0:
			return memtable.Fault{LoseResponse: true}
		case 1:
			return memtable.Fault{ApplyAfter: time.Duration(rng.IntN(10_000)) * time.Millisecond}
		default:
			return memtable.Fault{}
		}
	}
}

// TestRandomHistories runs a fleet and two operators through random faults. The history must be
// linear, every VM that serves must always have every accepted version in effect, and after the
// faults a change must be accepted.
func TestRandomHistories(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { randomHistory(t, seed) })
		})
	}
}

func randomHistory(t *testing.T, seed uint64) {
	f := newFleet(t, 3, "a", "b")
	if seed%3 == 0 {
		f = newFleet(t, 4, "a")
	}
	startAndConfigure(f)
	rng := rand.New(rand.NewPCG(seed, 1))
	f.Rows.SetHook(commitFaults(rand.New(rand.NewPCG(seed, 2))))
	ctx, cancel := context.WithCancel(f.ctx)
	// The recorded history starts with the first configuration.
	var mu sync.Mutex
	first, err := f.Store.Entry(f.ctx, 1)
	if err != nil {
		t.Fatal(err)
	}
	ops := []porcupine.Operation{{Input: putOp{rollout.Edit{WriteID: first.WriteID}}, Output: outcome{register: register{version: 1}}}}
	var wg sync.WaitGroup
	for id := range 2 {
		o := &operator{id: id + 1, store: f.Store, rng: rand.New(rand.NewPCG(seed, uint64(id+3))), began: time.Now().Add(-time.Second), mu: &mu, ops: &ops}
		wg.Go(func() { o.run(ctx) })
	}
	accepted := observeAccepted(f, rng, 4*time.Minute)
	cancel()
	wg.Wait()
	clearFaults(f)
	time.Sleep(30 * time.Second)
	f.awaitAccepted(f.put("after the faults"), 30*time.Second)
	f.reportViolations()
	if !porcupine.CheckOperations(history, ops) {
		t.Error("the history of configurations is not linear")
	}
	t.Logf("%d operations, %d versions accepted, highest version %d", len(ops), accepted, f.Checker.Highest())
}

// observeAccepted injects faults for d and continually checks which versions are accepted. It
// returns how many were.
func observeAccepted(f *fleet, rng *rand.Rand, d time.Duration) int {
	accepted := 0
	next := time.Now()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if time.Now().After(next) {
			injectFault(f, rng)
			next = time.Now().Add(time.Duration(rng.IntN(4000)) * time.Millisecond)
		}
		head, err := f.Store.Head(f.ctx)
		if err != nil {
			f.Check()
			continue
		}
		for v := f.Checker.Highest() + 1; v <= head; v++ {
			s, err := f.Store.Status(f.ctx, v)
			if err != nil || !s.Accepted {
				break
			}
			f.Checker.RecordAccepted(v)
			accepted++
		}
		f.Check()
	}
	return accepted
}

// The model rejects a history in which a write is lost or two writes create the same version.
func TestHistoryModelRejectsLostAndDuplicateWrites(t *testing.T) {
	put := func(base rollout.Version, id string, at int64) porcupine.Operation {
		return porcupine.Operation{
			Input:  putOp{rollout.Edit{Base: base, WriteID: id}},
			Output: outcome{register: register{version: base + 1}}, Call: at, Return: at + 1,
		}
	}
	read := func(v rollout.Version, id string, at int64) porcupine.Operation {
		return porcupine.Operation{Input: readOp{}, Output: outcome{register: register{v, id}}, Call: at, Return: at + 1}
	}
	tests := []struct {
		name string
		ops  []porcupine.Operation
		want bool
	}{
		{"linear", []porcupine.Operation{put(0, "a", 1), put(1, "b", 3), read(2, "b", 5)}, true},
		{"reverted", []porcupine.Operation{put(0, "a", 1), put(1, "b", 3), read(1, "a", 5)}, false},
		{"two winners", []porcupine.Operation{put(0, "a", 1), put(0, "b", 3)}, false},
	}
	for _, tt := range tests {
		if got := porcupine.CheckOperations(history, tt.ops); got != tt.want {
			t.Errorf("%s: linear = %v, want %v", tt.name, got, tt.want)
		}
	}
}
