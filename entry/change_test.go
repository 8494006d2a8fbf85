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

// TestConfigurationChangeInterruptsNothing checks that running and queued requests complete
// when a new version replaces the settings of their pool, and when it removes or drains an
// engine that has a stream.
func TestConfigurationChangeInterruptsNothing(t *testing.T) {
	changes := []struct {
		name   string
		change func(tree string) string
	}{
		{"the pool's retries, queues and ejection", func(tree string) string {
			return strings.Replace(tree, "models = chat\n", "models = chat\nretry-attempts = 2\nqueue-limit = 100\neject-failures = 9\n", 1)
		}},
		{"an engine is removed", func(tree string) string {
			return regexp.MustCompile(`\[endpoint "engine-0"\]\n.*\n.*\n.*\n`).ReplaceAllString(tree, "")
		}},
		{"an engine drains", func(tree string) string {
			return strings.Replace(tree, "[endpoint \"engine-0\"]\n", "[endpoint \"engine-0\"]\ndrain = yes\n", 1)
		}},
	}
	for _, tt := range changes {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := inMemoryOptions()
				o.speed = slowEngines
				s := newTestZone(t, o)
				defer s.shutDown()
				next := tt.change(s.tree)
				if next == s.tree {
					t.Fatal("the tree does not change")
				}
				ended := make(chan string, queuedRequests)
				prompt := strings.Repeat("The permit of the municipality says. ", 100)
				for n := range queuedRequests {
					go func() {
						_, body, _ := s.do(t.Context(), chatRequest(fmt.Sprint(n, prompt), 127, true))
						ended <- body
					}()
				}
				time.Sleep(300 * time.Millisecond)
				if s.entry.upstreams.waiting() == 0 || s.entry.gate.Streams("engine-0") == 0 {
					t.Fatal("nothing is queued, or engine-0 has no stream: the test is ineffective")
				}
				if err := s.entry.applier.Apply(rollout.NewDocument(2, []byte(next))); err != nil {
					t.Fatal(err)
				}
				for range queuedRequests {
					if body := <-ended; !strings.HasSuffix(body, "data: [DONE]\n\n") {
						t.Errorf("a response ended with %q", body[max(0, len(body)-200):])
					}
				}
				time.Sleep(time.Second)
				s.checkNothingReserved()
			})
		})
	}
}
