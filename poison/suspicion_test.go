package poison

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/loadshare"
	"github.com/springweir/springweir/loadshare/sharepb"
	"github.com/springweir/springweir/relay"
)

// suspicionOf returns the crashes that a named request is suspected of, from its own origin.
func (l *testLedger) suspicionOf(name string) int {
	crashes := l.Suspicion(Identity{Key: key(name), Origin: Origin(name[0])}).Crashes
	return crashes
}

// ledgerOf returns a ledger of crashes, each with the requests named by its letters (see suspectsNamed).
// The cleared ones have received a complete response since.
func ledgerOf(crashes []string, cleared string) *testLedger {
	l := newTestLedger()
	for i, names := range crashes {
		l.RecordCrash(Crash{ID: uint64(i + 1), Suspects: suspectsNamed(names)})
	}
	for _, c := range cleared {
		l.Clear(key(string(c)), Origin(c))
	}
	return l
}

// A request is suspected of the crashes at which it was at work, but not of those that another
// request explains better, and not of a single one while endpoints crash by themselves.
func TestSuspicion(t *testing.T) {
	for _, tc := range []struct {
		name    string
		crashes []string
		// cleared requests receive a complete response after the crashes.
		cleared string
		wait    time.Duration
		want    map[string]int
	}{
		{name: "all that ran at one crash", crashes: []string{"ab"}, want: map[string]int{"a": 1, "b": 1, "c": 0}},
		{name: "requests that had emitted events", crashes: []string{"aB"}, want: map[string]int{"a": 1, "b": 0}},
		{name: "two crashes", crashes: []string{"a", "a"}, want: map[string]int{"a": 2}},
		{name: "a crash explained by another request", crashes: []string{"a", "ab"}, want: map[string]int{"a": 2, "b": 0}},
		{name: "two that were always together", crashes: []string{"ab", "ab"}, want: map[string]int{"a": 2, "b": 2}},
		{name: "a cleared request", crashes: []string{"ab"}, cleared: "a", want: map[string]int{"a": 0, "b": 1}},
		{name: "after a crash that none had caused", crashes: []string{"a", "b"}, cleared: "a", want: map[string]int{"b": 0}},
		{name: "twice after such a crash", crashes: []string{"a", "b", "b"}, cleared: "a", want: map[string]int{"b": 2}},
		{name: "long after such a crash", crashes: []string{"a", "b"}, cleared: "a", wait: spontaneousRetention + time.Second, want: map[string]int{"b": 1}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := ledgerOf(tc.crashes, tc.cleared)
			l.advance(tc.wait)
			for name, want := range tc.want {
				if got := l.suspicionOf(name); got != want {
					t.Errorf("%s is suspected of %d crashes, want %d", name, got, want)
				}
			}
		})
	}
}

// A single crash makes a request a bystander only while endpoints appear to crash by themselves: callers do
// not repeat the requests that ran there. A request that comes again keeps its crash from appearing so.
func TestUnrepeatedCrashAppearsSpontaneous(t *testing.T) {
	for _, tc := range []struct {
		name    string
		arrival string
		// again is whether the request a was at work at a further crash.
		again bool
		wait  time.Duration
		want  int
	}{
		{name: "none has come again", wait: repeatWait + time.Second, want: 0},
		{name: "too early to tell", wait: repeatWait - time.Second, want: 1},
		{name: "long ago", wait: spontaneousRetention + time.Second, want: 1},
		{name: "a request has come again", arrival: "another", wait: repeatWait + time.Second, want: 1},
		{name: "it was planned anew", arrival: "a", wait: repeatWait + time.Second, want: 0},
		{name: "a request was at two crashes", again: true, wait: repeatWait + time.Second, want: 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := newTestLedger()
			first := suspectsNamed("a")
			first[0].Request = "a"
			l.RecordCrash(Crash{ID: 1, Suspects: first})
			if tc.again {
				l.RecordCrash(Crash{ID: 2, Suspects: suspectsNamed("a")})
			}
			if tc.arrival != "" {
				l.RecordArrival(Identity{Key: key("a"), Origin: 'a'}, tc.arrival)
			}
			l.advance(tc.wait)
			l.RecordCrash(Crash{ID: 3, Suspects: suspectsNamed("b")})
			e := l.Suspicion(Identity{Key: key("b"), Origin: 'b'})
			got, bystander := e.Crashes, e.Bystander
			if got != tc.want || bystander != (tc.want == 0) {
				t.Errorf("suspected of %d crashes, want %d; bystander: %t", got, tc.want, bystander)
			}
		})
	}
}

// Guards against a VM that was suspended and sends a request at once, though the announcement of a crash
// that it has caused waits to be processed.
func TestSuspendedVMProcessesAnnouncementsFirst(t *testing.T) {
	for _, stalled := range []bool{false, true} {
		t.Run(fmt.Sprint("stalled=", stalled), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newTestRegion(t, 1)
				defer r.stopAll()
				g, q := r.vms["vm0"], request("c", "id", "poison")
				received := make(chan struct{})
				if stalled {
					g.cfg.AwaitCatchUp = func() { <-received }
				}
				key := KeyOf(q)
				go func() {
					defer close(received)
					g.Receive(loadshare.Announcement{Crashes: []*sharepb.Crash{{Id: 1, Suspects: []*sharepb.Suspect{{Key: key[:], Origin: uint32(OriginOf(q))}}}}})
				}()
				if suspicion, _ := g.Check(q); (suspicion.Crashes == 1) != stalled {
					t.Errorf("suspected of %d crashes", suspicion.Crashes)
				}
			})
		})
	}
}

// Guards against a request that takes the last endpoint because another one, which was at more crashes,
// explains its first.
func TestBystander(t *testing.T) {
	for _, tc := range []struct {
		name    string
		crashes []string
		want    bool
	}{
		{name: "the only suspect", crashes: []string{"a"}},
		{name: "beside another one", crashes: []string{"ab"}},
		{name: "beside another one that was at a further crash", crashes: []string{"ab", "b"}, want: true},
		{name: "elsewhere", crashes: []string{"b", "b"}},
		{name: "after events, beside one that had none", crashes: []string{"Ab", "b"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := ledgerOf(tc.crashes, "")
			if got := l.Suspicion(Identity{Key: key("a"), Origin: 'a'}).Bystander; got != tc.want {
				t.Errorf("bystander: %t", got)
			}
		})
	}
}

// Two requests that crash endpoints are told apart from one by crashes that have no suspect in common.
func TestOthersSuspected(t *testing.T) {
	for _, tc := range []struct {
		name    string
		crashes []string
		cleared string
		want    bool
	}{
		{name: "its own crash", crashes: []string{"ab"}},
		{name: "another crash", crashes: []string{"ab", "c"}, want: true},
		{name: "another crash, without suspects", crashes: []string{"ab", ""}},
		{name: "another crash, its suspects cleared", crashes: []string{"ab", "c"}, cleared: "c"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := ledgerOf(tc.crashes, tc.cleared)
			if got := l.OthersSuspected(Identity{Key: key("a")}); got != tc.want {
				t.Errorf("others suspected: %t", got)
			}
		})
	}
}

// A request from another origin is suspected only if nothing else of the original origin was at
// work: otherwise a caller could hold back another's request by sending a copy beside a harmful one.
func TestSuspicionOfOtherOrigins(t *testing.T) {
	victim, harmful := key("victim"), key("harmful")
	l := newTestLedger()
	l.RecordCrash(Crash{ID: 1, Suspects: []Suspect{{Key: victim, Origin: 7}, {Key: harmful, Origin: 7}}})
	if got := l.Suspicion(Identity{Key: victim, Origin: 8}).Crashes; got != 0 {
		t.Errorf("suspected of %d crashes from another origin", got)
	}
	if got := l.Suspicion(Identity{Key: victim, Origin: 7}).Crashes; got != 1 {
		t.Errorf("suspected of %d crashes from the origin of the copy", got)
	}
}

// Requests that had a complete response shortly before a crash are not suspects, so that one which
// many callers send is not held back for them all. A crash without suspects is reported all the same.
func TestCompletedRequestIsNoSuspect(t *testing.T) {
	for _, tc := range []struct {
		name string
		age  time.Duration
		want int
	}{
		{"shortly before", time.Second, 0},
		{"long before", completedRetention + time.Second, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			var crashes []Crash
			r := NewRunTracker(RunTrackerConfig{
				Now: func() time.Time { return now }, OnCrash: func(c Crash) { crashes = append(crashes, c) },
				Down: func(context.Context, *directory.Endpoint, func()) bool { return true },
			})
			e := endpoint("e")
			r.RecordEnd(request("caller", "first", "body"), e, relay.RunEnd{Outcome: relay.RunCompleted})()
			now = now.Add(tc.age)
			r.RecordEnd(request("caller", "second", "body"), e, relay.RunEnd{Outcome: relay.RunAbandoned})()
			r.RecordRemoteCrash(e)
			if len(crashes) != 1 || len(crashes[0].Suspects) != tc.want {
				t.Errorf("reported %+v, want one crash with %d suspects", crashes, tc.want)
			}
		})
	}
}

// The memory of completed requests is bounded and drops the oldest first.
func TestCompletedRequestsAreBounded(t *testing.T) {
	c, now := newCompletedRequests(1), time.Unix(1000, 0)
	first, second := c.fingerprint(request("c", "1", "first")), c.fingerprint(request("c", "2", "second"))
	c.add(first, now)
	c.add(second, now)
	c.add(first, now)
	for i := range maxCompleted - 1 {
		c.add(c.fingerprint(request("c", "3", fmt.Sprint("other ", i))), now)
	}
	if len(c.at.values) != maxCompleted || len(c.at.order) != maxCompleted {
		t.Errorf("%d fingerprints in a list of %d", len(c.at.values), len(c.at.order))
	}
	if c.contains(first, now) || !c.contains(second, now) {
		t.Error("another fingerprint than the oldest was dropped")
	}
}

// The cost of a complete response: the fingerprint of a request of 30 KB, and its record.
func BenchmarkRecordCompleted(b *testing.B) {
	r := NewRunTracker(RunTrackerConfig{})
	q := request("caller", "id", string(make([]byte, 30<<10)))
	b.ReportAllocs()
	for b.Loop() {
		r.recordCompleted(q, time.Unix(1000, 0))
	}
}

// The cost of a check while a suspect of a crash with 24 requests is known.
func BenchmarkSuspicion(b *testing.B) {
	l := newTestLedger()
	for id := range uint64(2) {
		l.RecordCrash(Crash{ID: id, Suspects: suspectsNamed("abcdefghijklmnopqrstuvwx")})
	}
	k := key("a")
	for b.Loop() {
		l.Suspicion(Identity{Key: k, Origin: 'a'})
	}
}
