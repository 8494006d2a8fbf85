package controller

import (
	"context"
	"strings"

	"golang.org/x/sync/errgroup"

	"github.com/springweir/springweir/contact"
	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/lease"
	"github.com/springweir/springweir/membership"
	"github.com/springweir/springweir/operator/history"
	pb "github.com/springweir/springweir/operator/operatorpb"
	"github.com/springweir/springweir/peer"
	"github.com/springweir/springweir/peer/viewpb"
)

// fleetStatus implements operator.Fleet with the state that this controller can reach.
type fleetStatus struct{ c *Controller }

// maxLeases is the maximum number of leases listed.
const maxLeases = 1000

// Status implements operator.Fleet. Parts that cannot be read are listed as unavailable in the
// response.
func (f *fleetStatus) Status(ctx context.Context) (*pb.FleetStatus, error) {
	status := &pb.FleetStatus{Vm: f.c.process.VM, Zone: f.c.process.Zone}
	f.config(ctx, status)
	f.leases(ctx, status)
	f.zones(ctx, status)
	f.changes(ctx, status)
	status.Decisions = f.c.decisions.list()
	return status, nil
}

// addUnavailable records in status that a part could not be read.
func addUnavailable(status *pb.FleetStatus, what string, err error) {
	status.Unavailable = append(status.Unavailable, what+": "+string(failure.ReasonOf(err)))
}

func (f *fleetStatus) config(ctx context.Context, status *pb.FleetStatus) {
	known := uint64(f.c.trees.applier.Current().Version)
	status.Config = &pb.ConfigState{Version: known, ConfirmationUnknown: true}
	store := history.New(f.c.store)
	head, err := store.Head(ctx)
	if err != nil {
		addUnavailable(status, "configuration", err)
		return
	}
	if head == 0 {
		return
	}
	state, err := store.State(ctx, head)
	if err != nil {
		addUnavailable(status, "confirmations", err)
		return
	}
	status.Config = state
}

func (f *fleetStatus) leases(ctx context.Context, status *pb.FleetStatus) {
	rows, err := f.c.platform.Rows.Scan(ctx, lease.TableName, "", "", maxLeases)
	if err != nil {
		addUnavailable(status, "leases", err)
		return
	}
	for _, row := range rows {
		rec, err := lease.Decode(row)
		if err != nil {
			addUnavailable(status, row.Key.String(), err)
			continue
		}
		pool, zone, _ := strings.Cut(row.Key.Row, "/")
		l := &pb.Lease{Pool: pool, Zone: zone, Fence: rec.Fence}
		if !rec.Released {
			l.Holder = rec.Holder.VM
		}
		status.Leases = append(status.Leases, l)
	}
}

// zones queries the status of all entries concurrently, and then the endpoints of each zone from
// one entry that responded.
func (f *fleetStatus) zones(ctx context.Context, status *pb.FleetStatus) {
	vms := f.entries()
	responses := make([]*viewpb.FleetResponse, len(vms))
	status.Vms = make([]*pb.VM, len(vms))
	var g errgroup.Group
	g.SetLimit(maxConcurrentViews)
	for i, vm := range vms {
		g.Go(func() error {
			resp, err := f.fleet(ctx, vm.Address, true)
			if err == nil {
				responses[i] = resp
			}
			status.Vms[i] = vmStatus(vm, resp, err)
			return nil
		})
	}
	_ = g.Wait() // the functions return no error
	queried := map[string]bool{}
	for i, vm := range vms {
		if responses[i] == nil || queried[vm.Zone] {
			continue
		}
		if resp, err := f.fleet(ctx, vm.Address, false); err == nil {
			queried[vm.Zone] = true
			addEndpoints(resp, status)
		}
	}
}

// entries returns the entry VMs on the membership list.
func (f *fleetStatus) entries() []membership.VM {
	var list []membership.VM
	for _, vm := range f.c.members.Snapshot().VMs {
		if vm.Kind == membership.Entry {
			list = append(list, vm)
		}
	}
	return list
}

// changes adds the open orders of this zone's endpoints, and what pending changes are waiting for.
// Only the controller that leads a pool has the latter.
func (f *fleetStatus) changes(ctx context.Context, status *pb.FleetStatus) {
	open := map[string]string{}
	for pool := range f.c.localPools() {
		entries, err := f.c.journal.List(ctx, pool, f.c.process.Zone)
		if err != nil {
			addUnavailable(status, "orders of pool "+pool, err)
			continue
		}
		for _, e := range entries {
			if e.IsOpen() {
				open[e.Engine] = orderText(e.Order)
			}
		}
	}
	for _, e := range status.Endpoints {
		e.Order = open[e.Name]
		if w := f.c.waitingFor(e.Pool, e.Name); w != nil {
			e.WaitingFor = append(e.WaitingFor, w.Error())
		}
	}
}

// orderText describes an order: its kind, and the role or artifact.
func orderText(o engine.Order) string {
	switch {
	case o.Kind == engine.ChangeRole:
		return string(o.Kind) + " " + string(o.Role)
	case o.Artifact != nil:
		return string(o.Kind) + " " + o.Artifact.Model + "@" + o.Artifact.Version
	default:
		return string(o.Kind)
	}
}

func (f *fleetStatus) fleet(ctx context.Context, address string, brief bool) (*viewpb.FleetResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	return peer.ViewAt(address, f.c.transport).Fleet(ctx, &viewpb.FleetRequest{Brief: brief})
}

func vmStatus(vm membership.VM, resp *viewpb.FleetResponse, err error) *pb.VM {
	out := &pb.VM{Name: vm.Name, Zone: vm.Zone, Leaving: vm.Leaving}
	if err != nil {
		out.Reason = "unreachable"
		return out
	}
	out.Config = resp.Config
	out.Serving = resp.Standing == string(contact.Active)
	if !out.Serving {
		out.Reason = resp.Standing
	}
	return out
}

func addEndpoints(resp *viewpb.FleetResponse, status *pb.FleetStatus) {
	for _, e := range resp.Endpoints {
		out := &pb.Endpoint{
			Name: e.Name, Zone: resp.Zone, Pool: e.Pool, Service: e.Service,
			Role: e.Role, Incarnation: e.Incarnation, Streams: e.Streams,
			Leaving: e.Leaving, Withheld: e.Withheld, Ejected: e.Ejected,
			Reachable: e.Known, AgeMs: e.AgeMs,
		}
		for _, a := range e.Loaded {
			out.Models = append(out.Models, artifactName(a))
		}
		status.Endpoints = append(status.Endpoints, out)
	}
}

func artifactName(a *viewpb.LoadedArtifact) string {
	name := a.Model
	if a.Adapter != "" {
		name += ":" + a.Adapter
	}
	return name + "@" + a.Version
}
