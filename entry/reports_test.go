package entry

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/contact"
	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/fleet"
	"github.com/springweir/springweir/leaving"
	"github.com/springweir/springweir/peer/share"
	"github.com/springweir/springweir/prefix"
	"github.com/springweir/springweir/weightstore"
)

// largeZone are the reports of an entry that polls none of its zone's engines,
// because it is not on the roster yet, and the book of the VM that polls them.
func largeZone(engines int) (r *reports, poller *share.ReportStore, roster contact.Roster) {
	var specs []fleet.Spec
	for i := range engines {
		specs = append(specs, fleet.Spec{Name: fmt.Sprintf("e%d", i), Kind: fleet.Engine, Zone: "a"})
	}
	store := fleet.NewStore("a", fleet.NewInFlightLedger(), prefix.NewViews(1000))
	store.SetSpecs(specs)
	member := contact.NewMember("a", "vm1", func(contact.Roster) {})
	roster = roster.Join("a", "vm2", "10.0.0.2:7100")
	member.ApplyRoster(roster)
	d := &common{start: time.Now(), store: store, member: member, leave: leaving.NewSet()}
	d.announce = func(context.Context, string, string) {}
	r = newReports(d, newUpstreams(d, nil, nil), share.NewReportStore("vm1"))
	return r, share.NewReportStore("vm2"), roster
}

func stateWith(sequence uint64, age time.Duration, models ...string) engine.State {
	s := engine.State{Incarnation: "i", Role: engine.Mixed, Load: engine.Load{Running: int(sequence), Sequence: sequence, AgeMillis: age.Milliseconds()}}
	for _, m := range models {
		s.Loaded = append(s.Loaded, weightstore.Artifact{Model: m})
	}
	return s
}

// TestOnlyUnlikeEnginesAreAsked shows what an entry of a large zone asks of the
// engines that other entries poll.
func TestOnlyUnlikeEnginesAreAsked(t *testing.T) {
	restarted := stateWith(1, 0, "chat")
	restarted.Incarnation = "later"
	for _, c := range []struct {
		name string
		// known is what the entry last read itself; nil is nothing.
		known *engine.State
		// readAgo is how long ago it read that; zero is long ago.
		readAgo time.Duration
		shared  engine.State
		want    fleet.PollScope
		// running is what the entry then believes.
		running int
	}{
		{"newer load", state(stateWith(5, 0, "chat")), 0, stateWith(6, 0, "chat"), fleet.PollNothing, 6},
		{"older load", state(stateWith(5, 0, "chat")), 0, stateWith(4, 0, "chat"), fleet.PollNothing, 5},
		{"never read", nil, 0, stateWith(6, 0, "chat"), fleet.PollState, 0},
		{"another model", state(stateWith(5, 0, "chat")), 0, stateWith(6, 0, "chat", "code"), fleet.PollState, 5},
		{"restarted", state(stateWith(5, 0, "chat")), 0, restarted, fleet.PollState, 5},
		{"another model, but before what was read", state(stateWith(5, 0, "chat")), 0, stateWith(4, 2*time.Second, "code"), fleet.PollNothing, 5},
		{"other weights in another order", state(stateWith(5, 0, "chat", "code")), 0, stateWith(6, 0, "code", "chat"), fleet.PollNothing, 6},
		{"still another model", state(stateWith(5, 0, "chat")), askAgain / 2, stateWith(6, 0, "code"), fleet.PollNothing, 5},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, poller, roster := largeZone(directZone + 1)
				time.Sleep(time.Minute)
				if c.readAgo != 0 {
					r.own["e0"] = ownReport{state: *c.known, at: time.Now().Add(-c.readAgo)}
				}
				if c.known != nil {
					r.d.store.ApplyReports(r.d.now(), fleet.Report{Endpoint: "e0", State: *c.known, MeasuredAt: r.d.now()})
				}
				time.Sleep(time.Second)
				poller.Publish([]share.Report{sharedForm("e0", ownReport{state: c.shared}, 0)})
				r.book.Merge(roster, poller.NewerBatches(roster, nil))
				r.takeShared()
				asked := map[string]fleet.PollScope{}
				for _, e := range r.d.store.Snapshot().Endpoints() {
					if q := r.mine(e); q != fleet.PollNothing {
						asked[e.Name] = q
					}
				}
				want := map[string]fleet.PollScope{}
				if c.want != fleet.PollNothing {
					want["e0"] = c.want
				}
				if diff := cmp.Diff(want, asked); diff != "" {
					t.Errorf("asked (-want +got):\n%s", diff)
				}
				if got := r.d.store.Snapshot().Endpoints()[0].Load.Running; got != c.running {
					t.Errorf("%d running, want %d", got, c.running)
				}
			})
		})
	}
}

func state(s engine.State) *engine.State { return &s }
