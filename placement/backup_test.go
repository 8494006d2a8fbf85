package placement

import (
	"testing"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/routes"
)

// The backup of a run must be on an engine that is not revoked together with the serving one.
func TestBackupChoice(t *testing.T) {
	decoder := func(id, zone string, revocable bool) directory.Registration {
		return directory.Registration{ID: id, Service: "llm", Zone: zone, Role: engine.Decode, Slots: 4, Revocable: revocable}
	}
	for _, tc := range []struct {
		name    string
		engines []directory.Registration
		want    string
	}{
		{"alone", []directory.Registration{decoder("serve", "a", true)}, ""},
		{"a revocable one of another zone", []directory.Registration{decoder("serve", "a", true), decoder("r", "a", true), decoder("s", "b", true)}, "s"},
		{"a permanent one of the same zone", []directory.Registration{decoder("serve", "a", true), decoder("r", "a", true), decoder("s", "a", false)}, "s"},
		{"revocable ones of the same zone only", []directory.Registration{decoder("serve", "a", true), decoder("r", "a", true)}, ""},
		{"serving engine is not revocable", []directory.Registration{decoder("serve", "a", false), decoder("r", "a", true), decoder("s", "a", false)}, ""},
		{"prefill engines hold no backups", []directory.Registration{decoder("serve", "a", true), {ID: "p", Service: "llm", Zone: "a", Role: engine.Prefill, Slots: 4}}, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			f.dir.Put(tc.engines...)
			r := f.shortReq()
			r.Route = &routes.Route{Kind: routes.Stream}
			d := &decision{
				p: f.planner, req: r, now: f.planner.now(),
				service: &routes.Service{Name: "llm", Engine: &routes.Engine{Slots: 4, KVTokens: 100_000, Backups: true}},
			}
			d.endpoints = d.usable(nil)
			serve := f.dir.Snapshot().Endpoint("serve")
			for range 20 {
				got := ""
				if e := d.backup(serve, 100); e != nil {
					got = e.ID
				}
				if got != tc.want {
					t.Fatalf("got %q, want %q", got, tc.want)
				}
			}
			r.Route = &routes.Route{Kind: routes.Stream, Resumable: true}
			if e := d.backup(serve, 100); e != nil {
				t.Errorf("a repeatable stream is backed up by %s", e.ID)
			}
		})
	}
}
