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

// view is the table service as one process reaches it. Its epoch is updated by each response.
type view struct {
	*memtable.Table

	// applyDelay, if set, is the time until the first write takes effect. From that write on the
	// process is partitioned from the service.
	applyDelay time.Duration

	mu          sync.Mutex
	partitioned bool
	epoch       uint64
}

// respond returns the result of a call and records the epoch, or fails while v is partitioned.
func (v *view) respond(err error) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.partitioned {
		return &table.UnavailableError{Cause: context.DeadlineExceeded}
	}
	v.epoch = v.Table.Epoch()
	return err
}

func (v *view) isPartitioned() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.partitioned
}

func (v *view) setPartitioned(partitioned bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.partitioned = partitioned
}

func (v *view) Epoch() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.epoch
}

func (v *view) Get(ctx context.Context, keys ...table.Key) ([]table.Row, error) {
	if v.isPartitioned() {
		return nil, v.respond(nil)
	}
	rows, err := v.Table.Get(ctx, keys...)
	return rows, v.respond(err)
}

func (v *view) Commit(ctx context.Context, txn table.Txn) ([]table.Version, error) {
	if v.isPartitioned() {
		return nil, v.respond(nil)
	}
	if v.applyDelay > 0 {
		time.AfterFunc(v.applyDelay, func() { _, _ = v.Table.Commit(context.Background(), txn) })
		v.applyDelay = 0
		v.setPartitioned(true)
		return nil, &table.UnknownError{Cause: context.DeadlineExceeded}
	}
	versions, err := v.Table.Commit(ctx, txn)
	return versions, v.respond(err)
}

// startWithEpoch starts a contender whose Config.Epoch is that of its view.
func startWithEpoch(t *testing.T, v *view, name string) *contender {
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

// The table service is restored from a backup in which the lease is released or absent, while
// another process holds it. The next process to take it must wait until that holder's authority
// has ended, whether or not the holder has detected the restore, and must use a higher fencing
// token than any used before.
func TestLeaseAfterRestore(t *testing.T) {
	for _, tc := range []struct {
		name string
		// released makes the backup show a released lease; otherwise the backup has none.
		released bool
		// partitioned cuts the holder off from the service during the restore, and lateStart
		// starts the next contender after it.
		partitioned, lateStart bool
	}{
		{"released in the backup", true, false, false},
		{"not in the backup", false, false, false},
		{"the holder is partitioned", true, true, false},
		{"the next contender starts after the restore", true, false, true},
		{"the holder is partitioned, and the next contender starts after the restore", false, true, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for phase := range 8 {
				synctest.Test(t, func(t *testing.T) { runRestore(t, phase, tc.released, tc.partitioned, tc.lateStart) })
			}
		})
	}
}

func runRestore(t *testing.T, phase int, released, partitioned, lateStart bool) {
	m := memtable.New()
	m.Restore(m.Backup()) // starts epoch 1, so that processes observe an epoch
	views := map[string]*view{}
	startContender := func(name string) *contender {
		views[name] = &view{Table: m}
		return startWithEpoch(t, views[name], name)
	}
	backup := m.Backup()
	if released {
		first := startContender("first")
		waitUntil(t, "the first tenure", first.holds)
		first.stop()
		<-first.done
		backup = m.Backup()
	}
	second := startContender("second")
	waitUntil(t, "the second tenure", second.holds)
	lastFence := second.current().Fence()
	var third *contender
	if !lateStart {
		third = startContender("third")
	}
	time.Sleep(time.Duration(phase) * DefaultRenew / 7)
	views["second"].setPartitioned(partitioned)
	m.Restore(backup)
	if lateStart {
		third = startContender("third")
	}
	overlaps := 0
	took := waitUntil(t, "the third contender's tenure, or another one of the second", func() bool {
		if second.holds() && third.holds() {
			overlaps++
		}
		next := third.current()
		return third.holds() && next.Fence() > lastFence || second.holds() && second.current().Fence() > lastFence
	})
	for range 100 {
		time.Sleep(100 * time.Millisecond)
		if second.holds() && third.holds() {
			overlaps++
		}
	}
	if overlaps > 0 {
		t.Errorf("phase %d: both held the lease in %d samples", phase, overlaps)
	}
	if took > 3*DefaultTTL {
		t.Errorf("phase %d: the next tenure began after %v", phase, took)
	}
	for _, n := range []*contender{second, third} {
		if n.holds() && n.current().Fence() <= lastFence {
			t.Errorf("phase %d: fencing token %d after %d", phase, n.current().Fence(), lastFence)
		}
	}
}

// Without epochs the fencing tokens count from one. In a later epoch they continue above that
// epoch's lower bound.
func TestFencePerEpoch(t *testing.T) {
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

// A process finds no lease and writes its own, but the write takes effect only seconds later.
// Meanwhile another process has taken the lease and a restore has lost that tenure, so the
// delayed write's condition holds again. The process must not treat the result as a tenure.
func TestDelayedWriteFromEarlierEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := memtable.New()
		m.Restore(m.Backup())
		emptyBackup := m.Backup()
		delayed, other := &view{Table: m, applyDelay: 3 * time.Second}, &view{Table: m}
		c := startWithEpoch(t, delayed, "slow")
		waitUntil(t, "the delayed write", delayed.isPartitioned)
		other.epoch = m.Epoch()
		h := NewHolder(other, Config{Pool: "chat", Zone: "a", Identity: Identity{VM: "other", Process: "other"}, Epoch: other.Epoch})
		l, err := h.acquire(t.Context(), table.Row{}, Record{}, m.Epoch())
		if err != nil {
			t.Fatal(err)
		}
		other.setPartitioned(true)
		m.Restore(emptyBackup)
		time.Sleep(4 * time.Second) // the write has taken effect
		delayed.setPartitioned(false)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			if now := c.current(); c.holds() && now.Fence() <= l.Fence() {
				t.Fatalf("a tenure with fencing token %d after %d", now.Fence(), l.Fence())
			}
		}
	})
}
