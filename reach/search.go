package reach

import (
	"context"
	"time"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/internal/h1"
)

const (
	// readyTimeout is how long a VM is waited for that is asked whether it would pass on a request, before the next one
	// is asked too. It is above the stalls of a VM whose share of a processor is used up.
	readyTimeout = 100 * time.Millisecond
	// searchTimeout bounds the search for a VM that would. The way to a VM may be slow.
	searchTimeout = 600 * time.Millisecond
)

// search looks for a VM that would pass a request on to an endpoint. A VM has to show that it is responsive: what is sent
// to one that is suspended may run any time later, and is lost until then. It is confined to one goroutine.
type search struct {
	client   *Client
	ctx      context.Context
	stop     context.CancelFunc
	endpoint *directory.Endpoint
	// vms are the VMs that were not asked yet, and asked is the number of the others.
	vms   []VM
	asked int
	// pending holds the VMs that have not answered, and when they were asked.
	pending map[string]askedVM
	answers chan answer
	// verdicts sums up what VMs have said that do not help.
	verdicts verdicts
	start    time.Time
}

type askedVM struct {
	vm VM
	at time.Time
	// overdue is set once the VM has not answered for readyTimeout.
	overdue bool
}

// answer is a VM's answer to the question whether it would pass on a request.
type answer struct {
	vm  VM
	err error
}

func (c *Client) newSearch(ctx context.Context, e *directory.Endpoint) *search {
	vms := c.cfg.VMs()
	vms = c.choose(e, vms, len(vms))
	ctx, cancel := context.WithTimeout(ctx, searchTimeout)
	return &search{
		client: c, ctx: ctx, stop: cancel, endpoint: e, vms: vms, pending: map[string]askedVM{}, answers: make(chan answer, len(vms)), start: clock.Now(),
	}
}

// next returns a VM that would pass on the request, with the verdict responded, or a final verdict with its error, or what
// the VMs that do not help say together.
func (s *search) next() (VM, verdict, error) {
	for {
		if len(s.pending) == s.numOverdue() && s.mayAsk() {
			s.ask()
		}
		if len(s.pending) == 0 || s.verdicts.said == maxHops {
			return VM{}, s.verdicts.sum(), nil
		}
		select {
		case a := <-s.answers:
			if s.ctx.Err() != nil {
				return s.ended()
			}
			delete(s.pending, a.vm.Name)
			v := s.client.judgeReady(s.ctx, a.vm, s.endpoint, a.err)
			if v == responded || v.final() {
				return a.vm, v, a.err
			}
			s.verdicts.add(v)
		case <-time.After(readyTimeout):
			s.markOverdue()
		case <-s.ctx.Done():
			return s.ended()
		}
	}
}

// mayAsk reports whether a further VM is asked: several are whatever it takes, and more as long as that is soon.
func (s *search) mayAsk() bool {
	late := clock.Since(s.start) >= inquiryLimit
	return len(s.vms) > 0 && s.verdicts.said < maxHops && !(late && (s.verdicts.answered() || s.asked >= maxHops))
}

// ask asks the next VM, unless it has just answered.
func (s *search) ask() {
	vm := s.vms[0]
	s.vms, s.asked = s.vms[1:], s.asked+1
	s.pending[vm.Name] = askedVM{vm: vm, at: clock.Now()}
	if s.client.justAnswered(vm) {
		s.answers <- answer{vm: vm}
		return
	}
	go func() { s.answers <- answer{vm, s.client.cfg.Hop.Ready(s.ctx, vm.Peer, s.endpoint)} }()
}

func (s *search) numOverdue() int {
	n := 0
	for _, a := range s.pending {
		if a.overdue {
			n++
		}
	}
	return n
}

// markOverdue records the VMs that have not answered for readyTimeout. They are asked after the others for a while, but may
// answer yet.
func (s *search) markOverdue() {
	for name, a := range s.pending {
		if !a.overdue && clock.Since(a.at) >= readyTimeout {
			a.overdue = true
			s.pending[name] = a
			s.client.demote(a.vm, unresponsiveTTL, "the VM does not respond")
		}
	}
}

// ended returns what is known once the search has taken too long, or its request has ended.
func (s *search) ended() (VM, verdict, error) {
	if clock.Since(s.start) < searchTimeout {
		return VM{}, cancelled, &h1.Error{Cause: context.Cause(s.ctx)}
	}
	return VM{}, s.verdicts.sum(), nil
}
