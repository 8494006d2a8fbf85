package rollout_test

import (
	"context"
	"testing"

	"github.com/springweir/springweir/contact"
	"github.com/springweir/springweir/rollout"
	"github.com/springweir/springweir/table"
	"github.com/springweir/springweir/table/memtable"
)

// TestIdleConfirmerDoesNotReadRoster checks that polling for a new version does not read the
// zone's roster.
func TestIdleConfirmerDoesNotReadRoster(t *testing.T) {
	r := newFixture(nil)
	if err := r.syncer.SyncTable(t.Context()); err != nil {
		t.Fatal(err)
	}
	read := map[table.Key]bool{}
	r.rows.SetHook(func(c memtable.Call) memtable.Fault {
		for _, k := range c.Keys {
			read[k] = true
		}
		return memtable.Fault{}
	})
	c := rollout.NewConfirmer("z", r.rows, r.store, nil, noLease{}, func([]string) {}, func() string { return "id" })
	if err := c.Step(context.Background()); err != nil {
		t.Fatal(err)
	}
	if read[contact.Key("z")] || !read[rollout.HeadKey()] {
		t.Errorf("an idle confirmer read %v", read)
	}
}

// noLease is an authority without lease checks.
type noLease struct{}

func (noLease) Checks() ([]table.Check, error) { return nil, nil }

func TestUpdateForCurrentVersion(t *testing.T) {
	doc := rollout.NewDocument(3, []byte("text"))
	a := rollout.NewApplier(func(rollout.Document) error { return nil })
	if err := a.Apply(doc); err != nil {
		t.Fatal(err)
	}
	u := a.UpdateFor(3)
	if len(u.Body) != 0 || u.Version != 3 {
		t.Errorf("got %+v, want an empty update to version 3", u)
	}
	if err := a.ApplyUpdate(u); err != nil || a.Current().Version != 3 {
		t.Errorf("after the empty update: version %d, error %v", a.Current().Version, err)
	}
	for _, have := range []rollout.Version{rollout.None, 2} {
		got, err := a.UpdateFor(have).Document(rollout.Document{})
		if err != nil || string(got.Text) != "text" {
			t.Errorf("update for version %d: text %q, error %v", have, got.Text, err)
		}
	}
}
