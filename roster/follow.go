package roster

import (
	"context"
	"encoding/json"
	"time"

	"k8s.io/klog/v2"

	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/table"
)

// follow keeps up with the table.
func (r *Roster) follow(ctx context.Context) {
	f := &table.Follower{
		Feed: r.feed, Table: Table, Wait: followWait,
		OnList: func(rows []table.Row, l table.Listing) {
			r.list(rows, l.NewEpoch)
			r.listOnce.Do(func() { close(r.listed) })
		},
		OnChanges: func(changes []table.Change, _ bool) {
			if len(changes) > 0 {
				r.change(changes)
			}
		},
		OnUnavailable: func(err error) { klog.InfoS("roster: VMs cannot be followed, the known ones stay", "err", err) },
	}
	f.Run(ctx)
}

// list takes in the whole table. VMs that only told of themselves are forgotten: they tell it
// again. Those that a copy of the store lacks count for a while more, until they have written
// their rows again.
func (r *Roster) list(rows []table.Row, newEpoch bool) {
	r.mu.Lock()
	known := r.others
	r.others = map[string]VM{}
	before := r.sightings
	r.sightings = map[string]sighting{}
	own := false
	for _, row := range rows {
		r.see(row, before[row.Key.Row])
		own = own || r.isOwn(row)
	}
	lost := 0
	if newEpoch {
		lost = r.keepLost(known, own)
	}
	if !own {
		r.rewrite(lost + 1) // the others take this VM for gone, or for an earlier start of it
	}
	r.mu.Unlock()
	r.onChange(r.Others())
}

// isOwn tells whether a row is this VM's, as it writes it.
func (r *Roster) isOwn(row table.Row) bool {
	var vm VM
	return row.Key.Row == r.self.Name && json.Unmarshal(row.Value, &vm) == nil && vm == r.self
}

// keepLost keeps the VMs that a copy of the store lacks, for a while, and returns their number. The
// caller holds mu.
func (r *Roster) keepLost(known map[string]VM, own bool) int {
	var lost []string
	now := clock.Now()
	for name, vm := range known {
		if _, listed := r.others[name]; !listed {
			r.others[name], r.lost[name] = vm, now
			lost = append(lost, name)
		}
	}
	klog.InfoS("roster: the store has come back from a copy", "vms", len(r.others), "kept", lost, "ownRowLost", !own)
	time.AfterFunc(rewriteGrace, func() { r.forgetLost(lost, now) })
	return len(lost)
}

// forgetLost drops VMs whose rows were lost at a time and have not been written again. One whose row
// was lost once more since has its time anew.
func (r *Roster) forgetLost(names []string, since time.Time) {
	r.mu.Lock()
	for _, name := range names {
		if r.lost[name].After(since) {
			continue
		}
		delete(r.lost, name)
		if _, there := r.sightings[name]; !there {
			delete(r.others, name)
		}
	}
	r.mu.Unlock()
	r.onChange(r.Others())
}

// change takes in changes, in their order.
func (r *Roster) change(changes []table.Change) {
	r.mu.Lock()
	for _, c := range changes {
		name := c.Row.Key.Row
		if !c.Deleted {
			r.see(c.Row, r.sightings[name])
			continue
		}
		delete(r.others, name)
		delete(r.sightings, name)
		if name == r.self.Name {
			r.rewrite(1)
		}
	}
	r.mu.Unlock()
	r.onChange(r.Others())
}

// see takes in a row, given how it was seen before. The caller holds mu.
func (r *Roster) see(row table.Row, before sighting) {
	if before.version != row.Version {
		before = sighting{version: row.Version, since: clock.Now()}
	}
	r.sightings[row.Key.Row] = before
	var vm VM
	if err := json.Unmarshal(row.Value, &vm); err != nil || vm.Name != row.Key.Row {
		klog.ErrorS(err, "roster: row not understood", "row", row.Key.Row)
		return
	}
	if vm.Name != r.self.Name {
		r.others[vm.Name] = vm
	}
}
