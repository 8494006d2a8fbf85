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

// largeZone returns the reports of an entry that polls none of its zone's engines, because
// it is not on the roster yet, and the report store of the VM that polls them.
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
	c := &common{start: time.Now(), store: store, member: member, leavingSet: leaving.NewSet()}
	c.announce = func(context.Context, string, string) {}
	r = newReports(c, newUpstreams(c, nil, nil), share.NewReportStore("vm1"))
	return r, share.NewReportStore("vm2"), roster
}

func stateWith(sequence uint64, age time.Duration, models ...string) engine.State {
	s := engine.State{Incarnation: "i", Role: engine.Mixed, Load: engine.Load{Running: int(sequence), Sequence: sequence, AgeMillis: age.Milliseconds()}}
	for _, m := range models {
		s.Loaded = append(s.Loaded, weightstore.Artifact{Model: m})
	}
	return s
}

// TestMismatchedEnginesArePolled checks what an entry of a large zone polls from the
// engines that other entries poll.
func TestMismatchedEnginesArePolled(t *testing.T) {
	restarted := stateWith(1, 0, "chat")
	restarted.Incarnation = "later"
	for _, c := range []struct {
		name string
		// local is what the entry last read itself; nil means nothing.
		local *engine.State
		// readAgo is the age of that report; zero means very old.
		readAgo time.Duration
		shared  engine.State
		want    fleet.PollScope
		// running is the number of running requests that the entry then has recorded.
		running int
	}{
		{"newer load", state(stateWith(5, 0, "chat")), 0, stateWith(6, 0, "chat"), fleet.PollNothing, 6},
		{"older load", state(stateWith(5, 0, "chat")), 0, stateWith(4, 0, "chat"), fleet.PollNothing, 5},
		{"never read", nil, 0, stateWith(6, 0, "chat"), fleet.PollState, 0},
		{"another model", state(stateWith(5, 0, "chat")), 0, stateWith(6, 0, "chat", "code"), fleet.PollState, 5},
		{"restarted", state(stateWith(5, 0, "chat")), 0, restarted, fleet.PollState, 5},
		{"another model, but older than the local report", state(stateWith(5, 0, "chat")), 0, stateWith(4, 2*time.Second, "code"), fleet.PollNothing, 5},
		{"other weights in another order", state(stateWith(5, 0, "chat", "code")), 0, stateWith(6, 0, "code", "chat"), fleet.PollNothing, 6},
		{"still another model", state(stateWith(5, 0, "chat")), repollInterval / 2, stateWith(6, 0, "code"), fleet.PollNothing, 5},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, poller, roster := largeZone(directPollLimit + 1)
				time.Sleep(time.Minute)
				if c.readAgo != 0 {
					r.local["e0"] = localReport{state: *c.local, at: time.Now().Add(-c.readAgo)}
				}
				if c.local != nil {
					r.common.store.ApplyReports(r.common.now(), fleet.Report{Endpoint: "e0", State: *c.local, MeasuredAt: r.common.now()})
				}
				time.Sleep(time.Second)
				poller.Publish([]share.Report{toShared("e0", localReport{state: c.shared}, 0)})
				r.reportStore.Merge(roster, poller.NewerBatches(roster, nil))
				r.mergeShared()
				polled := map[string]fleet.PollScope{}
				for _, e := range r.common.store.Snapshot().Endpoints() {
					if scope := r.pollScope(e); scope != fleet.PollNothing {
						polled[e.Name] = scope
					}
				}
				want := map[string]fleet.PollScope{}
				if c.want != fleet.PollNothing {
					want["e0"] = c.want
				}
				if diff := cmp.Diff(want, polled); diff != "" {
					t.Errorf("polled (-want +got):\n%s", diff)
				}
				if got := r.common.store.Snapshot().Endpoints()[0].Load.Running; got != c.running {
					t.Errorf("%d running, want %d", got, c.running)
				}
			})
		})
	}
}

func state(s engine.State) *engine.State { return &s }
