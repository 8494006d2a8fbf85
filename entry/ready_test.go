package entry

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/caller/wire"
	"github.com/springweir/springweir/contact"
	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/fleet"
	"github.com/springweir/springweir/prefix"
	"github.com/springweir/springweir/table"
)

// TestReadyAfterWarmup checks that an entry is not ready before its engines have reported,
// unless they stay unresponsive for warmupTimeout, and that it then remains ready.
func TestReadyAfterWarmup(t *testing.T) {
	store := fleet.NewStore("a", fleet.NewMatchedLedger(reservationExpiry), prefix.NewViews(maxPrefixPairs))
	spec := func(name string) fleet.Spec { return fleet.Spec{Name: name, Kind: fleet.Engine, Zone: "a"} }
	report := func(name string) fleet.Report {
		return fleet.Report{Endpoint: name, State: engine.State{Incarnation: "i", Role: engine.Mixed}}
	}
	store.SetSpecs([]fleet.Spec{spec("e1"), spec("e2"), {Name: "s1", Kind: fleet.Service, Zone: "a"}})
	var reported, unresponsive warmup
	isReady := func(now time.Duration) []bool {
		return []bool{reported.isWarm(now, store.Snapshot()), unresponsive.isWarm(now, store.Snapshot())}
	}
	var got [][]bool
	got = append(got, isReady(0))
	store.ApplyReports(0, report("e1"))
	got = append(got, isReady(warmupTimeout-1))
	got = append(got, []bool{true, unresponsive.isWarm(warmupTimeout, store.Snapshot())})
	store.ApplyReports(warmupTimeout, report("e2"))
	got = append(got, []bool{reported.isWarm(warmupTimeout-1, store.Snapshot()), true})
	store.SetSpecs([]fleet.Spec{spec("e1"), spec("e2"), spec("e3")})
	got = append(got, isReady(2*warmupTimeout))
	want := [][]bool{{false, false}, {false, false}, {true, true}, {true, true}, {true, true}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// TestNotReadyWithoutContact checks that a VM in a zone of three which has reached neither
// the table nor a peer for contact.Lapse is not ready, and rejects requests of callers and
// of other zones' entries as not run.
func TestNotReadyWithoutContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestZone(t, inMemoryOptions())
		defer s.shutDown()
		s.addUnresponsiveVMs("vm2", "vm3")
		time.Sleep(2 * contact.Timeout)
		hop := map[string]string{wire.HeaderHop: "b", wire.HeaderAttempt: "hop.1"}
		requests := map[string]request{
			"call":           {method: http.MethodPost, path: "/s/slots/confirm"},
			"forwarded call": {method: http.MethodPost, path: "/s/slots/confirm", to: s.entry.listeners.peers, header: hop},
			"forwarded chat": chatRequest("May it?", 5, true),
		}
		chat := requests["forwarded chat"]
		chat.to, chat.header = s.entry.listeners.peers, hop
		requests["forwarded chat"] = chat
		check := func(when string, status int, reason failure.Reason) {
			if got := s.get(s.entry.listeners.metrics, "/readyz"); got != status {
				t.Errorf("%s: health check returned %d, want %d", when, got, status)
			}
			for name, r := range requests {
				got, body, _ := s.do(t.Context(), r)
				if got != status || reason != "" && !strings.Contains(body, string(reason)+`","outcome":"not-run"`) {
					t.Errorf("%s: %s: status %d, %s", when, name, got, body)
				}
			}
		}
		check("in contact", http.StatusOK, "")
		s.rows.SetDown(true)
		time.Sleep(contact.Timeout + time.Second)
		ran := len(s.services.Runs())
		check("without contact", http.StatusServiceUnavailable, failure.ConfigUnconfirmed)
		if got := len(s.services.Runs()); got != ran {
			t.Errorf("%d calls ran, %d before", got, ran)
		}
		s.rows.SetDown(false)
		time.Sleep(contact.Timeout)
		check("contact restored", http.StatusOK, "")
	})
}

// addUnresponsiveVMs adds VMs that never respond to the zone's roster.
func (s *testZone) addUnresponsiveVMs(names ...string) {
	s.tb.Helper()
	rows, err := s.rows.Get(s.tb.Context(), contact.Key("a"))
	if err != nil {
		s.tb.Fatal(err)
	}
	roster, err := contact.Decode(rows[0].Value)
	if err != nil {
		s.tb.Fatal(err)
	}
	roster.Revision++
	roster.TimeoutSince = roster.Revision
	for i, name := range names {
		roster.VMs = append(roster.VMs, contact.VM{Name: name, Address: s.opts.listenAt(200+i, 7100), HasTimeout: true})
	}
	_, err = s.rows.Commit(s.tb.Context(), table.Txn{
		Checks: []table.Check{{Key: rows[0].Key, Version: rows[0].Version}},
		Writes: []table.Write{{Key: rows[0].Key, Value: roster.Encode()}},
	})
	if err != nil {
		s.tb.Fatal(err)
	}
}
