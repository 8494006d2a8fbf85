package contact_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/contact"
	"github.com/springweir/springweir/membership"
	"github.com/springweir/springweir/membership/fakelist"
	"github.com/springweir/springweir/peer/fakepeer"
	"github.com/springweir/springweir/table"
	"github.com/springweir/springweir/table/memtable"
)

// An unresponsive VM is removed only after all others have acknowledged its exclusion and the
// removal delay has passed since.
func TestReconcilerRemovesUnresponsiveVM(t *testing.T) {
	tests := []struct {
		name string
		// block prevents the removal, and is ended after a minute.
		block func(z *fakepeer.Zone, on bool)
	}{
		{"unobstructed", func(*fakepeer.Zone, bool) {}},
		{"another VM accepts no roster", func(z *fakepeer.Zone, on bool) { z.IgnoresRosters["b"] = on }},
		{"another VM keeps restarting", func(z *fakepeer.Zone, on bool) {
			if on {
				go func() {
					for range 6000 {
						time.Sleep(10 * time.Millisecond)
						z.Update(func() { z.Instances["b"]++; z.RosterRevisions["b"] = 0 })
					}
				}()
			}
		}},
		{"another VM restarts during the removal delay, and may have its state from the unresponsive one", func(z *fakepeer.Zone, on bool) {
			if on {
				go func() {
					for range 20 {
						time.Sleep(3 * time.Second)
						z.Update(func() { z.Instances["b"]++ })
					}
				}()
			}
		}},
		{"another VM is unresponsive too", func(z *fakepeer.Zone, on bool) { z.Unresponsive["b"] = on }},
	}
	for i, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rows, list := memtable.New(), fakelist.New()
				z := fakepeer.NewZone()
				z.Delay = 20 * time.Millisecond // so that a process can restart between two calls
				r := contact.Roster{}
				for _, name := range []string{"a", "b", "c"} {
					r = r.Join("z", name, name)
					list.Put(membership.VM{Name: name, Kind: membership.Entry})
				}
				txn := table.Txn{Writes: []table.Write{{Key: contact.Key("z"), Value: r.Encode()}}}
				if _, err := rows.Commit(t.Context(), txn); err != nil {
					t.Fatal(err)
				}
				ids := 0
				rc := contact.NewReconciler("z", rows, z, list, fakepeer.Lease{}, func() string { ids++; return fmt.Sprint(ids) })
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go rc.Run(ctx)
				time.Sleep(5 * time.Second)
				z.Update(func() { z.Unresponsive["c"] = true; tt.block(z, true) })
				began := time.Now()
				names := func() []string {
					got, err := rows.Get(t.Context(), contact.Key("z"))
					if err != nil {
						t.Fatal(err)
					}
					r, _ := contact.Decode(got[0].Value)
					return r.Names()
				}
				for len(names()) == 3 && time.Since(began) < time.Minute {
					time.Sleep(100 * time.Millisecond)
				}
				took := time.Since(began)
				if early := contact.ExcludeAfter + contact.RemovalDelay; took < early {
					t.Errorf("removed after %v, want at least %v", took, early)
				}
				if blocked := i > 0; blocked != (len(names()) == 3) {
					t.Errorf("roster after a minute: %v", names())
				}
				z.Update(func() { tt.block(z, false) })
				time.Sleep(time.Minute)
				if diff := cmp.Diff([]string{"a", "b"}, names()); diff != "" {
					t.Errorf("roster (-want +got):\n%s", diff)
				}
			})
		})
	}
}
