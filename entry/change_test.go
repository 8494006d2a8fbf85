package entry

import (
	"fmt"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/springweir/springweir/rollout"
)

// TestConfigurationChangeCutsNothing shows that requests under way and requests
// that wait end whole when a new version replaces the settings of their pool, and
// when one takes an engine with a stream out of the tree.
func TestConfigurationChangeCutsNothing(t *testing.T) {
	changes := []struct {
		name   string
		change func(tree string) string
	}{
		{"the pool's retries, queues and ejection", func(tree string) string {
			return strings.Replace(tree, "models = chat\n", "models = chat\nretry-attempts = 2\nqueue-limit = 100\neject-failures = 9\n", 1)
		}},
		{"an engine goes", func(tree string) string {
			return regexp.MustCompile(`\[endpoint "engine-0"\]\n.*\n.*\n.*\n`).ReplaceAllString(tree, "")
		}},
		{"an engine drains", func(tree string) string {
			return strings.Replace(tree, "[endpoint \"engine-0\"]\n", "[endpoint \"engine-0\"]\ndrain = yes\n", 1)
		}},
	}
	for _, tt := range changes {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := inMemory()
				o.speed = slowEngines
				s := newSite(t, o)
				defer s.shutDown()
				next := tt.change(s.tree)
				if next == s.tree {
					t.Fatal("the tree does not change")
				}
				ended := make(chan string, waitingLetters)
				letter := strings.Repeat("The permit of the municipality says. ", 100)
				for n := range waitingLetters {
					go func() {
						_, body, _ := s.do(t.Context(), chatRequest(fmt.Sprint(n, letter), 127, true))
						ended <- body
					}()
				}
				time.Sleep(300 * time.Millisecond)
				if s.entry.upstreams.waiting() == 0 || s.entry.gate.Streams("engine-0") == 0 {
					t.Fatal("nothing waits, or engine-0 has no stream, so the test shows nothing")
				}
				if err := s.entry.applier.Apply(rollout.NewDocument(2, []byte(next))); err != nil {
					t.Fatal(err)
				}
				for range waitingLetters {
					if body := <-ended; !strings.HasSuffix(body, "data: [DONE]\n\n") {
						t.Errorf("an answer ended with %q", body[max(0, len(body)-200):])
					}
				}
				time.Sleep(time.Second)
				s.checkNothingHeld()
			})
		})
	}
}
