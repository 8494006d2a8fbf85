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

// The recorded state of an incarnation takes precedence over an older backup of the store. Newer
// rows of the backup take effect, and so does whatever the endpoint writes afterwards.
func TestReplaceFromRestore(t *testing.T) {
	for _, tc := range []struct {
		name string
		// recorded are applied in order; one without a service is a deleted row.
		recorded []Registration
		// copy is the list of the restored backup.
		copy []Registration
		// ready and draining are the endpoints after the restore, expired and disputed its results.
		ready, draining, expired, disputed []string
		// resolved are the usable endpoints after ResolveDisputed.
		resolved []string
	}{
		{"no change", []Registration{{ID: "a", Service: "s"}}, []Registration{{ID: "a", Service: "s"}}, []string{"a"}, nil, nil, nil, []string{"a"}},
		{"drained after the backup", []Registration{{ID: "a", Service: "s"}, {ID: "a", Service: "s", Draining: true}}, []Registration{{ID: "a", Service: "s"}}, nil, []string{"a"}, nil, []string{"a"}, []string{"a"}},
		{"removed after the backup", []Registration{{ID: "a", Service: "s"}, {ID: "a"}}, []Registration{{ID: "a", Service: "s"}}, nil, nil, nil, []string{"a"}, []string{"a"}},
		{"restarted after the backup", []Registration{{ID: "a", Service: "s", StartedAt: 1}, {ID: "a", Service: "s", StartedAt: 2}}, []Registration{{ID: "a", Service: "s", StartedAt: 1}}, []string{"a"}, nil, nil, nil, []string{"a"}},
		{"registered after the backup", []Registration{{ID: "a", Service: "s"}}, nil, []string{"a"}, nil, []string{"a"}, nil, []string{"a"}},
		{"drained while this VM was disconnected", []Registration{{ID: "a", Service: "s"}}, []Registration{{ID: "a", Service: "s", Draining: true, Version: 90}}, nil, []string{"a"}, nil, nil, nil},
		{"a removed incarnation is replaced by a new one", []Registration{{ID: "a", Service: "s", StartedAt: 1}, {ID: "a"}}, []Registration{{ID: "a", Service: "s", StartedAt: 2}}, []string{"a"}, nil, nil, nil, []string{"a"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := New(nil)
			for n, r := range tc.recorded {
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
			expired, disputed := d.ReplaceFromRestore(tc.copy)
			if diff := cmp.Diff(tc.expired, expired); diff != "" {
				t.Errorf("expired: %s", diff)
			}
			if diff := cmp.Diff(tc.disputed, idsOf(disputed)); diff != "" {
				t.Errorf("disputed: %s", diff)
			}
			if diff := cmp.Diff(tc.ready, usableIDs(d, "s")); diff != "" {
				t.Errorf("ready: %s", diff)
			}
			var draining []string
			for _, e := range d.Snapshot().All() {
				if !e.Usable() {
					draining = append(draining, e.ID)
				}
			}
			if diff := cmp.Diff(tc.draining, draining); diff != "" {
				t.Errorf("draining: %s", diff)
			}
			d.ResolveDisputed(disputed)
			if diff := cmp.Diff(tc.resolved, usableIDs(d, "s")); diff != "" {
				t.Errorf("resolved: %s", diff)
			}
		})
	}
}

// A row that the endpoint writes after the restore ends a dispute, whatever it contains.
func TestEndpointUpdateEndsDispute(t *testing.T) {
	for _, draining := range []bool{true, false} {
		d := New(nil)
		d.Put(Registration{ID: "a", Service: "s", Version: version(t, 1, 10), Draining: true})
		_, disputed := d.ReplaceFromRestore([]Registration{{ID: "a", Service: "s", Version: version(t, 2, 5)}})
		d.Put(Registration{ID: "a", Service: "s", Version: version(t, 2, 6), Draining: draining})
		if resolved := d.ResolveDisputed(disputed); len(resolved) != 0 {
			t.Errorf("resolved %v", resolved)
		}
		if got := d.Snapshot().Endpoint("a").Draining; got != draining {
			t.Errorf("draining is %v, the endpoint wrote %v", got, draining)
		}
	}
}

// Removals are kept for longer than the age of a backup, but not permanently.
func TestRemovalsExpire(t *testing.T) {
	d := New(nil)
	d.Put(Registration{ID: "a", Service: "s", Version: version(t, 1, 10)})
	d.Remove("a")
	removed := d.removed["a"]
	removed.removedAt = removed.removedAt.Add(-removalRetention - time.Second)
	d.removed["a"] = removed
	d.ReplaceFromRestore([]Registration{{ID: "a", Service: "s", Version: version(t, 2, 10)}})
	if len(d.Snapshot().Service("s")) != 1 {
		t.Error("a row is disputed because of an expired removal")
	}
}

func idsOf(rows []Registration) []string {
	var ids []string
	for _, r := range rows {
		ids = append(ids, r.ID)
	}
	return ids
}

// Several restores from backups may follow each other within seconds. If the end of the first
// dispute applied the rows of the second, an endpoint that had left eight seconds before would get
// work again. The same holds for endpoints that are missing after two outages: each restore and
// each outage has its own deadline.
func TestRestoresAreTimedSeparately(t *testing.T) {
	d := New(nil)
	d.Put(Registration{ID: "left", Service: "s", Version: version(t, 1, 10)}, Registration{ID: "joined", Service: "s", Version: version(t, 1, 11)})
	d.Remove("left")
	restored := func(epoch uint64) []Registration {
		return []Registration{{ID: "left", Service: "s", Version: version(t, epoch, 10)}}
	}
	expired, first := d.ReplaceFromRestore(restored(2))
	firstExpiry := clock.Now()
	d.Put(Registration{ID: "joined", Service: "s", Version: version(t, 2, 11)})
	time.Sleep(time.Millisecond)
	_, second := d.ReplaceFromRestore(restored(3))
	d.ResolveDisputed(first)
	if removed := d.RemoveExpired(expired, firstExpiry); len(removed) != 0 {
		t.Errorf("removed at the deadline of the first restore: %v", removed)
	}
	expectUsable(t, d, "s", "joined")
	d.ResolveDisputed(second)
	d.RemoveExpired(expired, clock.Now())
	expectUsable(t, d, "s", "left")
}

// The table is listed again before a dispute is over, for example when a VM switches to another
// reader. The rows stay disputed.
func TestDisputeSurvivesReplace(t *testing.T) {
	d := New(nil)
	d.Put(Registration{ID: "leaving", Service: "s", Version: version(t, 1, 10)}, Registration{ID: "gone", Service: "s", Version: version(t, 1, 11)})
	d.Put(Registration{ID: "leaving", Service: "s", Version: version(t, 1, 20), Draining: true})
	d.Remove("gone")
	rows := []Registration{{ID: "leaving", Service: "s", Version: version(t, 2, 10)}, {ID: "gone", Service: "s", Version: version(t, 2, 11)}}
	_, disputed := d.ReplaceFromRestore(rows)
	d.Replace(rows, false)
	expectUsable(t, d, "s")
	if e := d.Snapshot().Endpoint("leaving"); e == nil || !e.Draining {
		t.Errorf("the draining endpoint is %+v", e)
	}
	rewritten := rows[1]
	rewritten.Version = version(t, 2, 30)
	d.Replace([]Registration{rows[0], rewritten}, false)
	expectUsable(t, d, "s", "gone")
	d.ResolveDisputed(disputed)
	expectUsable(t, d, "s", "gone", "leaving")
}

// Endpoints register and leave as long as the process runs, also without any restore. The recorded
// removals must not grow without bound.
func TestRemovalsStayBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(nil)
		for n := range 1000 {
			id := fmt.Sprint("e", n)
			d.Put(Registration{ID: id, Service: "s"})
			d.Remove(id)
			time.Sleep(time.Second)
		}
		if n := len(d.removed); n > 2*int(removalRetention/time.Second) {
			t.Errorf("%d removals are kept", n)
		}
	})
}
