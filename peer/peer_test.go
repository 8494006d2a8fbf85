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

// part is one entry in good standing.
type part struct {
	member *contact.Member
	gate   *withhold.Gate
	set    *leaving.Set
	book   *share.ReportStore
	client *Client
}

// newZone makes a zone of entries that are served by listen, which returns the
// address, and call each other by dial.
func newZone(vms int, listen func(name string, h http.Handler) string, dial func(name string) http.RoundTripper) (contact.Roster, []*part) {
	roster := contact.Roster{}
	parts := make([]*part, vms)
	for i := range parts {
		name := fmt.Sprintf("vm-%03d", i)
		p := &part{set: leaving.NewSet(), book: share.NewReportStore(name)}
		p.gate = withhold.NewGate(p.set)
		p.member = contact.NewMember("z", name, p.gate.ApplyRoster)
		p.gate.SetPermit(p.member)
		s := NewServer(ServerConfig{
			Instance: uint64(i + 1), Member: p.member, Gate: p.gate, Reports: p.book, Leaving: p.set,
			Applier: rollout.NewApplier(func(rollout.Document) error { return nil }),
		})
		_, h := s.Handler()
		p.client = NewClient(s, dial(name))
		roster = roster.Join("z", name, listen(name, h))
		parts[i] = p
	}
	for _, p := range parts {
		p.member.RecordJoin(roster, time.Now())
	}
	return roster, parts
}

// onNet makes a zone on an in-memory network.
func onNet(n *fakenet.Net, vms int) (contact.Roster, []*part) {
	listen := func(name string, h http.Handler) string { n.Listen(name, h); return name }
	return newZone(vms, listen, n.Transport)
}

// An endpoint that says it is leaving gets no new work from any entry of the
// zone within the bound, whenever that falls between two polls. No platform is
// there at all.
func TestLeavingEndpointStopsWithinBound(t *testing.T) {
	for at := time.Duration(0); at <= leaving.EndpointPollInterval; at += 250 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			n := fakenet.New()
			n.SetDelay(50 * time.Millisecond)
			_, parts := onNet(n, 5)
			x := NewExchanger(parts[0].member, nil, parts[0].client, nil)
			var said atomic.Bool
			go func() { // the entry that polls the endpoint
				for range 10 {
					time.Sleep(leaving.EndpointPollInterval)
					if parts[0].set.Record("e", "1", said.Load()) {
						x.AnnounceLeaving(t.Context(), "e", "1")
					}
				}
			}()
			time.Sleep(at)
			said.Store(true)
			time.Sleep(leaving.MaxStopDelay)
			for i, p := range parts {
				p.member.RecordContact(time.Now())
				var refused *withhold.LeavingError
				if _, err := p.gate.TryAcquire("e"); !errors.As(err, &refused) {
					t.Errorf("entry %d, said at %v: %v", i, at, err)
				}
			}
			time.Sleep(time.Minute)
		})
	}
}

func TestCallsOverTheNetwork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := fakenet.New()
		roster, parts := onNet(n, 2)
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
		if u, err := parts[0].client.FetchConfig(t.Context(), vm, rollout.None); err != nil || u.Version != 3 {
			t.Errorf("FetchConfig: %+v, %v", u, err)
		}
		// A call that is cut ends in time and says which VM.
		n.Partition("control", vm.Address, true)
		began := time.Now()
		_, err := c.Restore(t.Context(), vm, "e", 11)
		var failed *CallError
		if !errors.As(err, &failed) || failed.VM != vm.Name || failure.ReasonOf(err) != failure.PeerUnreachable {
			t.Errorf("a call that is cut: %v", err)
		}
		if took := time.Since(began); took != callTimeout {
			t.Errorf("it took %v", took)
		}
		began = time.Now()
		if _, err := c.Probe(t.Context(), vm); err == nil || time.Since(began) != askTimeout {
			t.Errorf("a probe that is cut: %v after %v", err, time.Since(began))
		}
	})
}

// A call on a reused connection that dies, or that is redirected, is handled
// at most once for each time it is sent.
func TestNoHiddenRepeats(t *testing.T) {
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
