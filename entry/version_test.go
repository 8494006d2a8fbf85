package entry

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/springweir/springweir/caller/wire"
	"github.com/springweir/springweir/forward"
)

// TestOldVersionServesUntilTheNewIsLoaded checks that requests are served, and counted as
// demand for the new version, while all engines still have the old one loaded.
func TestOldVersionServesUntilTheNewIsLoaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := inMemoryOptions()
		o.treeVersion = "2"
		s := newTestZone(t, o)
		defer s.shutDown()
		status, body, err := s.do(t.Context(), chatRequest("May it?", 5, false))
		if status != http.StatusOK || err != nil {
			t.Errorf("status %d, error %v: %s", status, err, body)
		}
		for a := range s.entry.common.demand.artifactRates() {
			if a.Version != "2" {
				t.Errorf("the demand is for %+v, want version 2", a)
			}
		}
	})
}

// TestStreamKeepsItsVersion checks that a stream whose engine froze is not continued by an
// engine with another version; its caller gets an error event.
func TestStreamKeepsItsVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := inMemoryOptions()
		o.speed, o.treeVersion, o.versions = slowEngines, "3", []string{"1", "2"}
		s := newTestZone(t, o)
		defer s.shutDown()
		for range 20 {
			plan, err := s.entry.upstreams.byName[poolUpstream("language")].dispatch.Route(t.Context(),
				&forward.Work{Model: "chat"}, forward.Attempt{ID: "a", Emitted: 1, Version: "2"})
			if err != nil || plan.Target.Name != "engine-1" || plan.Version != "2" {
				t.Fatalf("plan %+v, error %v; want version 2 on engine-1", plan, err)
			}
			plan.Observer.Finished(forward.Result{Abandoned: true})
		}
		ended := make(chan string, 1)
		go func() {
			_, body, _ := s.do(t.Context(), chatRequest(longPrompt(), 127, true))
			ended <- body
		}()
		time.Sleep(2 * time.Second)
		attempts := 0
		for _, e := range s.engines {
			if n := len(e.History().Attempts); n > 0 {
				attempts += n
				e.Freeze()
				defer e.Thaw()
			}
		}
		body := <-ended
		if !strings.Contains(body, "event: error") || strings.Contains(body, wire.DoneEvent) {
			t.Errorf("the stream ended with %q", body[max(0, len(body)-300):])
		}
		for _, e := range s.engines {
			attempts -= len(e.History().Attempts)
		}
		if attempts != 0 {
			t.Error("the stream was sent to an engine with another version")
		}
	})
}
