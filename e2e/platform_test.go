package e2e

import (
	"syscall"
	"testing"
	"time"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/standin/platform"
)

// TestPlatformFaults makes the platform unavailable for longer than a lease, then slow, then lose
// the responses to writes. Streams must continue throughout, and an engine that announces its
// shutdown meanwhile must get no new work. A call with an idempotency key must be refused as not
// run while it cannot be claimed, and run at most once.
func TestPlatformFaults(t *testing.T) {
	s := newSite(t)
	a, b := s.addVM("vm1", "a"), s.addVM("vm2", "a")
	s.addEngine("engine-1", "a", "language", "mixed", "checked")
	leaving := s.addEngine("engine-2", "a", "language", "mixed", "ignored", "--linger", "1m")
	s.addService("slots-1", "a")
	s.startAll()
	chats := s.startLoad(4, s.vms, s.newStream)
	calls := s.startLoad(2, s.vms, s.newCall)
	calls.awaitMore(5)

	s.setFaults(platform.Faults{
		Table: platform.TableFaults{Down: true}, Objects: platform.ObjectFaults{Down: true},
		Membership: platform.MembershipFaults{Down: true},
	})
	for i, v := range []*vm{a, b, a, b} {
		r := s.send(v, s.newCall())
		if r.kind != refused || r.reason != failure.ClaimUnavailable || r.retry == "" {
			t.Errorf("call %d without a platform: %v, Retry-After %q", i, r, r.retry)
		}
	}
	s.checkDrain(leaving, chats, func() { leaving.proc.signal(t, syscall.SIGTERM) })
	time.Sleep(2 * time.Second) // together with the steps above longer than a lease
	chats.awaitMore(10)
	s.setFaults(platform.Faults{})
	calls.awaitMore(5)
	// Only calls in flight when the platform became unavailable may have an unknown outcome.
	s.check(calls.stop(), complete, refused, unknown)

	s.setFaults(platform.Faults{Table: platform.TableFaults{SlowMillis: 300}, Objects: platform.ObjectFaults{SlowMillis: 300}})
	s.checkCallsUnderFaults(complete, refused)
	s.setFaults(platform.Faults{Table: platform.TableFaults{LoseAnswers: true}, Objects: platform.ObjectFaults{LoseAnswers: true}})
	s.checkCallsUnderFaults(complete, refused, unknown)
	s.setFaults(platform.Faults{Table: platform.TableFaults{ApplyAfterMillis: 200}})
	s.checkCallsUnderFaults(complete, refused, unknown)

	s.setFaults(platform.Faults{})
	s.mustCtl("config", "set", "pool language", "max-away", "2", "--author", "e2e", "--wait", waitTimeout.String())
	s.check(chats.stop(), complete)
}

// checkCallsUnderFaults sends calls under the active faults, then clears the faults and repeats
// the calls with the same keys, over the VMs in turn. Each call must have run at most once, and
// the repeat of a complete call must get the same response.
func (s *site) checkCallsUnderFaults(allowed ...outcome) {
	s.t.Helper()
	l := s.startLoad(4, s.vms, s.newCall)
	await(s.t, "16 results", func() bool { return l.count(complete)+l.count(refused)+l.count(unknown) >= 16 })
	results := l.stop()
	s.check(results, allowed...)
	s.setFaults(platform.Faults{})
	time.Sleep(500 * time.Millisecond) // for writes that are applied late
	var repeats []result
	for i, r := range results {
		again := s.send(s.vms[i%len(s.vms)], r.request)
		if r.kind == complete && (again.kind != complete || again.text != r.text) {
			s.t.Errorf("a repeat of %v got %v: %s, want %s", r, again, again.text, r.text)
		}
		repeats = append(repeats, again)
	}
	_, runs := s.executions()
	for _, r := range repeats {
		if n := runs[r.key]; n > 1 || r.kind == complete && n != 1 {
			s.t.Errorf("ran %d times: %v", n, r)
		}
	}
	s.t.Logf("repeats: %v", countOutcomes(repeats))
}
