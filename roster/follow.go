package roster

import (
	"context"
	"encoding/json"
	"time"

	"k8s.io/klog/v2"

	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/table"
)

// follow applies the table's listings and changes until ctx ends.
func (r *Roster) follow(ctx context.Context) {
	f := &table.Follower{
		Feed: r.feed, Table: Table, Wait: feedWait,
		OnList: func(rows []table.Row, l table.Listing) {
			r.applyList(rows, l.NewEpoch)
			r.listOnce.Do(func() { close(r.listed) })
		},
		OnChanges: func(changes []table.Change, _ bool) {
			if len(changes) > 0 {
				r.applyChanges(changes)
			}
		},
		OnUnavailable: func(err error) { klog.InfoS("roster: VMs cannot be followed, keeping the known ones", "err", err) },
	}
	f.Run(ctx)
}

// applyList applies a complete listing of the table. VMs known only from datagrams are dropped
// until they announce themselves again. VMs that a restored store lacks are kept for rewriteGrace,
// so that they can rewrite their rows.
func (r *Roster) applyList(rows []table.Row, newEpoch bool) {
	r.mu.Lock()
	previousOthers := r.others
	r.others = map[string]VM{}
	previousRows := r.observedRows
	r.observedRows = map[string]observedRow{}
	localListed := false
	for _, row := range rows {
		r.applyRow(row, previousRows[row.Key.Row])
		localListed = localListed || r.isLocalRow(row)
	}
	lost := 0
	if newEpoch {
		lost = r.retainLost(previousOthers, localListed)
	}
	if !localListed {
		r.scheduleRewrite(lost + 1) // otherwise the others treat this VM as removed or not restarted
	}
	r.mu.Unlock()
	r.complete.Store(true)
	r.onChange(r.Others())
}

// isLocalRow reports whether a row is this VM's row with its current contents.
func (r *Roster) isLocalRow(row table.Row) bool {
	var vm VM
	return row.Key.Row == r.self.Name && json.Unmarshal(row.Value, &vm) == nil && vm == r.self
}

// retainLost keeps the VMs that a restored store lacks for rewriteGrace, and returns their number.
// The caller holds mu.
func (r *Roster) retainLost(previousOthers map[string]VM, localListed bool) int {
	var lost []string
	now := clock.Now()
	for name, vm := range previousOthers {
		if _, listed := r.others[name]; !listed {
			r.others[name], r.lost[name] = vm, now
			lost = append(lost, name)
		}
	}
	klog.InfoS("roster: the store was restored from a backup", "vms", len(r.others), "kept", lost, "ownRowLost", !localListed)
	time.AfterFunc(rewriteGrace, func() { r.removeLost(lost, now) })
	return len(lost)
}

// removeLost removes VMs whose rows were lost at the given time and have not been rewritten. A VM
// whose row was lost again since then gets a new grace period.
func (r *Roster) removeLost(names []string, since time.Time) {
	r.mu.Lock()
	for _, name := range names {
		if r.lost[name].After(since) {
			continue
		}
		delete(r.lost, name)
		if _, present := r.observedRows[name]; !present {
			delete(r.others, name)
		}
	}
	r.mu.Unlock()
	r.onChange(r.Others())
}

// applyChanges applies changes in order.
func (r *Roster) applyChanges(changes []table.Change) {
	r.mu.Lock()
	for _, c := range changes {
		name := c.Row.Key.Row
		if !c.Deleted {
			r.applyRow(c.Row, r.observedRows[name])
			continue
		}
		delete(r.others, name)
		delete(r.observedRows, name)
		if name == r.self.Name {
			r.scheduleRewrite(1)
		}
	}
	r.mu.Unlock()
	r.onChange(r.Others())
}

// applyRow records a row, given the previous observation of it. The caller holds mu.
func (r *Roster) applyRow(row table.Row, previous observedRow) {
	if previous.version != row.Version {
		previous = observedRow{version: row.Version, since: clock.Now()}
	}
	r.observedRows[row.Key.Row] = previous
	var vm VM
	if err := json.Unmarshal(row.Value, &vm); err != nil || vm.Name != row.Key.Row {
		klog.ErrorS(err, "roster: malformed row", "row", row.Key.Row)
		return
	}
	if vm.Name != r.self.Name {
		r.others[vm.Name] = vm
	}
}
