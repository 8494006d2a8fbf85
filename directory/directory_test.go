package directory

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func registration(id, service string, draining bool) Registration {
	return Registration{ID: id, Service: service, Address: id + ":1", Draining: draining}
}

// ids are the endpoints of a service that take new work.
func ids(d *Directory, service string) []string {
	var list []string
	for _, e := range d.Snapshot().Service(service) {
		list = append(list, e.ID)
	}
	return list
}

func want(t *testing.T, d *Directory, service string, list ...string) {
	t.Helper()
	if diff := cmp.Diff(list, ids(d, service)); diff != "" {
		t.Error(diff)
	}
}

func TestDirectory(t *testing.T) {
	changes := 0
	d := New(func(old, now *Snapshot) {
		changes++
		if old == now {
			t.Error("a change without a difference")
		}
	})
	d.Put(registration("b", "s", false), registration("a", "s", false), registration("c", "other", false))
	want(t, d, "s", "a", "b")
	d.Put(registration("a", "s", true))
	want(t, d, "s", "b")
	if d.Snapshot().Endpoint("a") == nil {
		t.Error("an endpoint that drains is forgotten")
	}
	d.Remove("b", "unknown")
	want(t, d, "s")
	if changes != 3 {
		t.Errorf("%d changes told, want 3", changes)
	}
}

// A row that is missing after an outage may come back, until it had the time to.
func TestLapsedEndpoints(t *testing.T) {
	d := New(nil)
	d.Put(registration("a", "s", false), registration("b", "s", false), registration("c", "s", false))
	lapsed := d.Replace([]Registration{registration("c", "s", false)}, true)
	if len(lapsed) != 2 {
		t.Fatalf("lapsed: %v", lapsed)
	}
	want(t, d, "s", "a", "b", "c")
	d.Put(registration("a", "s", false)) // its row is back
	if gone := d.RemoveExpired(lapsed, time.Now()); len(gone) != 1 || gone[0] != "b" {
		t.Errorf("gone: %v", gone)
	}
	want(t, d, "s", "a", "c")
	d.MarkExpired("a")
	d.MarkExpired("unknown")
	want(t, d, "s", "a", "c")
	d.RemoveExpired([]string{"a", "unknown"}, time.Now())
	want(t, d, "s", "c")
	if lapsed := d.Replace(nil, false); lapsed != nil {
		t.Errorf("lapsed without an outage: %v", lapsed)
	}
	want(t, d, "s")
}

// What a start of an endpoint said of itself may arrive after the first words of the
// next one, which keeps its ID.
func TestEarlierStartChangesNothing(t *testing.T) {
	start := func(born int64, address string) Registration {
		return Registration{ID: "a", StartedAt: born, Service: "s", Address: address}
	}
	d := New(nil)
	d.Put(start(5, "old"))
	d.Put(start(9, "new"))
	d.Put(start(5, "late"))
	if e := d.Snapshot().Endpoint("a"); e.Address != "new" || e.Incarnation() != "a@9" {
		t.Errorf("a late word of an earlier start counts: %+v", e)
	}
	d.Replace([]Registration{start(5, "late")}, false)
	if e := d.Snapshot().Endpoint("a"); e.Address != "new" {
		t.Errorf("a list with a late word of an earlier start counts: %+v", e)
	}
	d.Remove("a")
	d.Put(start(5, "again"))
	if e := d.Snapshot().Endpoint("a"); e.Address != "again" {
		t.Errorf("a removed start still counts: %+v", e)
	}
}
