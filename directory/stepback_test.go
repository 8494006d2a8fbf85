package directory

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/table"
)

func version(t *testing.T, epoch, number uint64) table.Version {
	t.Helper()
	v, err := table.NewVersion(epoch, number)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// What is known of a start of an endpoint stands against a copy of the store that is older; what the
// copy has newer counts, and so does whatever the endpoint writes after it.
func TestStepBack(t *testing.T) {
	for _, tc := range []struct {
		name string
		// known are put one after the other; one without a service is a row that is gone.
		known []Registration
		copy  []Registration
		// ready and leaving are what is known then, lapsed and disputed what is told of it.
		ready, leaving, lapsed, disputed []string
		// settled is what is ready once disputes are settled.
		settled []string
	}{
		{"the same", []Registration{{ID: "a", Service: "s"}}, []Registration{{ID: "a", Service: "s"}}, []string{"a"}, nil, nil, nil, []string{"a"}},
		{"it leaves since", []Registration{{ID: "a", Service: "s"}, {ID: "a", Service: "s", Draining: true}}, []Registration{{ID: "a", Service: "s"}}, nil, []string{"a"}, nil, []string{"a"}, []string{"a"}},
		{"it is gone since", []Registration{{ID: "a", Service: "s"}, {ID: "a"}}, []Registration{{ID: "a", Service: "s"}}, nil, nil, nil, []string{"a"}, []string{"a"}},
		{"it has started again since", []Registration{{ID: "a", Service: "s", StartedAt: 1}, {ID: "a", Service: "s", StartedAt: 2}}, []Registration{{ID: "a", Service: "s", StartedAt: 1}}, []string{"a"}, nil, nil, nil, []string{"a"}},
		{"it joined since", []Registration{{ID: "a", Service: "s"}}, nil, []string{"a"}, nil, []string{"a"}, nil, []string{"a"}},
		{"it left and this VM was cut off", []Registration{{ID: "a", Service: "s"}}, []Registration{{ID: "a", Service: "s", Draining: true, Version: 90}}, nil, []string{"a"}, nil, nil, nil},
		{"another start takes the place of one that is gone", []Registration{{ID: "a", Service: "s", StartedAt: 1}, {ID: "a"}}, []Registration{{ID: "a", Service: "s", StartedAt: 2}}, []string{"a"}, nil, nil, nil, []string{"a"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := New(nil)
			for n, r := range tc.known {
				r.Version = version(t, 1, uint64(10+10*n))
				if r.Service == "" {
					d.Remove(r.ID)
					continue
				}
				d.Put(r)
			}
			for i := range tc.copy {
				number := max(10, uint64(tc.copy[i].Version))
				tc.copy[i].Version = version(t, 2, number)
			}
			lapsed, disputed := d.ReplaceFromRestore(tc.copy)
			if diff := cmp.Diff(tc.lapsed, lapsed); diff != "" {
				t.Errorf("lapsed: %s", diff)
			}
			if diff := cmp.Diff(tc.disputed, idsOf(disputed)); diff != "" {
				t.Errorf("disputed: %s", diff)
			}
			if diff := cmp.Diff(tc.ready, ids(d, "s")); diff != "" {
				t.Errorf("ready: %s", diff)
			}
			var leaving []string
			for _, e := range d.Snapshot().All() {
				if !e.Usable() {
					leaving = append(leaving, e.ID)
				}
			}
			if diff := cmp.Diff(tc.leaving, leaving); diff != "" {
				t.Errorf("leaving: %s", diff)
			}
			d.ResolveDisputed(disputed)
			if diff := cmp.Diff(tc.settled, ids(d, "s")); diff != "" {
				t.Errorf("settled: %s", diff)
			}
		})
	}
}

// An endpoint's own word after the step back ends a dispute, whichever it is.
func TestDisputeEndsWithTheEndpointsWord(t *testing.T) {
	for _, draining := range []bool{true, false} {
		d := New(nil)
		d.Put(Registration{ID: "a", Service: "s", Version: version(t, 1, 10), Draining: true})
		_, disputed := d.ReplaceFromRestore([]Registration{{ID: "a", Service: "s", Version: version(t, 2, 5)}})
		d.Put(Registration{ID: "a", Service: "s", Version: version(t, 2, 6), Draining: draining})
		if settled := d.ResolveDisputed(disputed); len(settled) != 0 {
			t.Errorf("settled %v", settled)
		}
		if got := d.Snapshot().Endpoint("a").Draining; got != draining {
			t.Errorf("draining is %v, its own word %v", got, draining)
		}
	}
}

// Departures are remembered for longer than a copy is old, and not for ever.
func TestDeparturesAreForgotten(t *testing.T) {
	d := New(nil)
	d.Put(Registration{ID: "a", Service: "s", Version: version(t, 1, 10)})
	d.Remove("a")
	left := d.departed["a"]
	left.at = left.at.Add(-departureMemory - time.Second)
	d.departed["a"] = left
	d.ReplaceFromRestore([]Registration{{ID: "a", Service: "s", Version: version(t, 2, 10)}})
	if len(d.Snapshot().Service("s")) != 1 {
		t.Error("a row is disputed for a departure of long ago")
	}
}

func idsOf(rows []Registration) []string {
	var ids []string
	for _, r := range rows {
		ids = append(ids, r.ID)
	}
	return ids
}

// The store came back from copies three times within seconds. The end of the first dispute let the
// rows of the second count, so that an endpoint that had left eight seconds before got work again:
//
//	56:07.002 "the copy of the store is older than what is known of endpoints, which stands" i-00000006
//	56:12.382 "the copy of the store is older than what is known of endpoints, which stands" i-00000006
//	56:13.292 "endpoints are as the copy of the store says" i-00000006
//
// The same held for endpoints that are missing after two outages. Each has its own time.
func TestEachStepBackHasItsOwnTime(t *testing.T) {
	d := New(nil)
	d.Put(Registration{ID: "left", Service: "s", Version: version(t, 1, 10)}, Registration{ID: "joined", Service: "s", Version: version(t, 1, 11)})
	d.Remove("left")
	copied := func(epoch uint64) []Registration {
		return []Registration{{ID: "left", Service: "s", Version: version(t, epoch, 10)}}
	}
	lapsed, first := d.ReplaceFromRestore(copied(2))
	firstLapse := clock.Now()
	d.Put(Registration{ID: "joined", Service: "s", Version: version(t, 2, 11)})
	time.Sleep(time.Millisecond)
	_, second := d.ReplaceFromRestore(copied(3))
	d.ResolveDisputed(first)
	if removed := d.RemoveExpired(lapsed, firstLapse); len(removed) != 0 {
		t.Errorf("removed for the first step back: %v", removed)
	}
	want(t, d, "s", "joined")
	d.ResolveDisputed(second)
	d.RemoveExpired(lapsed, clock.Now())
	want(t, d, "s", "left")
}

// The table is listed once more before a dispute is over, as when a VM turns to another reader: what is
// disputed stays so.
func TestDisputeOutlastsAListing(t *testing.T) {
	d := New(nil)
	d.Put(Registration{ID: "leaving", Service: "s", Version: version(t, 1, 10)}, Registration{ID: "gone", Service: "s", Version: version(t, 1, 11)})
	d.Put(Registration{ID: "leaving", Service: "s", Version: version(t, 1, 20), Draining: true})
	d.Remove("gone")
	rows := []Registration{{ID: "leaving", Service: "s", Version: version(t, 2, 10)}, {ID: "gone", Service: "s", Version: version(t, 2, 11)}}
	_, disputed := d.ReplaceFromRestore(rows)
	d.Replace(rows, false)
	want(t, d, "s")
	if e := d.Snapshot().Endpoint("leaving"); e == nil || !e.Draining {
		t.Errorf("the endpoint that leaves is %+v", e)
	}
	again := rows[1]
	again.Version = version(t, 2, 30)
	d.Replace([]Registration{rows[0], again}, false)
	want(t, d, "s", "gone")
	d.ResolveDisputed(disputed)
	want(t, d, "s", "gone", "leaving")
}

// Endpoints come and go for as long as the process runs, also without any step back: what is
// remembered of them does not grow.
func TestDeparturesDoNotGrow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(nil)
		for n := range 1000 {
			id := fmt.Sprint("e", n)
			d.Put(Registration{ID: id, Service: "s"})
			d.Remove(id)
			time.Sleep(time.Second)
		}
		if n := len(d.departed); n > 2*int(departureMemory/time.Second) {
			t.Errorf("%d departures are remembered", n)
		}
	})
}
