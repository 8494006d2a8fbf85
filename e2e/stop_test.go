package e2e

import (
	"syscall"
	"testing"
	"time"
)

// newPair starts a site of one zone with two VMs, two engines and a service.
func newPair(t *testing.T) (s *site, a, b *vm) {
	t.Helper()
	s = newSite(t)
	a, b = s.addVM("vm1", "a"), s.addVM("vm2", "a")
	s.addEngine("engine-1", "a", "language", "mixed", "checked")
	s.addEngine("engine-2", "a", "language", "mixed", "ignored")
	s.addService("slots-1", "a")
	s.startAll()
	return s, a, b
}

// TestSignalsCutNothing checks that neither SIGHUP, while an entry and a controller serve or stop, nor a second SIGTERM
// ends them before their requests. Every request must get a complete response.
func TestSignalsCutNothing(t *testing.T) {
	s := newSite(t)
	a := s.addVM("vm1", "a")
	s.addVM("vm2", "a")
	s.addEngine("engine-1", "a", "language", "mixed", "checked", "--speed", "0.33")
	s.addEngine("engine-2", "a", "language", "mixed", "ignored", "--speed", "0.33")
	s.addService("slots-1", "a")
	s.startAll()
	l := s.startLoad(8, s.vms, func() request { return request{model: "chat", prompt: promptOf(90)} }, s.newCall)
	l.awaitMore(10)
	l.awaitStream(a)
	for _, p := range []*process{a.entry, a.controller} {
		p.signal(t, syscall.SIGHUP)
	}
	l.awaitMore(10)
	l.awaitStream(a)
	for _, signal := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
		a.entry.signal(t, signal)
		time.Sleep(100 * time.Millisecond)
	}
	a.entry.awaitExit(t)
	s.startEntry(a)
	await(t, "the restarted entry is ready", func() bool { return ready(a) })
	l.awaitMore(10)
	a.controller.signal(t, syscall.SIGTERM)
	a.controller.signal(t, syscall.SIGHUP)
	a.controller.awaitExit(t)
	s.check(l.stop(), complete)
}

// TestPlannedStopsCutNothing stops a controller, an entry, and both programs of a VM under load.
// The entries have open streams that last much longer than balancerDelay. Every request must get
// a complete response.
func TestPlannedStopsCutNothing(t *testing.T) {
	s := newSite(t)
	a, b := s.addVM("vm1", "a"), s.addVM("vm2", "a")
	s.addEngine("engine-1", "a", "language", "mixed", "checked", "--speed", "0.33")
	s.addEngine("engine-2", "a", "language", "mixed", "ignored", "--speed", "0.33")
	s.addService("slots-1", "a")
	s.startAll()
	long := func() request { return request{model: "chat", prompt: promptOf(90)} }
	l := s.startLoad(8, s.vms, long, long, long, s.newCall)
	l.awaitMore(10)

	a.controller.signal(t, syscall.SIGTERM)
	a.controller.awaitExit(t)
	s.startController(a)
	l.awaitMore(10)

	l.awaitStream(a)
	stopped := map[*vm]time.Time{a: time.Now()}
	a.entry.signal(t, syscall.SIGTERM)
	a.entry.awaitExit(t)
	s.startEntry(a)
	await(t, "the restarted entry is ready", func() bool { return ready(a) })

	l.awaitStream(b)
	stopped[b] = time.Now()
	b.entry.signal(t, syscall.SIGTERM)
	b.controller.signal(t, syscall.SIGTERM)
	b.entry.awaitExit(t)
	b.controller.awaitExit(t)
	l.awaitMore(10)

	results := l.stop()
	for v, at := range stopped {
		n := 0
		for _, r := range results {
			if r.vm == v.name && r.startedAt.Before(at) && r.startedAt.Add(r.elapsed).After(at.Add(balancerDelay)) {
				n++
			}
		}
		t.Logf("%d streams of %s continued after it refused new requests", n, v.name)
		if n == 0 {
			t.Errorf("no stream of %s was open that long: the case was not exercised", v.name)
		}
	}
	s.check(results, complete)
}
