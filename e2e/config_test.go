package e2e

import (
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// pausedEntry pauses an entry of a zone of three while the tree is edited. The
// edit is accepted only once the entry is off the roster. When it wakes, and
// callers still come to it, it never serves by the old version.
func (s *site) pausedEntry(zone string, through, paused *vm) {
	t := s.t
	t.Helper()
	await(t, "every VM follows the lapse rule", func() bool {
		vms := s.roster(zone).VMs
		for _, v := range vms {
			if !v.HasTimeout {
				return false
			}
		}
		return len(vms) == 3
	})
	old := func() request { return request{model: "second", prompt: promptOf(16)} }
	if r := s.ask(paused, old()); r.kind != whole {
		t.Fatalf("before the edit: %v", r)
	}

	paused.entry.signal(t, syscall.SIGSTOP)
	out, code := s.ctlAt(through, "config", "set", "pool language", "models", "chat", "--author", "e2e", "--wait", "1s")
	if code != 4 || !strings.Contains(out, "zone "+zone) {
		t.Errorf("with a silent VM on the roster an edit ended with code %d: %s", code, out)
	}
	s.mustCtl("config", "wait", "--timeout", patience.String())
	if names := s.roster(zone).Names(); slices.Contains(names, paused.name) {
		t.Errorf("accepted with the paused VM on the roster: %v", names)
	}

	// These reach the sleeping VM's socket and are taken when it wakes.
	var mu sync.Mutex
	var results []result
	var probes sync.WaitGroup
	for range 4 {
		probes.Go(func() {
			for end := time.Now().Add(4 * time.Second); time.Now().Before(end); {
				r := s.ask(paused, old())
				mu.Lock()
				results = append(results, r)
				mu.Unlock()
				time.Sleep(2 * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Second)
	paused.entry.signal(t, syscall.SIGCONT)
	probes.Wait()
	reasons := map[string]int{}
	for _, r := range results {
		reasons[string(r.reason)]++
	}
	t.Logf("probes of the woken VM: %v %v", tally(results), reasons)
	s.check(results, refused)
	await(t, "the woken VM is ready again", func() bool { return ready(paused) })
	if r := s.ask(paused, s.stream()); r.kind != whole {
		t.Errorf("after it synced: %v", r)
	}
}
