package e2e

import (
	"os"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestOperators drains an engine with springweirctl under load; no request may be interrupted.
// Then two operators edit concurrently through different controllers: of two edits of the same key
// one must fail with a conflict, and edits of different keys must be merged.
func TestOperators(t *testing.T) {
	s, a, b := newPair(t)
	l := s.startLoad(8, s.vms, s.newStream)
	drained := s.endpoints[0]
	s.checkDrain(drained, l, func() { s.mustCtl("drain", drained.name, "--wait", waitTimeout.String()) })
	s.check(l.stop(), complete)
	for range 2 {
		base, text := s.config()
		codes := s.runConcurrently(
			func() (string, int) { return s.put(a, "one.ini", base, text, "max-away = 3") },
			func() (string, int) { return s.put(b, "two.ini", base, text, "max-away = 4") },
		)
		if diff := cmp.Diff([]int{0, 3}, codes); diff != "" {
			t.Errorf("exit codes of two edits of one key: %s", diff)
		}
	}
	codes := s.runConcurrently(
		func() (string, int) {
			return s.ctlAt(a, "config", "set", "pool language", "max-away", "7", "--author", "one", "--wait", "30s")
		},
		func() (string, int) {
			return s.ctlAt(b, "config", "set", "pool language", "floor", "0", "--author", "two", "--wait", "30s")
		},
	)
	if diff := cmp.Diff([]int{0, 0}, codes); diff != "" {
		t.Errorf("exit codes of edits of two keys: %s", diff)
	}
	_, text := s.config()
	for _, line := range []string{"max-away = 7", "floor = 0"} {
		if !strings.Contains(collapseBlanks(text), line) {
			t.Errorf("%q was lost: %s", line, text)
		}
	}
	for _, v := range s.vms {
		for _, seen := range s.status(v).Vms {
			if want := s.status(v).Config.Version; seen.Config != want {
				t.Errorf("%s has active version %d, accepted is %d", seen.Name, seen.Config, want)
			}
		}
	}
}

// config returns the latest version and its text.
func (s *site) config() (version, text string) {
	text = s.mustCtl("config", "get")
	lines := strings.Split(strings.TrimSpace(s.mustCtl("config", "history", "--limit", "1")), "\n")
	return strings.Fields(lines[len(lines)-1])[0], text
}

// put commits the text with its max-away lines removed and line added to the pool's section.
func (s *site) put(v *vm, name, base, text, line string) (string, int) {
	var kept []string
	for _, l := range strings.Split(text, "\n") {
		if !strings.HasPrefix(collapseBlanks(l), "max-away =") {
			kept = append(kept, l)
		}
		if collapseBlanks(l) == `[pool "language"]` {
			kept = append(kept, line)
		}
	}
	file := filepath.Join(s.dir, name)
	if err := os.WriteFile(file, []byte(strings.Join(kept, "\n")), 0o600); err != nil {
		s.t.Error(err)
	}
	return s.ctlAt(v, "config", "put", file, "--base", base, "--author", name, "--wait", "30s")
}

// runConcurrently runs two commands concurrently and returns their exit codes in ascending order.
func (s *site) runConcurrently(one, two func() (string, int)) []int {
	s.t.Helper()
	var codes [2]int
	var outs [2]string
	var wg sync.WaitGroup
	wg.Go(func() { outs[0], codes[0] = one() })
	wg.Go(func() { outs[1], codes[1] = two() })
	wg.Wait()
	for i, out := range outs {
		s.t.Logf("code %d: %s", codes[i], out)
	}
	sort.Ints(codes[:])
	return codes[:]
}

// collapseBlanks trims each line and replaces each run of blanks by a single one.
func collapseBlanks(text string) string {
	var lines []string
	for _, l := range strings.Split(text, "\n") {
		lines = append(lines, strings.Join(strings.Fields(l), " "))
	}
	return strings.Join(lines, "\n")
}
