package lease

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/internal/fakeprocess"
	"github.com/springweir/springweir/table"
	"github.com/springweir/springweir/table/memtable"
)

// contender is a running Holder and its current tenure.
type contender struct {
	fakeprocess.Process
	holder *Holder
	stop   context.CancelFunc
	done   chan struct{}

	mu    sync.Mutex
	lease *Lease
	cause error
}

func (c *contender) current() *Lease {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lease
}

// holds reports whether the contender has authority by its own clock.
func (c *contender) holds() bool {
	l := c.current()
	if l == nil {
		return false
	}
	_, err := l.Authority()
	return err == nil
}

func start(t *testing.T, svc table.Service, name string, rank int) *contender {
	t.Helper()
	return startRanked(t, svc, name, func() int { return rank })
}

func startRanked(t *testing.T, svc table.Service, name string, rank func() int) *contender {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	c := &contender{stop: stop, done: make(chan struct{})}
	c.holder = NewHolder(c.WrapTable(svc), Config{
		Pool:     "chat",
		Zone:     "a",
		Identity: Identity{VM: name, Process: name, Address: name},
		Rank:     rank,
	})
	go func() {
		defer close(c.done)
		c.holder.Run(ctx, func(ctx context.Context, l *Lease) {
			c.mu.Lock()
			c.lease = l
			c.mu.Unlock()
			<-ctx.Done()
			c.mu.Lock()
			c.cause = context.Cause(ctx)
			c.mu.Unlock()
		})
	}()
	t.Cleanup(func() {
		stop()
		<-c.done
	})
	return c
}

// waitUntil waits in virtual time for a condition and returns how long that took.
func waitUntil(t *testing.T, what string, cond func() bool) time.Duration {
	startedAt := time.Now()
	for !cond() {
		if time.Since(startedAt) > time.Hour {
			t.Fatalf("condition not met within an hour: %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(startedAt)
}

// Guards against a VM that waits for the end of a lease that its own earlier process held, and against another VM that
// does not.
func TestRestartedVMResumesItsLease(t *testing.T) {
	for _, tc := range []struct {
		name, vm      string
		singleProcess bool
		atMost        time.Duration
		atLeast       time.Duration
	}{
		{"the same VM", "a", true, DefaultPoll, 0},
		{"the same VM, which may run several processes", "a", false, time.Hour, DefaultTTL - DefaultRenew},
		{"another VM", "b", true, time.Hour, DefaultTTL - DefaultRenew},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				svc := memtable.New()
				first := start(t, svc, "a", 0)
				waitUntil(t, "the first tenure", first.holds)
				time.Sleep(time.Minute)
				first.Kill()
				ctx, stop := context.WithCancel(t.Context())
				var next atomic.Pointer[Lease]
				var running sync.WaitGroup
				running.Go(func() {
					NewHolder(svc, Config{
						Pool: "chat", Zone: "a", Identity: Identity{VM: tc.vm, Process: "later", Address: "later"}, SingleProcess: tc.singleProcess,
					}).Run(ctx, func(ctx context.Context, l *Lease) {
						next.Store(l)
						<-ctx.Done()
					})
				})
				took := waitUntil(t, "the next tenure", func() bool { return next.Load() != nil })
				if took > tc.atMost || took < tc.atLeast {
					t.Errorf("took %v", took)
				}
				if l := next.Load(); l.Fence() <= first.current().Fence() || l.SameVM() != (tc.vm == "a") || l.First() {
					t.Errorf("fence %d, same VM %v, first %v", l.Fence(), l.SameVM(), l.First())
				}
				stop()
				running.Wait()
			})
		})
	}
}

// Guards against a lease that nobody takes for a minute and more: a contender that moves up, since those before it are lost,
// looked at the row only when its next read as a distant contender was due.
func TestContenderThatMovesUpTakesTheLease(t *testing.T) {
	for range 20 {
		synctest.Test(t, func(t *testing.T) {
			svc := memtable.New()
			first := start(t, svc, "a", 0)
			waitUntil(t, "the first tenure", first.holds)
			time.Sleep(time.Minute)
			first.Kill()
			startedAt := time.Now()
			next := startRanked(t, svc, "b", func() int {
				if time.Since(startedAt) < 2*time.Second {
					return activeContenders + 3
				}
				return 0
			})
			took := waitUntil(t, "the next tenure", next.holds)
			if limit := 2*time.Second + 3*DefaultPoll + DefaultTTL; took > limit {
				t.Errorf("took %v, want at most %v", took, limit)
			}
		})
	}
}

func TestTakeoverWait(t *testing.T) {
	now := time.Now()
	row := table.Row{Version: 4}
	obs := observation{version: 4, firstSeen: now.Add(-2 * time.Second)}
	for _, tc := range []struct {
		name string
		row  table.Row
		rec  Record
		want time.Duration
	}{
		{"absent", table.Row{}, Record{}, 0},
		{"released", row, Record{Released: true, TTLMillis: 9000}, 0},
		{"observed for a part of the TTL", row, Record{TTLMillis: 9000}, 7 * time.Second},
		{"a holder with a longer lease", row, Record{TTLMillis: 20000}, 18 * time.Second},
		{"a holder with a shorter lease", row, Record{TTLMillis: 1}, 7 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := takeoverWait(tc.row, tc.rec, obs, DefaultTTL, now)
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}

// A paused holder is replaced after one lease duration, never has authority at the same time as
// its successor, and has lost the lease when it resumes.
func TestPausedHolderIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		svc := memtable.New()
		a := start(t, svc, "a", 0)
		waitUntil(t, "a leads", a.holds)
		old := a.current()
		b := start(t, svc, "b", 0)
		time.Sleep(time.Minute)
		if b.holds() {
			t.Fatal("b leads while the holder is alive")
		}
		a.Pause()
		wait := waitUntil(t, "b leads", func() bool {
			if a.holds() && b.holds() {
				t.Fatal("two holders have authority at the same time")
			}
			return b.holds()
		})
		if wait < DefaultTTL-DefaultRenew*3/2 || wait > DefaultTTL+DefaultPoll*2 {
			t.Errorf("successor took over after %v", wait)
		}
		if got := b.current().Fence(); got != old.Fence()+1 {
			t.Errorf("fence %d after %d", got, old.Fence())
		}
		a.Resume()
		waitUntil(t, "a has lost the lease", func() bool { return a.current() != old || !a.holds() })
	})
}

// Without relying on clocks, the check of the lease's row keeps a superseded holder from writing.
func TestCommitChecksLeaseRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		svc := memtable.New()
		h := NewHolder(svc, Config{Pool: "chat", Zone: "a", Identity: Identity{Process: "old"}})
		old, err := h.acquire(t.Context(), table.Row{}, Record{}, 0)
		if err != nil {
			t.Fatal(err)
		}
		key := table.Key{Table: "x", Row: "y"}
		write := func(version table.Version) error {
			txn := table.Txn{Checks: []table.Check{{Key: key, Version: version}}, Writes: []table.Write{{Key: key, Value: []byte("v")}}}
			_, err := old.Commit(t.Context(), txn, func(table.Row) bool { return false })
			return err
		}
		// A renewal that the Lease has not recorded yet: the same tenure at a new version.
		if _, err := old.write(t.Context(), 1, old.record()); err != nil {
			t.Fatal(err)
		}
		if err := write(table.Absent); err != nil {
			t.Errorf("after a renewal: %v", err)
		}
		successor := NewHolder(svc, Config{Pool: "chat", Zone: "a", Identity: Identity{Process: "new"}})
		rows, _ := svc.Get(t.Context(), Key("chat", "a"))
		rec, _ := Decode(rows[0])
		if _, err := successor.acquire(t.Context(), rows[0], rec, 0); err != nil {
			t.Fatal(err)
		}
		var lost *LostError
		if err := write(1); !errors.As(err, &lost) || lost.Cause != Superseded {
			t.Errorf("after a takeover: got %v, want superseded", err)
		}
	})
}

func TestReleaseHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		svc := memtable.New()
		a := start(t, svc, "a", 0)
		waitUntil(t, "a leads", a.holds)
		b := start(t, svc, "b", 0)
		time.Sleep(time.Minute)
		before := a.current().Fence()
		a.stop()
		<-a.done
		if wait := waitUntil(t, "b leads", b.holds); wait > DefaultPoll*3/2 {
			t.Errorf("hand-over took %v", wait)
		}
		if got := b.current().Fence(); got != before+1 {
			t.Errorf("fence %d after %d", got, before)
		}
	})
}

// An outage ends the authority in time, and the context of lead has the loss as its cause. After
// the outage the lease is acquired again.
func TestTableDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		svc := memtable.New()
		a := start(t, svc, "a", 0)
		waitUntil(t, "a leads", a.holds)
		time.Sleep(time.Minute)
		svc.SetDown(true)
		wait := waitUntil(t, "a loses its authority", func() bool { return !a.holds() })
		if wait > DefaultTTL {
			t.Errorf("authority lasted %v into the outage", wait)
		}
		synctest.Wait()
		var lost *LostError
		if !errors.As(a.cause, &lost) || lost.Cause != Expired {
			t.Errorf("the context's cause is %v, want expired", a.cause)
		}
		time.Sleep(10 * time.Minute)
		svc.SetDown(false)
		waitUntil(t, "a leads again", a.holds)
	})
}

// One write in four loses its response and another takes effect late. There must be at most one
// holder at a time, and the lease must be held nearly all the time.
func TestLostResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		svc := memtable.New()
		calls := 0
		svc.SetHook(func(c memtable.Call) memtable.Fault {
			if c.Op != memtable.OpCommit {
				return memtable.Fault{}
			}
			calls++
			switch calls % 4 {
			case 0:
				return memtable.Fault{LoseResponse: true}
			case 1:
				return memtable.Fault{ApplyAfter: 300 * time.Millisecond}
			}
			return memtable.Fault{}
		})
		a, b := start(t, svc, "a", 0), start(t, svc, "b", 0)
		held := 0
		for range 6000 {
			time.Sleep(100 * time.Millisecond)
			if a.holds() && b.holds() {
				t.Fatal("two holders have authority at the same time")
			}
			if a.holds() || b.holds() {
				held++
			}
		}
		if held < 5900 {
			t.Errorf("the lease was held in %d of 6000 samples, want at least 5900", held)
		}
	})
}

// The load of one lease on the table service must stay within what the package documentation
// states.
func TestTableLoad(t *testing.T) {
	for _, tc := range []struct {
		contenders    int
		reads, writes float64 // a second
	}{
		{8, 1.5, 0.4},
		{63, 2.8, 0.4},
	} {
		t.Run(fmt.Sprint(tc.contenders), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				svc := memtable.New()
				for i := range tc.contenders {
					start(t, svc, fmt.Sprint(i), i)
				}
				time.Sleep(5 * time.Minute)
				before := svc.Counts()
				time.Sleep(time.Hour)
				after := svc.Counts()
				reads := float64(after.Gets-before.Gets) / time.Hour.Seconds()
				writes := float64(after.Commits-before.Commits) / time.Hour.Seconds()
				t.Logf("%d contenders: %.2f reads/s, %.2f writes/s", tc.contenders, reads, writes)
				if reads > tc.reads || writes > tc.writes {
					t.Errorf("%.2f reads/s, %.2f writes/s, want at most %v and %v", reads, writes, tc.reads, tc.writes)
				}
			})
		})
	}
}
