package gateway

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/feedshare"
	"github.com/springweir/springweir/internal/network"
	"github.com/springweir/springweir/table"
)

// newFollowingGateway returns a gateway that only follows endpoints, and a counter of the snapshots
// that it makes. A row's value is the endpoint's address; an empty value is malformed.
func newFollowingGateway() (g *Gateway, snapshots *int) {
	snapshots = new(int)
	g = &Gateway{state: &state{}, endpoints: feedshare.NewSource("t", feedshare.Settings{}, nil, nil, nil), directory: directory.New(func(_, _ *directory.Snapshot) { *snapshots++ })}
	g.platform.DecodeEndpoint = func(row table.Row) (directory.Registration, error) {
		if len(row.Value) == 0 {
			return directory.Registration{}, errors.New("malformed")
		}
		return directory.Registration{ID: row.Key.Row, Service: "s", Address: string(row.Value)}, nil
	}
	return g, snapshots
}

func registered(id, address string) table.Change {
	return table.Change{Row: table.Row{Key: table.Key{Table: "t", Row: id}, Value: []byte(address)}}
}

func deregistered(id string) table.Change {
	return table.Change{Row: table.Row{Key: table.Key{Table: "t", Row: id}}, Deleted: true}
}

func TestManyRegistrationsMakeOneSnapshot(t *testing.T) {
	g, snapshots := newFollowingGateway()
	var changes []table.Change
	for i := range 3000 {
		changes = append(changes, registered(fmt.Sprint("e", i), "a"))
	}
	g.applyEndpointChanges(changes, false)
	if n := g.directory.Snapshot().Len(); n != 3000 || *snapshots != 1 {
		t.Errorf("%d endpoints in %d snapshots, want 3000 in 1", n, *snapshots)
	}
}

// Changes take effect in order. A malformed row removes the endpoint of that ID until a valid row
// arrives.
func TestChangesApplyInOrder(t *testing.T) {
	g, _ := newFollowingGateway()
	g.applyEndpointChanges([]table.Change{
		registered("e1", "a"), registered("e2", "a"), deregistered("e1"), registered("e1", "b"),
		registered("e2", "c"), registered("e3", "a"), deregistered("e3"), registered("e2", ""),
		registered("e4", ""), registered("e4", "d"),
	}, false)
	var got []string
	for _, e := range g.directory.Snapshot().Service("s") {
		got = append(got, e.ID+"="+e.Address)
	}
	if diff := cmp.Diff("e1=b e4=d", strings.Join(got, " ")); diff != "" {
		t.Error(diff)
	}
}

// Malformed rows in a complete listing read after an outage are removed at once, rather than kept
// as rows that may return.
func TestMalformedRowsAreNotKeptAfterAnOutage(t *testing.T) {
	g, _ := newFollowingGateway()
	g.applyEndpointChanges([]table.Change{registered("e1", "a"), registered("e2", "a"), registered("e3", "a")}, false)
	g.applyEndpointList([]table.Row{registered("e1", "a").Row, registered("e2", "").Row}, table.Listing{AfterOutage: true})
	var got []string
	for _, e := range g.directory.Snapshot().Service("s") {
		got = append(got, e.ID)
	}
	if diff := cmp.Diff([]string{"e1", "e3"}, got); diff != "" {
		t.Error(diff)
	}
}

// Stale connections are closed as soon as an endpoint restarts under the same ID.
func TestRestartOfAnEndpointClosesItsConnections(t *testing.T) {
	closeCalls := 0
	g := New(Settings{VM: "vm", Zone: "a", Peers: "127.0.0.1:0"}, Platform{CloseStaleConnections: func(*directory.Snapshot) { closeCalls++ }}, network.TCP())
	put := func(startedAt int64) {
		g.directory.Put(directory.Registration{ID: "e", Service: "s", StartedAt: startedAt})
	}
	put(1)
	put(1)
	if closeCalls != 0 {
		t.Error("connections were closed without a restart")
	}
	put(2)
	put(1) // late registration of the previous incarnation
	if closeCalls != 1 {
		t.Errorf("stale connections closed %d times, want once", closeCalls)
	}
}
