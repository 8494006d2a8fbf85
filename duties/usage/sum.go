package usage

import (
	"time"

	"github.com/springweir/springweir/duties/usage/usagepb"
)

// sum adds up the accounts of a window that several VMs gave. Of one process each may know a part.
type sum struct {
	window    Window
	processes map[uint64]*process
}

// process is what is known of one process in a window.
type process struct {
	vm     string
	counts map[uint64]uint32
	sealed Window
	// silent is how long ago it was last heard of by any VM.
	silent time.Duration
}

func newSum(w Window) *sum { return &sum{window: w, processes: map[uint64]*process{}} }

// add takes in accounts. A malformed one is passed over.
func (s *sum) add(list []*usagepb.Account) {
	for _, a := range list {
		if Window(a.Window) != s.window || len(a.Organisation) != len(a.Count) {
			continue
		}
		silent := time.Duration(a.SilentMs) * time.Millisecond
		p := s.processes[a.Boot]
		if p == nil {
			p = &process{vm: a.Vm, counts: map[uint64]uint32{}, silent: silent}
			s.processes[a.Boot] = p
		}
		for i, organisation := range a.Organisation {
			p.counts[organisation] = max(p.counts[organisation], a.Count[i])
		}
		p.sealed, p.silent = max(p.sealed, Window(a.Sealed)), min(p.silent, silent)
	}
}

// vms is the number of VMs of which anything is known.
func (s *sum) vms() int {
	names := map[string]bool{}
	for _, p := range s.processes {
		names[p.vm] = true
	}
	return len(names)
}

// missing lists the VMs that may still count something in the window: those whose process last heard
// of has not sealed it. An earlier process of a VM has ended.
func (s *sum) missing() []string {
	last := map[string]*process{}
	for _, p := range s.processes {
		if known := last[p.vm]; known == nil || p.silent < known.silent {
			last[p.vm] = p
		}
	}
	var list []string
	for vm, p := range last {
		if p.sealed < s.window {
			list = append(list, vm)
		}
	}
	return list
}

// counts are those of all processes together.
func (s *sum) counts() map[uint64]uint64 {
	total := map[uint64]uint64{}
	for _, p := range s.processes {
		for organisation, n := range p.counts {
			total[organisation] += uint64(n)
		}
	}
	return total
}
