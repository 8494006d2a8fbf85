package e2e

import (
	"syscall"
	"testing"

	standinengine "github.com/springweir/springweir/standin/engine"
)

// TestEngineKilledAndFrozen kills an engine during streams and later freezes it. Each stream must
// be resumed at the other engine and complete with the exact text, or end with a typed error.
// New requests must go to the working engine, and to the failed one again after it recovers.
func TestEngineKilledAndFrozen(t *testing.T) {
	s := newSite(t)
	s.pools = "[pool \"language\"]\nmodels = chat\nrole-planning = no\nfirst-token-timeout = 3s\nbetween-tokens-timeout = 3s\n"
	s.addVM("vm1", "a")
	s.addVM("vm2", "a")
	failing := s.addEngine("engine-1", "a", "language", "mixed", "checked")
	other := s.addEngine("engine-2", "a", "language", "mixed", "ignored")
	s.startAll()
	l := s.startLoad(8, s.vms, s.newStream)
	streaming := func() bool { return streamsInFlight(s.history(failing)) >= 3 }

	await(t, "streams at the engine to be killed", streaming)
	failing.proc.end()
	l.awaitMore(10)
	resumed := 0
	for _, a := range s.history(other).Attempts {
		if a.From > 0 && a.Whole {
			resumed++
		}
	}
	if resumed == 0 {
		t.Error("no stream was resumed from its last token")
	}
	s.startEndpoint(failing)
	await(t, "streams at the restarted engine", streaming)

	failing.proc.signal(t, syscall.SIGSTOP)
	await(t, "the frozen engine is ejected", func() bool { return s.ejected(failing) })
	l.awaitMore(10)
	failing.proc.signal(t, syscall.SIGCONT)
	before := len(s.history(failing).Attempts)
	await(t, "new work at the resumed engine", func() bool { return len(s.history(failing).Attempts) > before })

	results := l.stop()
	s.check(results, complete, interrupted)
	counts := countOutcomes(results)
	t.Logf("%d streams resumed after the kill", resumed)
	if counts[interrupted]*4 > counts[complete] {
		t.Errorf("more than a fifth of the streams were lost: %v", counts)
	}
}

// ejected reports whether the fleet status of the first VM shows an engine as ejected.
func (s *site) ejected(e *endpoint) bool {
	for _, seen := range s.status(s.vms[0]).Endpoints {
		if seen.Name == e.name {
			return seen.Ejected
		}
	}
	return false
}

// streamsInFlight counts the unfinished attempts that have computed more than five tokens.
func streamsInFlight(h standinengine.History) int {
	n := 0
	for _, a := range h.Attempts {
		if a.Ran && !a.Whole && a.To > a.From+5 {
			n++
		}
	}
	return n
}
