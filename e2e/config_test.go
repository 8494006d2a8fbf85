package e2e

import (
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// checkPausedEntry pauses an entry in a zone of three VMs while the settings tree is edited. The
// edit must be accepted only after the entry was removed from the roster. Once resumed, the entry
// must refuse requests until it has synchronised, and never serve with the old version.
func (s *site) checkPausedEntry(zone string, through, paused *vm) {
	t := s.t
	t.Helper()
	await(t, "every VM applies the contact timeout", func() bool {
		vms := s.roster(zone).VMs
		for _, v := range vms {
			if !v.HasTimeout {
				return false
			}
		}
		return len(vms) == 3
	})
	old := func() request { return request{model: "second", prompt: promptOf(16)} }
	if r := s.send(paused, old()); r.kind != complete {
		t.Fatalf("before the edit: %v", r)
	}

	paused.entry.signal(t, syscall.SIGSTOP)
	out, code := s.ctlAt(through, "config", "set", "pool language", "models", "chat", "--author", "e2e", "--wait", "1s")
	if code != 4 || !strings.Contains(out, "zone "+zone) {
		t.Errorf("an edit with an unresponsive VM on the roster exited with code %d: %s", code, out)
	}
	s.mustCtl("config", "wait", "--timeout", waitTimeout.String())
	if names := s.roster(zone).Names(); slices.Contains(names, paused.name) {
		t.Errorf("accepted with the paused VM on the roster: %v", names)
	}

	// These connections queue at the paused VM's socket and are accepted when it resumes.
	var mu sync.Mutex
	var results []result
	var probes sync.WaitGroup
	for range 4 {
		probes.Go(func() {
			for end := time.Now().Add(4 * time.Second); time.Now().Before(end); {
				r := s.send(paused, old())
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
	t.Logf("probes of the resumed VM: %v %v", countOutcomes(results), reasons)
	s.check(results, refused)
	await(t, "the resumed VM is ready again", func() bool { return ready(paused) })
	if r := s.send(paused, s.newStream()); r.kind != complete {
		t.Errorf("after the resumed VM synchronised: %v", r)
	}
}
