package usage

import (
	"time"

	"github.com/springweir/springweir/duties/usage/usagepb"
)

// sum adds up the accounts of a window that were read from several VMs, each of which may hold only
// a part of a process's counts.
type sum struct {
	window    Window
	processes map[uint64]*process
}

// process holds the combined account of one process.
type process struct {
	vm     string
	counts map[uint64]uint32
	sealed Window
	// sinceSeen is the time since any VM last received a message from the process.
	sinceSeen time.Duration
}

func newSum(w Window) *sum { return &sum{window: w, processes: map[uint64]*process{}} }

// add merges accounts. Malformed ones are ignored.
func (s *sum) add(accounts []*usagepb.Account) {
	for _, a := range accounts {
		if Window(a.Window) != s.window || len(a.Organisation) != len(a.Count) {
			continue
		}
		sinceSeen := time.Duration(a.SilentMs) * time.Millisecond
		p := s.processes[a.Boot]
		if p == nil {
			p = &process{vm: a.Vm, counts: map[uint64]uint32{}, sinceSeen: sinceSeen}
			s.processes[a.Boot] = p
		}
		for i, organisation := range a.Organisation {
			p.counts[organisation] = max(p.counts[organisation], a.Count[i])
		}
		p.sealed, p.sinceSeen = max(p.sealed, Window(a.Sealed)), min(p.sinceSeen, sinceSeen)
	}
}

// vmCount returns the number of VMs with at least one account.
func (s *sum) vmCount() int {
	names := map[string]bool{}
	for _, p := range s.processes {
		names[p.vm] = true
	}
	return len(names)
}

// unsealed returns the VMs that may still count requests in the window: those whose most recently
// seen process has not sealed it. Earlier processes of a VM have ended.
func (s *sum) unsealed() []string {
	latest := map[string]*process{}
	for _, p := range s.processes {
		if previous := latest[p.vm]; previous == nil || p.sinceSeen < previous.sinceSeen {
			latest[p.vm] = p
		}
	}
	var vms []string
	for vm, p := range latest {
		if p.sealed < s.window {
			vms = append(vms, vm)
		}
	}
	return vms
}

// counts returns the total counts of all processes.
func (s *sum) counts() map[uint64]uint64 {
	total := map[uint64]uint64{}
	for _, p := range s.processes {
		for organisation, n := range p.counts {
			total[organisation] += uint64(n)
		}
	}
	return total
}
