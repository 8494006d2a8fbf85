package directory

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func registration(id, service string, draining bool) Registration {
	return Registration{ID: id, Service: service, Address: id + ":1", Draining: draining}
}

// usableIDs returns the IDs of the usable endpoints of a service.
func usableIDs(d *Directory, service string) []string {
	var list []string
	for _, e := range d.Snapshot().Service(service) {
		list = append(list, e.ID)
	}
	return list
}

func expectUsable(t *testing.T, d *Directory, service string, list ...string) {
	t.Helper()
	if diff := cmp.Diff(list, usableIDs(d, service)); diff != "" {
		t.Error(diff)
	}
}

func TestDirectory(t *testing.T) {
	changes := 0
	d := New(func(old, next *Snapshot) {
		changes++
		if old == next {
			t.Error("onChange was called without a change")
		}
	})
	d.Put(registration("b", "s", false), registration("a", "s", false), registration("c", "other", false))
	expectUsable(t, d, "s", "a", "b")
	d.Put(registration("a", "s", true))
	expectUsable(t, d, "s", "b")
	if d.Snapshot().Endpoint("a") == nil {
		t.Error("a draining endpoint was removed")
	}
	d.Remove("b", "unknown")
	expectUsable(t, d, "s")
	if changes != 3 {
		t.Errorf("onChange was called %d times, want 3", changes)
	}
}

// An endpoint whose row is missing after an outage stays until RemoveExpired, because the row may
// come back.
func TestExpiredEndpoints(t *testing.T) {
	d := New(nil)
	d.Put(registration("a", "s", false), registration("b", "s", false), registration("c", "s", false))
	expired := d.Replace([]Registration{registration("c", "s", false)}, true)
	if len(expired) != 2 {
		t.Fatalf("expired: %v", expired)
	}
	expectUsable(t, d, "s", "a", "b", "c")
	d.Put(registration("a", "s", false)) // the row came back
	if removed := d.RemoveExpired(expired, time.Now()); len(removed) != 1 || removed[0] != "b" {
		t.Errorf("removed: %v", removed)
	}
	expectUsable(t, d, "s", "a", "c")
	d.MarkExpired("a")
	d.MarkExpired("unknown")
	expectUsable(t, d, "s", "a", "c")
	d.RemoveExpired([]string{"a", "unknown"}, time.Now())
	expectUsable(t, d, "s", "c")
	if expired := d.Replace(nil, false); expired != nil {
		t.Errorf("expired without an outage: %v", expired)
	}
	expectUsable(t, d, "s")
}

// A registration of an earlier incarnation may arrive after the first one of its successor, which
// has the same ID. It is ignored.
func TestEarlierIncarnationIsIgnored(t *testing.T) {
	incarnation := func(startedAt int64, address string) Registration {
		return Registration{ID: "a", StartedAt: startedAt, Service: "s", Address: address}
	}
	d := New(nil)
	d.Put(incarnation(5, "old"))
	d.Put(incarnation(9, "new"))
	d.Put(incarnation(5, "late"))
	if e := d.Snapshot().Endpoint("a"); e.Address != "new" || e.Incarnation() != "a@9" {
		t.Errorf("a late registration of an earlier incarnation was applied: %+v", e)
	}
	d.Replace([]Registration{incarnation(5, "late")}, false)
	if e := d.Snapshot().Endpoint("a"); e.Address != "new" {
		t.Errorf("a list with a late registration of an earlier incarnation was applied: %+v", e)
	}
	d.Remove("a")
	d.Put(incarnation(5, "again"))
	if e := d.Snapshot().Endpoint("a"); e.Address != "again" {
		t.Errorf("a removed incarnation still takes precedence: %+v", e)
	}
}
