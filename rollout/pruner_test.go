package rollout_test

import (
	"crypto/rand"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/contact"
	"github.com/springweir/springweir/object"
	"github.com/springweir/springweir/object/memobject"
	"github.com/springweir/springweir/peer/fakepeer"
	"github.com/springweir/springweir/rollout"
	"github.com/springweir/springweir/table"
	"github.com/springweir/springweir/table/memtable"
)

// The history keeps its newest versions and all recent ones, and a pruned version is never
// mistaken for another operator's write.
func TestPruner(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		rows, objects := memtable.New(), memobject.New()
		store := rollout.NewStore(rows, objects)
		for _, zone := range []string{"a", "b"} {
			roster := contact.Roster{}.Join(zone, "vm", "address")
			write := table.Write{Key: contact.Key(zone), Value: roster.Encode()}
			if _, err := rows.Commit(t.Context(), table.Txn{Writes: []table.Write{write}}); err != nil {
				t.Fatal(err)
			}
		}
		long := make([]byte, 2*rollout.InlineLimit)
		_, _ = rand.Read(long) // random, so that it does not compress; never fails
		edit := func(v rollout.Version) rollout.Edit {
			e := rollout.Edit{Base: v - 1, WriteID: fmt.Sprint(v), Text: fmt.Append(nil, v)}
			if v == 1 || v == 40 {
				e.Text = long
			}
			return e
		}
		put := func(from, to rollout.Version) {
			for v := from; v <= to; v++ {
				if got, err := store.Put(t.Context(), edit(v)); err != nil || got != v {
					t.Fatalf("put %d: %d, %v", v, got, err)
				}
			}
		}
		prune := func(zone string, want int) {
			t.Helper()
			if n, err := rollout.NewPruner(zone, store, fakepeer.Lease{}).Step(t.Context()); n != want || err != nil {
				t.Errorf("zone %s deleted %d, %v; want %d", zone, n, err, want)
			}
		}
		put(1, 100)
		time.Sleep(rollout.KeptFor)
		prune("a", 0) // old, but among the newest
		put(101, 30+rollout.KeptVersions)
		prune("b", 0) // not the first zone
		first, err := store.Entry(t.Context(), 1)
		if err != nil {
			t.Fatal(err)
		}
		objects.SetFault(memobject.Fault{Down: true})
		if _, err := rollout.NewPruner("a", store, fakepeer.Lease{}).Step(t.Context()); err == nil {
			t.Error("no failure with the object store down")
		}
		objects.SetFault(memobject.Fault{})
		prune("a", 20) // a batch
		prune("a", 10)
		prune("a", 0)
		put(231, 30+rollout.KeptVersions+80)
		prune("a", 20)
		prune("a", 20)
		prune("a", 20)
		prune("a", 10) // up to 100: the later ones are not KeptFor old
		prune("a", 0)
		history, err := store.History(t.Context(), rollout.None, 3)
		if err != nil {
			t.Fatal(err)
		}
		var kept []rollout.Version
		for _, e := range history {
			kept = append(kept, e.Version)
		}
		if diff := cmp.Diff([]rollout.Version{101, 102, 103}, kept); diff != "" {
			t.Errorf("oldest versions (-want +got):\n%s", diff)
		}
		var deleted *object.MissingError
		if _, err := objects.Get(t.Context(), first.Object); !errors.As(err, &deleted) {
			t.Errorf("text of version 1 after pruning: %v", err)
		}
		var missing *rollout.MissingVersionError
		if _, err := store.Put(t.Context(), edit(40)); !errors.As(err, &missing) || missing.Version != 40 {
			t.Errorf("repeated edit of a pruned version: %v", err)
		}
		if v, err := store.Put(t.Context(), edit(150)); err != nil || v != 150 {
			t.Errorf("repeated edit of a kept version: %d, %v", v, err)
		}
		if s, err := store.Status(t.Context(), 40); err != nil || s.Version != 40 {
			t.Errorf("status of a pruned version: %+v, %v", s, err)
		}
	})
}
