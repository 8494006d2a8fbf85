package usage

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"github.com/springweir/springweir/duties/usage/usagepb"
)

const length = 5 * time.Second

// testClock serves as wall clock and as the VM's clock, and is advanced by the test.
type testClock struct{ time.Time }

func (c *testClock) now() time.Time { return c.Time }

func (c *testClock) advance(d time.Duration) { c.Time = c.Add(d) }

// newTestClock returns a clock at the start of window 100.
func newTestClock() *testClock { return &testClock{time.Unix(500, 0).Add(sealDelay)} }

func (c *testClock) ledger(vm string) *Ledger {
	return NewLedger(Identity{VM: vm, Zone: "z"}, length, c.now, c.now)
}

// totals sums the ledgers' counts of a window by organisation, and returns the VMs that have not
// sealed it.
func totals(w Window, ledgers ...*Ledger) (counts map[string]int, unsealed []string) {
	s := newSum(w)
	for _, l := range ledgers {
		s.add(l.Read(w))
	}
	counts = map[string]int{}
	for _, name := range []string{"north", "south"} {
		if count := s.counts()[Hash(name)]; count > 0 {
			counts[name] = int(count)
		}
	}
	return counts, s.unsealed()
}

func TestRequestsCountInStartWindow(t *testing.T) {
	c := newTestClock()
	l := c.ledger("a")
	l.RequestStarted("north")
	run, notRun := l.RequestSent("south"), l.RequestSent("south")
	c.advance(length)
	l.RequestStarted("north")
	l.RequestStarted("north")
	run.Finish(true)
	notRun.Finish(false)
	if counts, _ := totals(100, l); !cmp.Equal(counts, map[string]int{"north": 1, "south": 1}) {
		t.Errorf("counts of the first window: %v", counts)
	}
	if counts, _ := totals(101, l); !cmp.Equal(counts, map[string]int{"north": 2}) {
		t.Errorf("counts of the second window: %v", counts)
	}
}

// A window is sealed shortly after its end, unless a request sent in it is still in flight.
func TestSeal(t *testing.T) {
	c := newTestClock()
	l := c.ledger("a")
	sealed := func() Window { return Window(l.Read(0)[0].Sealed) }
	if got := sealed(); got != 99 {
		t.Errorf("initially sealed: window %d", got)
	}
	run := l.RequestSent("north")
	c.advance(length + sealDelay)
	if got := sealed(); got != 99 {
		t.Errorf("sealed with a run in flight: window %d", got)
	}
	run.Finish(true)
	if got := sealed(); got != 100 {
		t.Errorf("sealed after the run finished: window %d", got)
	}
	c.advance(length - 2*sealDelay)
	if got := sealed(); got != 100 {
		t.Errorf("sealed before the end of the next window: window %d", got)
	}
	c.advance(2 * sealDelay)
	if got := sealed(); got != 101 {
		t.Errorf("sealed after the end of the next window: window %d", got)
	}
}

// A process that has ended counts as sealed in its last and all later windows.
func TestClosedLedgerIsSealed(t *testing.T) {
	c := newTestClock()
	a, replica := c.ledger("a"), c.ledger("keeper")
	a.RequestStarted("north")
	deliver(a, false, never, replica)
	a.Close()
	for range sendRounds {
		deliver(a, false, never, replica)
	}
	c.advance(length + sealDelay)
	if counts, unsealed := totals(100, replica); !cmp.Equal(counts, map[string]int{"north": 1}) || unsealed != nil {
		t.Errorf("got %v, not sealed by %v", counts, unsealed)
	}
	c.advance(2 * length)
	if _, unsealed := totals(102, replica); unsealed != nil {
		t.Errorf("later window not sealed by %v", unsealed)
	}
}

// deliver delivers the messages of one round of a ledger to others, as datagrams do.
func deliver(from *Ledger, forward bool, lost func() bool, to ...*Ledger) {
	for _, a := range from.Due(forward) {
		for _, l := range to {
			if !lost() {
				l.Take(proto.Clone(a).(*usagepb.Account))
			}
		}
	}
}

func never() bool { return false }

// Despite lost, duplicated and reordered datagrams, a replica ends up with the counts of the
// processes. Another zone receives them through the replica, without the processes themselves.
func TestAccountsReachReplicas(t *testing.T) {
	for seed := range uint64(50) {
		r := rand.New(rand.NewPCG(seed, 1))
		lossy := func() bool { return r.IntN(10) == 0 }
		c := newTestClock()
		a, b, replica, remote := c.ledger("a"), c.ledger("b"), c.ledger("keeper"), c.ledger("far")
		remote.local.zone = "other"
		want := map[string]int{}
		var duplicates []*usagepb.Account
		for range 100 {
			for _, l := range []*Ledger{a, b} {
				name := []string{"north", "south"}[r.IntN(2)]
				l.RequestStarted(name)
				want[name]++
				for _, m := range l.Due(false) {
					duplicates = append(duplicates, proto.Clone(m).(*usagepb.Account))
					if !lossy() {
						replica.Take(m)
					}
				}
			}
			deliver(replica, true, lossy, remote)
			c.advance(20 * time.Millisecond)
		}
		r.Shuffle(len(duplicates), func(i, j int) { duplicates[i], duplicates[j] = duplicates[j], duplicates[i] })
		for _, m := range duplicates {
			replica.Take(m)
		}
		for range sendRounds {
			deliver(replica, true, never, remote)
		}
		for name, l := range map[string]*Ledger{"keeper": replica, "far": remote} {
			if got, _ := totals(100, l); !cmp.Equal(want, got) {
				t.Errorf("seed %d: %s has %v, want %v", seed, name, got, want)
			}
		}
	}
}

// A replica does not forward accounts received from another zone, and a ledger ignores accounts
// from others that claim to be its local one.
func TestForwardOnlyLocalZoneAndIgnoreForgedLocal(t *testing.T) {
	c := newTestClock()
	a, remote := c.ledger("a"), c.ledger("far")
	remote.local.zone = "other"
	remote.RequestStarted("north")
	deliver(remote, false, never, a)
	for _, m := range a.Due(true) {
		if m.Zone != "z" {
			t.Errorf("forwarded %v", m)
		}
	}
	a.RequestStarted("south")
	forged := a.Read(100)[0]
	forged.Count[0] = 99
	a.Take(forged)
	a.Take(&usagepb.Account{Vm: "x", Boot: 7, Window: 100, Organisation: []uint64{1}})
	if got, _ := totals(100, a); !cmp.Equal(map[string]int{"north": 1, "south": 1}, got) {
		t.Errorf("got %v", got)
	}
}

func TestUnsealed(t *testing.T) {
	account := func(vm string, boot uint64, sealed Window, sinceSeen time.Duration) *usagepb.Account {
		return &usagepb.Account{Vm: vm, Boot: boot, Window: 100, Sealed: uint64(sealed), SilentMs: uint32(sinceSeen.Milliseconds())}
	}
	for _, tc := range []struct {
		name     string
		accounts []*usagepb.Account
		want     []string
	}{
		{"all sealed", []*usagepb.Account{account("a", 1, 100, 0), account("b", 2, 105, 0)}, nil},
		{"one VM has not sealed it", []*usagepb.Account{account("a", 1, 100, 0), account("b", 2, 99, 0)}, []string{"b"}},
		{"another replica has a newer account", []*usagepb.Account{account("b", 2, 99, time.Second), account("b", 2, 100, 0)}, nil},
		{"its process has restarted", []*usagepb.Account{account("b", 2, 99, 4*time.Second), account("b", 3, 100, 0)}, nil},
		{"the new process has not sealed it", []*usagepb.Account{account("b", 2, 100, 4*time.Second), account("b", 3, 99, 0)}, []string{"b"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newSum(100)
			s.add(tc.accounts)
			if diff := cmp.Diff(tc.want, s.unsealed()); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Ended processes and past windows are removed from a ledger.
func TestLedgerDropsOldEntries(t *testing.T) {
	c := newTestClock()
	replica := c.ledger("keeper")
	for i := range 500 {
		a := c.ledger(fmt.Sprint("vm", i))
		a.RequestStarted("north")
		replica.RequestStarted("north")
		deliver(a, false, never, replica)
		c.advance(length)
	}
	if n := len(replica.remote); n > int(accountTTL/length)+1 {
		t.Errorf("%d processes retained", n)
	}
	replica.Due(false)
	if n := len(replica.local.windows); n > retainedWindows+2 {
		t.Errorf("%d windows retained", n)
	}
}
