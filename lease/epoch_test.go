package lease

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/springweir/springweir/table"
	"github.com/springweir/springweir/table/memtable"
)

// view is a table service as one process reaches it. It knows the epoch from the answers it got.
type view struct {
	*memtable.Table

	// held, if set, is how long the first write takes to come into effect. The process is cut off
	// from then on.
	held time.Duration

	mu    sync.Mutex
	cut   bool
	epoch uint64
}

func (v *view) answered(err error) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cut {
		return &table.UnavailableError{Cause: context.DeadlineExceeded}
	}
	v.epoch = v.Table.Epoch()
	return err
}

func (v *view) isCut() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.cut
}

func (v *view) setCut(cut bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.cut = cut
}

func (v *view) Epoch() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.epoch
}

func (v *view) Get(ctx context.Context, keys ...table.Key) ([]table.Row, error) {
	if v.isCut() {
		return nil, v.answered(nil)
	}
	rows, err := v.Table.Get(ctx, keys...)
	return rows, v.answered(err)
}

func (v *view) Commit(ctx context.Context, txn table.Txn) ([]table.Version, error) {
	if v.isCut() {
		return nil, v.answered(nil)
	}
	if v.held > 0 {
		time.AfterFunc(v.held, func() { _, _ = v.Table.Commit(context.Background(), txn) })
		v.held = 0
		v.setCut(true)
		return nil, &table.UnknownError{Cause: context.DeadlineExceeded}
	}
	versions, err := v.Table.Commit(ctx, txn)
	return versions, v.answered(err)
}

// startSeeing starts a contender that knows the epoch.
func startSeeing(t *testing.T, v *view, name string) *contender {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	c := &contender{stop: stop, done: make(chan struct{})}
	c.holder = NewHolder(v, Config{Pool: "chat", Zone: "a", Identity: Identity{VM: name, Process: name, Address: name}, Epoch: v.Epoch})
	go func() {
		defer close(c.done)
		c.holder.Run(ctx, func(ctx context.Context, l *Lease) {
			c.mu.Lock()
			c.lease = l
			c.mu.Unlock()
			<-ctx.Done()
		})
	}()
	t.Cleanup(func() {
		stop()
		<-c.done
	})
	return c
}

// The table service comes back from a copy that shows the lease given up, or not there at all, while
// another process holds it by now. Whoever takes it next waits until that one's authority is over,
// whether or not it has noticed, and its fencing number is higher than any that was used.
func TestLeaseTakenAfterTheCopy(t *testing.T) {
	for _, tc := range []struct {
		name string
		// released makes the copy show a lease that was given up; otherwise it has none.
		released bool
		// cut cuts the holder off through it, and fresh makes the next contender start after it.
		cut, fresh bool
	}{
		{"given up in the copy", true, false, false},
		{"not in the copy", false, false, false},
		{"the holder is cut off", true, true, false},
		{"the next contender starts after it", true, false, true},
		{"the holder is cut off, and the next contender starts after it", false, true, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for phase := range 8 {
				synctest.Test(t, func(t *testing.T) { stepBack(t, phase, tc.released, tc.cut, tc.fresh) })
			}
		})
	}
}

func stepBack(t *testing.T, phase int, released, cut, fresh bool) {
	m := memtable.New()
	m.Restore(m.Backup()) // an epoch before, so that processes know one
	views := map[string]*view{}
	begin := func(name string) *contender {
		views[name] = &view{Table: m}
		return startSeeing(t, views[name], name)
	}
	c := m.Backup()
	if released {
		first := begin("first")
		until(t, "the first tenure", first.holds)
		first.stop()
		<-first.done
		c = m.Backup()
	}
	second := begin("second")
	until(t, "the second tenure", second.holds)
	used := second.current().Fence()
	var third *contender
	if !fresh {
		third = begin("third")
	}
	time.Sleep(time.Duration(phase) * DefaultRenew / 7)
	views["second"].setCut(cut)
	m.Restore(c)
	if fresh {
		third = begin("third")
	}
	both := 0
	took := until(t, "the third tenure, or the second one's next", func() bool {
		if second.holds() && third.holds() {
			both++
		}
		next := third.current()
		return third.holds() && next.Fence() > used || second.holds() && second.current().Fence() > used
	})
	for range 100 {
		time.Sleep(100 * time.Millisecond)
		if second.holds() && third.holds() {
			both++
		}
	}
	if both > 0 {
		t.Errorf("phase %d: both held the lease at %d moments", phase, both)
	}
	if took > 3*DefaultTTL {
		t.Errorf("phase %d: the next tenure began after %v", phase, took)
	}
	for _, n := range []*contender{second, third} {
		if n.holds() && n.current().Fence() <= used {
			t.Errorf("phase %d: fencing number %d after %d", phase, n.current().Fence(), used)
		}
	}
}

// Without epochs nothing changes: a lease that is not there, or was given up, is taken at once, and
// its fencing numbers count from one.
func TestFenceCountsWithinAnEpoch(t *testing.T) {
	for _, tc := range []struct{ epoch, old, want uint64 }{
		{0, 0, 1}, {0, 7, 8}, {1, 0, 1<<32 + 1}, {1, 1<<32 + 4, 1<<32 + 5}, {3, 1<<32 + 4, 3<<32 + 1},
	} {
		t.Run(fmt.Sprint(tc), func(t *testing.T) {
			if got := max(tc.old, epochFence(tc.epoch)) + 1; got != tc.want {
				t.Errorf("got %d", got)
			}
		})
	}
}

// A process finds no lease and writes its own. The write comes into effect only seconds later, when
// another process has taken the lease and the table service has lost that again. Its condition holds
// then, and the process must not take it for a tenure.
func TestWriteThatOutlivesAnEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := memtable.New()
		m.Restore(m.Backup())
		empty := m.Backup()
		slow, other := &view{Table: m, held: 3 * time.Second}, &view{Table: m}
		c := startSeeing(t, slow, "slow")
		until(t, "the write that is held up", slow.isCut)
		other.epoch = m.Epoch()
		h := NewHolder(other, Config{Pool: "chat", Zone: "a", Identity: Identity{VM: "other", Process: "other"}, Epoch: other.Epoch})
		l, err := h.take(t.Context(), table.Row{}, Record{}, m.Epoch())
		if err != nil {
			t.Fatal(err)
		}
		other.setCut(true)
		m.Restore(empty)
		time.Sleep(4 * time.Second) // the write has come into effect
		slow.setCut(false)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			if now := c.current(); c.holds() && now.Fence() <= l.Fence() {
				t.Fatalf("a tenure with fencing number %d after %d", now.Fence(), l.Fence())
			}
		}
	})
}
