package operator_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/operator"
	"github.com/springweir/springweir/operator/fakeoperator"
	pb "github.com/springweir/springweir/operator/operatorpb"
)

const tree = `[zone "a"]
[pool "p"]
floor = 1
[endpoint "e1"]
pool = p
zone = a
address = 127.0.0.1:1
[endpoint "e2"]   # the spare
pool = p
zone = a
address = 127.0.0.1:2
`

// fixture is two controllers that share one history, and a client of both.
type fixture struct {
	store  *fakeoperator.Store
	fleet  *fakeoperator.Fleet
	hosts  []*httptest.Server
	client *operator.Client
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{store: &fakeoperator.Store{}, fleet: &fakeoperator.Fleet{}}
	var addresses []string
	for range 2 {
		host := httptest.NewServer(operator.NewServer(f.store, f.fleet).Handler())
		t.Cleanup(host.Close)
		f.hosts = append(f.hosts, host)
		addresses = append(addresses, host.Listener.Addr().String())
	}
	f.client = operator.NewClient(addresses, http.DefaultClient)
	return f
}

func (f *fixture) put(t *testing.T, base uint64, text, id string) *pb.ConfigState {
	t.Helper()
	state, err := f.client.PutConfig(t.Context(), &pb.PutConfigRequest{Base: base, Text: []byte(text), Author: "anna", WriteId: id})
	if err != nil {
		t.Fatal(err)
	}
	return state
}

func (f *fixture) head(t *testing.T) *pb.Config {
	t.Helper()
	c, err := f.client.GetConfig(t.Context(), 0)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func drain(endpoint, id string) *pb.PlanRequest {
	return &pb.PlanRequest{Kind: pb.PlanKind_PLAN_KIND_DRAIN, Endpoint: endpoint, Author: "anna", WriteId: id}
}

func TestErrorsKeepReason(t *testing.T) {
	f := newFixture(t)
	f.put(t, 0, tree, "w1")
	plan := func(r *pb.PlanRequest) error { _, err := f.client.Plan(t.Context(), r); return err }
	put := func(r *pb.PutConfigRequest) error { _, err := f.client.PutConfig(t.Context(), r); return err }
	rows := []struct {
		name string
		err  error
		want failure.Reason
	}{
		{"bad text", put(&pb.PutConfigRequest{Base: 1, Text: []byte("[x]"), WriteId: "w"}), failure.BadSettings},
		{"no write id", put(&pb.PutConfigRequest{Base: 1}), failure.BadRequest},
		{"author that would garble a terminal", put(&pb.PutConfigRequest{Base: 1, Text: []byte(tree), WriteId: "w", Author: "a\x1b[2J"}), failure.BadRequest},
		{"conflict", put(&pb.PutConfigRequest{Base: 0, Text: []byte(tree), WriteId: "w2"}), failure.ConfigConflict},
		{"no endpoint", plan(drain("e9", "w3")), failure.NoSuchEndpoint},
		{"no kind", plan(&pb.PlanRequest{Endpoint: "e1", WriteId: "w4"}), failure.BadPlan},
		{"replace by itself", plan(&pb.PlanRequest{Kind: pb.PlanKind_PLAN_KIND_REPLACE, Endpoint: "e1", Replacement: "e1", WriteId: "w5"}), failure.BadSettings},
		{"no version", func() error { _, err := f.client.GetConfig(t.Context(), 7); return err }(), failure.NoSuchVersion},
		{"too long a history", func() error { _, err := f.client.History(t.Context(), 0, 1000); return err }(), failure.BadRequest},
	}
	for _, r := range rows {
		if got := failure.ReasonOf(r.err); got != r.want {
			t.Errorf("%s: got %s (%v), want %s", r.name, got, r.err, r.want)
		}
	}
	var remote *operator.RemoteError
	if !errors.As(rows[0].err, &remote) || len(remote.Problems) != 1 || remote.Problems[0].Line != 1 {
		t.Errorf("problems lost on the wire: %v", rows[0].err)
	}
	if got := f.head(t).Version; got != 1 {
		t.Errorf("a refused call committed a version: newest is %d, want 1", got)
	}
}

func TestLostResponseIsResolvedAtNextController(t *testing.T) {
	f := newFixture(t)
	f.store.LoseNextResponse()
	if state := f.put(t, 0, tree, "w1"); state.Version != 1 {
		t.Fatalf("got version %d, want 1", state.Version)
	}
	f.store.LoseNextResponse()
	resp, err := f.client.Plan(t.Context(), drain("e1", "w2"))
	if err != nil || resp.State.Version != 2 {
		t.Fatalf("got %v, %v, want version 2", resp, err)
	}
}

// TestPlanTakesEffectOnce repeats a plan after another plan has reverted it. The repeat must not
// apply it again.
func TestPlanTakesEffectOnce(t *testing.T) {
	f := newFixture(t)
	f.put(t, 0, tree, "w1")
	for _, r := range []*pb.PlanRequest{
		drain("e1", "w2"),
		{Kind: pb.PlanKind_PLAN_KIND_UNDRAIN, Endpoint: "e1", WriteId: "w3"},
		drain("e1", "w2"),
	} {
		if _, err := f.client.Plan(t.Context(), r); err != nil {
			t.Fatal(err)
		}
	}
	if c := f.head(t); c.Version != 3 || string(c.Text) != tree {
		t.Errorf("version %d:\n%s", c.Version, c.Text)
	}
}

func TestPlanRetriesAfterConflict(t *testing.T) {
	f := newFixture(t)
	f.put(t, 0, tree, "w1")
	f.store.BeforeNextPut(func() { f.put(t, 1, strings.Replace(tree, "floor = 1", "floor = 0", 1), "w2") })
	if _, err := f.client.Plan(t.Context(), drain("e2", "w3")); err != nil {
		t.Fatal(err)
	}
	want := strings.Replace(strings.Replace(tree, "floor = 1", "floor = 0", 1), "address = 127.0.0.1:2", "address = 127.0.0.1:2\ndrain = yes", 1)
	if diff := cmp.Diff(want, string(f.head(t).Text)); diff != "" {
		t.Errorf("(-want +got)\n%s", diff)
	}
}

func TestPlanRespectsFloor(t *testing.T) {
	f := newFixture(t)
	f.put(t, 0, tree, "w1")
	f.fleet.Set(&pb.FleetStatus{Endpoints: []*pb.Endpoint{{Name: "e2", Reachable: true, Streams: 3}}})
	if _, err := f.client.Plan(t.Context(), drain("e1", "w2")); err != nil {
		t.Fatal(err)
	}
	last := drain("e2", "w3")
	if _, err := f.client.Plan(t.Context(), last); failure.ReasonOf(err) != failure.BadPlan {
		t.Errorf("draining the last endpoint: got %v", err)
	}
	last.Preview = true
	preview, err := f.client.Plan(t.Context(), last)
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, e := range preview.Effects {
		got = append(got, e.Reason)
	}
	if diff := cmp.Diff([]string{"below-floor", "streams-open"}, got); diff != "" || preview.State != nil {
		t.Errorf("preview: (-want +got)\n%s state %v", diff, preview.State)
	}
	last.Preview, last.Force = false, true
	if resp, err := f.client.Plan(t.Context(), last); err != nil || resp.State.Version != 3 {
		t.Errorf("forced: got %v, %v", resp, err)
	}
}

func TestClientTriesNextController(t *testing.T) {
	f := newFixture(t)
	f.hosts[0].Close()
	if state := f.put(t, 0, tree, "w1"); state.Version != 1 {
		t.Errorf("got version %d", state.Version)
	}
	f.store.SetDown(true)
	_, err := f.client.GetConfig(t.Context(), 0)
	var unreachable *operator.UnreachableError
	if !errors.As(err, &unreachable) || len(unreachable.Errors) != 2 {
		t.Fatalf("got %v, want both controllers tried", err)
	}
	if got := failure.ReasonOf(unreachable.Errors[1]); got != failure.TableUnavailable {
		t.Errorf("second controller: got %s, want its reason", got)
	}
}

// TestWrongServerIsUnreachable checks that the response of an unrelated HTTP server is not accepted
// as a controller's.
func TestWrongServerIsUnreachable(t *testing.T) {
	other := httptest.NewServer(http.NotFoundHandler())
	defer other.Close()
	client := operator.NewClient([]string{other.Listener.Addr().String()}, http.DefaultClient)
	_, err := client.Status(t.Context())
	if failure.ReasonOf(err) != failure.OperatorUnreachable {
		t.Errorf("got %v", err)
	}
}

func TestPendingErrorNamesZonesAndVMs(t *testing.T) {
	f := newFixture(t)
	f.store.SetPending(&pb.PendingZone{Zone: "a", Confirmed: 0, Missing: []string{"entry-3"}}, &pb.PendingZone{})
	state := f.put(t, 0, tree, "w1")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := f.client.WaitAccepted(ctx, state)
	want := "version 1 is committed but pending: zone a is at version 0, missing on entry-3; no VM has joined"
	if err == nil || err.Error() != want {
		t.Errorf("got %v, want %s", err, want)
	}
}

// TestCommittedEditIsNotReportedFailed makes only the read of the rollout state fail. The edit is
// committed by then and must be reported as such.
func TestCommittedEditIsNotReportedFailed(t *testing.T) {
	f := newFixture(t)
	f.store.SetStateUnavailable(true)
	state := f.put(t, 0, tree, "w1")
	if state.Version != 1 || state.Accepted || !state.ConfirmationUnknown {
		t.Errorf("got %v", state)
	}
}
