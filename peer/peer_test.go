package peer

import (
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/springweir/springweir/contact"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/leaving"
	"github.com/springweir/springweir/peer/fakenet"
	"github.com/springweir/springweir/peer/share"
	"github.com/springweir/springweir/rollout"
	"github.com/springweir/springweir/withhold"
)

// testEntry holds the components of one entry that may serve.
type testEntry struct {
	member  *contact.Member
	gate    *withhold.Gate
	set     *leaving.Set
	reports *share.ReportStore
	client  *Client
}

// newZone creates a zone of entries. listen serves an entry's handler and returns its
// address; dial returns the transport for an entry's calls.
func newZone(vms int, listen func(name string, h http.Handler) string, dial func(name string) http.RoundTripper) (contact.Roster, []*testEntry) {
	roster := contact.Roster{}
	entries := make([]*testEntry, vms)
	for i := range entries {
		name := fmt.Sprintf("vm-%03d", i)
		e := &testEntry{set: leaving.NewSet(), reports: share.NewReportStore(name)}
		e.gate = withhold.NewGate(e.set)
		e.member = contact.NewMember("z", name, e.gate.ApplyRoster)
		e.gate.SetPermit(e.member)
		s := NewServer(ServerConfig{
			Instance: uint64(i + 1), Member: e.member, Gate: e.gate, Reports: e.reports, Leaving: e.set,
			Applier: rollout.NewApplier(func(rollout.Document) error { return nil }),
		})
		_, h := s.Handler()
		e.client = NewClient(s, dial(name))
		roster = roster.Join("z", name, listen(name, h))
		entries[i] = e
	}
	for _, e := range entries {
		e.member.RecordJoin(roster, time.Now())
	}
	return roster, entries
}

// newFakeNetZone creates a zone on an in-memory network.
func newFakeNetZone(n *fakenet.Net, vms int) (contact.Roster, []*testEntry) {
	listen := func(name string, h http.Handler) string { n.Listen(name, h); return name }
	return newZone(vms, listen, n.Transport)
}

// An endpoint that reports that it is leaving gets no new work from any entry of the zone
// after leaving.MaxStopDelay, at whatever time between two polls it reports. There is no
// platform at all.
func TestLeavingEndpointStopsWithinBound(t *testing.T) {
	for at := time.Duration(0); at <= leaving.EndpointPollInterval; at += 250 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			n := fakenet.New()
			n.SetDelay(50 * time.Millisecond)
			_, entries := newFakeNetZone(n, 5)
			exchanger := NewExchanger(entries[0].member, nil, entries[0].client, nil)
			var announced atomic.Bool
			go func() { // the entry that polls the endpoint
				for range 10 {
					time.Sleep(leaving.EndpointPollInterval)
					if entries[0].set.Record("e", "1", announced.Load()) {
						exchanger.AnnounceLeaving(t.Context(), "e", "1")
					}
				}
			}()
			time.Sleep(at)
			announced.Store(true)
			time.Sleep(leaving.MaxStopDelay)
			for i, e := range entries {
				e.member.RecordContact(time.Now())
				var refused *withhold.LeavingError
				if _, err := e.gate.TryAcquire("e"); !errors.As(err, &refused) {
					t.Errorf("entry %d, announced at %v: %v", i, at, err)
				}
			}
			time.Sleep(time.Minute)
		})
	}
}

// Guards against a process that starts and sends to a withheld endpoint: it takes its first roster from a VM that was
// told to withhold the endpoint, but has not read the roster that says so.
func TestVMWithOlderRosterThanItsDecisionsAdmitsNoProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := fakenet.New()
		roster, entries := newFakeNetZone(n, 2)
		starting, vm := entries[0].client, roster.VMs[1]
		serving := func() bool {
			response, err := starting.Exchange(t.Context(), vm)
			if err != nil {
				t.Fatal(err)
			}
			return response.Serving
		}
		if !serving() {
			t.Error("a VM without decisions does not serve")
		}
		next := roster.Withhold("e")
		if a, err := NewControllerClient(n.Transport("control")).Withhold(t.Context(), vm, "e", next.Revision); err != nil || !a.Withheld {
			t.Errorf("Withhold: %+v, %v", a, err)
		}
		if serving() {
			t.Error("a VM serves a roster that lacks what it withholds")
		}
		entries[1].member.ApplyRoster(next)
		if !serving() {
			t.Error("a VM that has read the roster does not serve")
		}
	})
}

func TestCallsOverTheNetwork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := fakenet.New()
		roster, entries := newFakeNetZone(n, 2)
		c, vm := NewControllerClient(n.Transport("control")), roster.VMs[1]
		if a, err := c.Withhold(t.Context(), vm, "e", 9); err != nil || !a.Withheld || a.Instance != 2 {
			t.Errorf("Withhold: %+v, %v", a, err)
		}
		if a, err := c.Restore(t.Context(), vm, "e", 10); err != nil || a.Withheld || a.Epoch != 10 {
			t.Errorf("Restore: %+v, %v", a, err)
		}
		doc := rollout.NewDocument(3, []byte("text"))
		if a, err := c.ApplyConfig(t.Context(), vm, rollout.NewUpdate(rollout.NewDocument(2, nil), doc)); err != nil || a.Config != 0 {
			t.Errorf("a patch without its base: %+v, %v", a, err)
		}
		if a, err := c.ApplyConfig(t.Context(), vm, rollout.NewUpdate(rollout.Document{}, doc)); err != nil || a.Config != 3 {
			t.Errorf("ApplyConfig: %+v, %v", a, err)
		}
		if u, err := entries[0].client.FetchConfig(t.Context(), vm, rollout.None); err != nil || u.Version != 3 {
			t.Errorf("FetchConfig: %+v, %v", u, err)
		}
		// A call across a partition ends at its timeout with an error that names the VM.
		n.Partition("control", vm.Address, true)
		start := time.Now()
		_, err := c.Restore(t.Context(), vm, "e", 11)
		var failed *CallError
		if !errors.As(err, &failed) || failed.VM != vm.Name || failure.ReasonOf(err) != failure.PeerUnreachable {
			t.Errorf("a call across a partition: %v", err)
		}
		if took := time.Since(start); took != callTimeout {
			t.Errorf("it took %v", took)
		}
		start = time.Now()
		if _, err := c.Probe(t.Context(), vm); err == nil || time.Since(start) != queryTimeout {
			t.Errorf("a probe across a partition: %v after %v", err, time.Since(start))
		}
	})
}

// A call whose reused connection fails, or that is redirected, is handled at most once for
// each time it is sent.
func TestCallsAreNotRetried(t *testing.T) {
	var handled atomic.Int32
	var bytes atomic.Int64
	address := listen(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch handled.Add(1) {
		case 1: // leaves the connection open for reuse
			w.Header().Set("Content-Type", "application/protobuf")
		case 2:
			panic(http.ErrAbortHandler) // closes it in the middle
		default:
			http.Redirect(w, r, r.URL.Path, http.StatusTemporaryRedirect)
		}
	}), &bytes)
	c := NewControllerClient(NewTransport())
	vm := contact.VM{Name: "vm", Address: address}
	for sent := int32(1); sent <= 3; sent++ {
		if _, err := c.Probe(t.Context(), vm); (err == nil) != (sent == 1) {
			t.Errorf("call %d: %v", sent, err)
		}
		if got := handled.Load(); got != sent {
			t.Errorf("%d calls handled for %d sent", got, sent)
		}
	}
}
