package placement

import (
	"fmt"
	"testing"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/relay"
	"github.com/springweir/springweir/routes"
)

func (f *fixture) addSoftware(id, version string, role engine.Role) {
	f.dir.Put(directory.Registration{ID: id, Service: "llm", SoftwareVersion: version, Zone: "a", Slots: 4, Role: role})
}

// boundTo returns the state of a stream that a software version began.
func boundTo(version string) relay.AttemptState {
	return relay.AttemptState{Streaming: true, Software: &directory.Software{Service: "llm", Version: version}}
}

// Guards against a stream that goes on at an engine of another software version, and against a KV cache that
// one version produces and another one imports or copies.
func TestPlansKeepToOneSoftwareVersion(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, f *fixture) {
		versions := []string{"v1", "v2", "v3"}
		for n := range 12 {
			f.addSoftware(fmt.Sprint("p", n), versions[n%3], engine.Prefill)
			f.addSoftware(fmt.Sprint("d", n), versions[n%3], engine.Decode)
		}
		prefilled, copied := 0, 0
		for n := range 200 {
			state := relay.AttemptState{}
			if n%2 == 1 {
				state = boundTo(versions[n%3])
			}
			p := f.plan(f.longReq(fmt.Sprint("s", n%5)), state)
			if !state.Allows(p.Serve) {
				t.Errorf("a stream of %s goes on at %s", state.Software.Version, p.Serve.SoftwareVersion)
			}
			if p.Prefill != nil {
				prefilled++
				if p.Prefill.Software() != p.Serve.Software() {
					t.Errorf("%s imports the cache of %s", p.Serve.SoftwareVersion, p.Prefill.SoftwareVersion)
				}
			}
			if p.CopyFrom != nil {
				copied++
				if p.CopyFrom.Software() != p.Serve.Software() {
					t.Errorf("%s copies from the cache of %s", p.Serve.SoftwareVersion, p.CopyFrom.SoftwareVersion)
				}
			}
			if n%3 == 0 {
				f.complete(p)
			} else {
				p.Watch.Finished(brokenAttempt(), true)
			}
		}
		if prefilled == 0 || copied == 0 {
			t.Errorf("%d plans had a separate prefill and %d a copy", prefilled, copied)
		}
	})
}

// A version without engines that prefill has its prompts read by those that decode, although engines of
// another version prefill.
func TestVersionWithoutPrefillersServesLongPrompts(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, f *fixture) {
		f.addSoftware("p", "v1", engine.Prefill)
		f.addSoftware("d", "v2", engine.Decode)
		if p := f.plan(f.longReq("s"), relay.AttemptState{}); p.Serve.ID != "d" || p.Prefill != nil {
			t.Errorf("served by %s, prefilled by %v", p.Serve.ID, p.Prefill)
		}
	})
}

// A prompt whose KV cache no engine of its software version can import any more is prefilled again by the
// engine that serves it.
func TestCacheOfVanishedVersionIsDropped(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, f *fixture) {
		f.addSoftware("p", "v1", engine.Prefill)
		f.addSoftware("d", "v2", engine.Decode)
		handle := &relay.KVHandle{Endpoint: f.dir.Snapshot().Endpoint("p"), ID: "kv", Tokens: 9000}
		if p := f.plan(f.longReq("s"), relay.AttemptState{Handle: handle}); p.Serve.ID != "d" || p.Prefill != nil {
			t.Errorf("served by %s, prefilled by %v", p.Serve.ID, p.Prefill)
		}
	})
}

// A stream whose software version has no endpoint is refused as such, and one whose engines are only busy or
// changing is not.
func TestStreamOfVanishedVersionIsRefused(t *testing.T) {
	for _, tc := range []struct {
		name  string
		setup func(f *fixture)
		want  failure.Reason
	}{
		{"no engine of the version", func(f *fixture) { f.addSoftware("a", "v2", engine.Decode) }, failure.SoftwareGone},
		{"its engine changes its role", func(f *fixture) { f.addSoftware("a", "v1", engine.Decode); f.roleChanges = []string{"a"} }, failure.NoEndpoint},
		{"its engine prefills", func(f *fixture) { f.addSoftware("a", "v1", engine.Prefill) }, failure.NoEndpoint},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T, f *fixture) {
				tc.setup(f)
				f.addSoftware("other", "v2", engine.Decode)
				_, failed := f.planner.Plan(f.shortReq(), boundTo("v1"))
				if failed == nil || failed.Code != tc.want || failed.Ran != failure.NotRun {
					t.Errorf("got %v, want %s", failed, tc.want)
				}
			})
		})
	}
}

// The backup of a run is on an engine of the same software version.
func TestBackupRunsSameSoftware(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, f *fixture) {
		add := func(id, zone, version string) {
			f.dir.Put(directory.Registration{ID: id, Service: "llm", SoftwareVersion: version, Zone: zone, Role: engine.Decode, Slots: 4, Revocable: true})
		}
		add("serve", "a", "v1")
		add("other", "b", "v2")
		r := f.shortReq()
		r.Route = &routes.Route{Kind: routes.Stream}
		d := f.planner.newDecision(r, relay.AttemptState{}, nil)
		d.service = &routes.Service{Name: "llm", Engine: &routes.Engine{Slots: 4, KVTokens: 100_000, Backups: true}}
		d.endpoints = d.usable(nil)
		if e := d.backup(f.dir.Snapshot().Endpoint("serve"), 100); e != nil {
			t.Errorf("backed up by %s of %s", e.ID, e.SoftwareVersion)
		}
		add("same", "b", "v1")
		d.endpoints, d.withRole = d.usable(nil), nil
		if e := d.backup(f.dir.Snapshot().Endpoint("serve"), 100); e == nil || e.ID != "same" {
			t.Errorf("backed up by %v, want same", e)
		}
	})
}
