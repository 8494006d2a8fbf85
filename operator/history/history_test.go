package history_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"

	"github.com/springweir/springweir/contact"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/object/memobject"
	"github.com/springweir/springweir/operator"
	"github.com/springweir/springweir/operator/fakeoperator"
	"github.com/springweir/springweir/operator/history"
	pb "github.com/springweir/springweir/operator/operatorpb"
	"github.com/springweir/springweir/rollout"
	"github.com/springweir/springweir/table"
	"github.com/springweir/springweir/table/memtable"
)

// newClient returns a client of a server whose history is stored in rows.
func newClient(t *testing.T, rows *memtable.Table) *operator.Client {
	store := history.New(rollout.NewStore(rows, memobject.New()))
	host := httptest.NewServer(operator.NewServer(store, &fakeoperator.Fleet{}).Handler())
	t.Cleanup(host.Close)
	return operator.NewClient([]string{host.Listener.Addr().String()}, http.DefaultClient)
}

func edit(base uint64, text, id string) *pb.PutConfigRequest {
	return &pb.PutConfigRequest{Base: base, Text: []byte(text), Author: "anna", Note: "n " + id, WriteId: id}
}

const text = "[zone \"a\"]\n[pool \"p\"]\nfloor = 0\n[endpoint \"e\"]\npool = p\nzone = a\naddress = 127.0.0.1:1\n"

func TestHistoryThroughAPI(t *testing.T) {
	rows := memtable.New()
	client := newClient(t, rows)
	ctx := t.Context()
	if c, err := client.GetConfig(ctx, 0); err != nil || c.Version != 0 {
		t.Fatalf("before the first version: %v, %v", c, err)
	}
	// Two VMs have joined the zone; nothing is confirmed there yet.
	roster := contact.Roster{Zone: "a", Revision: 1, VMs: []contact.VM{{Name: "entry-1"}, {Name: "entry-2"}}}
	write := table.Write{Key: table.Key{Table: contact.Table, Row: "a"}, Value: roster.Encode()}
	if _, err := rows.Commit(ctx, table.Txn{Writes: []table.Write{write}}); err != nil {
		t.Fatal(err)
	}
	// The response to the first commit is lost; the store finds out that it took effect.
	lost := false
	rows.SetHook(func(c memtable.Call) memtable.Fault {
		first := c.Op == memtable.OpCommit && !lost
		lost = lost || first
		return memtable.Fault{LoseResponse: first}
	})
	state, err := client.PutConfig(ctx, edit(0, text, "w1"))
	if err != nil || !lost {
		t.Fatal(lost, err)
	}
	want := &pb.ConfigState{Version: 1, Pending: []*pb.PendingZone{{Zone: "a"}}}
	if diff := cmp.Diff(want, state, protocmp.Transform()); diff != "" {
		t.Errorf("state (-want +got)\n%s", diff)
	}
	// A plan is committed as the second version, and repeating it commits no third.
	plan := &pb.PlanRequest{Kind: pb.PlanKind_PLAN_KIND_DRAIN, Endpoint: "e", Author: "bela", WriteId: "w2"}
	for range 2 {
		resp, err := client.Plan(ctx, plan)
		if err != nil || resp.State.Version != 2 {
			t.Fatal(resp, err)
		}
	}
	head, err := client.GetConfig(ctx, 0)
	if err != nil || head.Author != "bela" || string(head.Text) != text+"drain = yes\n" {
		t.Errorf("head %v, %v", head, err)
	}
	list, err := client.History(ctx, 0, 0)
	var notes []string
	for _, c := range list {
		notes = append(notes, c.Note)
	}
	if diff := cmp.Diff([]string{"drain e", "n w1"}, notes); diff != "" || err != nil {
		t.Errorf("history (-want +got)\n%s%v", diff, err)
	}
}

func TestHistoryErrorReasons(t *testing.T) {
	rows := memtable.New()
	client := newClient(t, rows)
	ctx := t.Context()
	if _, err := client.PutConfig(ctx, edit(0, text, "w1")); err != nil {
		t.Fatal(err)
	}
	_, err := client.PutConfig(ctx, edit(0, text, "w2"))
	if failure.ReasonOf(err) != failure.ConfigConflict || !strings.Contains(err.Error(), "version 1 by anna came first") {
		t.Errorf("conflict: got %v", err)
	}
	if _, err := client.GetConfig(ctx, 9); failure.ReasonOf(err) != failure.NoSuchVersion {
		t.Errorf("unknown version: got %v", err)
	}
	if _, err := client.ConfigStatus(ctx, 9); failure.ReasonOf(err) != failure.NoSuchVersion {
		t.Errorf("state of an unknown version: got %v", err)
	}
	rows.SetDown(true)
	if _, err := client.GetConfig(ctx, 0); failure.ReasonOf(err) != failure.OperatorUnreachable {
		t.Errorf("table down: got %v", err)
	}
}
