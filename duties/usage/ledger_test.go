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

// clocks are a time of day and a VM's clock that a test moves.
type clocks struct{ time.Time }

func (c *clocks) now() time.Time { return c.Time }

func (c *clocks) pass(d time.Duration) { c.Time = c.Add(d) }

// newClocks begins with window 100.
func newClocks() *clocks { return &clocks{time.Unix(500, 0).Add(sealSlack)} }

func (c *clocks) ledger(vm string) *Ledger {
	return NewLedger(Identity{VM: vm, Zone: "z"}, length, c.now, c.now)
}

// total adds up what ledgers know of a window, by organisation, and who is missing.
func total(w Window, ledgers ...*Ledger) (counts map[string]int, missing []string) {
	s := newSum(w)
	for _, l := range ledgers {
		s.add(l.Read(w))
	}
	counts = map[string]int{}
	for _, name := range []string{"north", "south"} {
		if n := s.counts()[Hash(name)]; n > 0 {
			counts[name] = int(n)
		}
	}
	return counts, s.missing()
}

func TestRequestsCountInTheWindowInWhichTheyBegin(t *testing.T) {
	c := newClocks()
	l := c.ledger("a")
	l.RequestStarted("north")
	kept, dropped := l.RequestSent("south"), l.RequestSent("south")
	c.pass(length)
	l.RequestStarted("north")
	l.RequestStarted("north")
	kept.Finish(true)
	dropped.Finish(false)
	if counts, _ := total(100, l); !cmp.Equal(counts, map[string]int{"north": 1, "south": 1}) {
		t.Errorf("the first window has %v", counts)
	}
	if counts, _ := total(101, l); !cmp.Equal(counts, map[string]int{"north": 2}) {
		t.Errorf("the second has %v", counts)
	}
}

// A window is sealed a little after its end, unless something that was sent in it is still open.
func TestSeal(t *testing.T) {
	c := newClocks()
	l := c.ledger("a")
	sealed := func() Window { return Window(l.Read(0)[0].Sealed) }
	if got := sealed(); got != 99 {
		t.Errorf("at first %d is sealed", got)
	}
	open := l.RequestSent("north")
	c.pass(length + sealSlack)
	if got := sealed(); got != 99 {
		t.Errorf("with an open run %d is sealed", got)
	}
	open.Finish(true)
	if got := sealed(); got != 100 {
		t.Errorf("then %d is sealed", got)
	}
	c.pass(length - 2*sealSlack)
	if got := sealed(); got != 100 {
		t.Errorf("before the end of the next %d is sealed", got)
	}
	c.pass(2 * sealSlack)
	if got := sealed(); got != 101 {
		t.Errorf("after it %d is sealed", got)
	}
}

// A process that has ended is not waited for.
func TestClosedLedgerIsNotMissed(t *testing.T) {
	c := newClocks()
	a, keeper := c.ledger("a"), c.ledger("keeper")
	a.RequestStarted("north")
	carry(a, false, never, keeper)
	a.Close()
	for range tellRounds {
		carry(a, false, never, keeper)
	}
	c.pass(length + sealSlack)
	if counts, missing := total(100, keeper); !cmp.Equal(counts, map[string]int{"north": 1}) || missing != nil {
		t.Errorf("got %v, missing %v", counts, missing)
	}
	c.pass(2 * length)
	if _, missing := total(102, keeper); missing != nil {
		t.Errorf("later missing %v", missing)
	}
}

// carry takes one round of a ledger to others, as datagrams do.
func carry(from *Ledger, forward bool, lost func() bool, to ...*Ledger) {
	for _, a := range from.Due(forward) {
		for _, l := range to {
			if !lost() {
				l.Take(proto.Clone(a).(*usagepb.Account))
			}
		}
	}
}

func never() bool { return false }

// However datagrams are lost, repeated or come in another order, a keeper ends with the counts of the
// processes, and an account outlasts its process.
func TestAccountsReachKeepers(t *testing.T) {
	for seed := range uint64(50) {
		r := rand.New(rand.NewPCG(seed, 1))
		lossy := func() bool { return r.IntN(10) == 0 }
		c := newClocks()
		a, b, keeper, far := c.ledger("a"), c.ledger("b"), c.ledger("keeper"), c.ledger("far")
		far.own.zone = "other"
		want := map[string]int{}
		var late []*usagepb.Account
		for range 100 {
			for _, l := range []*Ledger{a, b} {
				name := []string{"north", "south"}[r.IntN(2)]
				l.RequestStarted(name)
				want[name]++
				for _, m := range l.Due(false) {
					late = append(late, proto.Clone(m).(*usagepb.Account))
					if !lossy() {
						keeper.Take(m)
					}
				}
			}
			carry(keeper, true, lossy, far)
			c.pass(20 * time.Millisecond)
		}
		r.Shuffle(len(late), func(i, j int) { late[i], late[j] = late[j], late[i] })
		for _, m := range late {
			keeper.Take(m)
		}
		for range tellRounds {
			carry(keeper, true, never, far)
		}
		for name, l := range map[string]*Ledger{"keeper": keeper, "far": far} {
			if got, _ := total(100, l); !cmp.Equal(want, got) {
				t.Errorf("seed %d: %s has %v, want %v", seed, name, got, want)
			}
		}
	}
}

// A keeper does not pass on what it heard from another zone, and nobody believes another's word on
// what it counted itself.
func TestAccountsOfOthersAndTheOwn(t *testing.T) {
	c := newClocks()
	a, far := c.ledger("a"), c.ledger("far")
	far.own.zone = "other"
	far.RequestStarted("north")
	carry(far, false, never, a)
	for _, m := range a.Due(true) {
		if m.Zone != "z" {
			t.Errorf("passed on %v", m)
		}
	}
	a.RequestStarted("south")
	forged := a.Read(100)[0]
	forged.Count[0] = 99
	a.Take(forged)
	a.Take(&usagepb.Account{Vm: "x", Boot: 7, Window: 100, Organisation: []uint64{1}})
	if got, _ := total(100, a); !cmp.Equal(map[string]int{"north": 1, "south": 1}, got) {
		t.Errorf("got %v", got)
	}
}

func TestMissing(t *testing.T) {
	account := func(vm string, boot uint64, sealed Window, silent time.Duration) *usagepb.Account {
		return &usagepb.Account{Vm: vm, Boot: boot, Window: 100, Sealed: uint64(sealed), SilentMs: uint32(silent.Milliseconds())}
	}
	for _, tc := range []struct {
		name     string
		accounts []*usagepb.Account
		want     []string
	}{
		{"all sealed", []*usagepb.Account{account("a", 1, 100, 0), account("b", 2, 105, 0)}, nil},
		{"one has not", []*usagepb.Account{account("a", 1, 100, 0), account("b", 2, 99, 0)}, []string{"b"}},
		{"one keeper knows better", []*usagepb.Account{account("b", 2, 99, time.Second), account("b", 2, 100, 0)}, nil},
		{"its process has started again", []*usagepb.Account{account("b", 2, 99, 4*time.Second), account("b", 3, 100, 0)}, nil},
		{"the new process has not sealed it", []*usagepb.Account{account("b", 2, 100, 4*time.Second), account("b", 3, 99, 0)}, []string{"b"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newSum(100)
			s.add(tc.accounts)
			if diff := cmp.Diff(tc.want, s.missing()); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Processes that are gone and windows that are over are forgotten.
func TestLedgerStaysSmall(t *testing.T) {
	c := newClocks()
	l := c.ledger("keeper")
	for i := range 500 {
		a := c.ledger(fmt.Sprint("vm", i))
		a.RequestStarted("north")
		l.RequestStarted("north")
		carry(a, false, never, l)
		c.pass(length)
	}
	if n := len(l.others); n > int(accountMemory/length)+1 {
		t.Errorf("%d processes are kept", n)
	}
	l.Due(false)
	if n := len(l.own.windows); n > keptWindows+2 {
		t.Errorf("%d windows are kept", n)
	}
}
