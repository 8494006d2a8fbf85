package simulate

import (
	"time"

	"github.com/springweir/springweir/engine"
)

// baseline is the common part of the baseline policies. They use the latest
// load reports and the engines' availability, and don't track their own
// in-flight work.
type baseline struct {
	loads map[int]engine.Load
}

func newBaseline() baseline { return baseline{loads: make(map[int]engine.Load)} }

func (baseline) arrive(*sim, *activeRequest)          {}
func (baseline) jobSent(*sim, *job)                   {}
func (baseline) jobEnded(*sim, *job, jobOutcome)      {}
func (baseline) jobStarted(*sim, *job)                {}
func (baseline) tick(*sim)                            {}
func (baseline) cancel(*sim, *activeRequest) bool     { return false }
func (p baseline) report(_ *sim, n *node, rep report) { p.loads[n.index] = rep.state.Load }

// usable returns the available engines of the request's zone that satisfy
// accept and have not yet failed the request. If all have failed it, the tried
// list is reset and all are returned, or none if all are down.
func usable(s *sim, r *activeRequest, accept func(*node) bool) []*node {
	var candidates, untried []*node
	first := r.zone * enginesPerZone
	for _, n := range s.nodes[first : first+enginesPerZone] {
		if n.changingRole || !accept(n) {
			continue
		}
		candidates = append(candidates, n)
		if !contains(r.tried, n.name) {
			untried = append(untried, n)
		}
	}
	if len(untried) == 0 {
		r.tried = nil
		if len(candidates) > 0 && r.job == nil && allDown(candidates) {
			return nil
		}
		return candidates
	}
	return untried
}

func allDown(nodes []*node) bool {
	for _, n := range nodes {
		if !n.down {
			return false
		}
	}
	return true
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

func decodes(n *node) bool  { return n.model.Role() != engine.Prefill }
func prefills(n *node) bool { return n.model.Role() == engine.Prefill }

// leastBy returns the node with the lowest metric and breaks ties at random.
func leastBy(s *sim, nodes []*node, metric func(*node) int) *node {
	var best *node
	ties, lowest := 0, 0
	for _, n := range nodes {
		f := metric(n)
		switch {
		case best == nil || f < lowest:
			best, lowest, ties = n, f, 1
		case f == lowest:
			ties++
			if s.rng.IntN(ties) == 0 {
				best = n
			}
		}
	}
	return best
}

// roundRobin runs both phases of a request on one engine, chosen in rotation.
type roundRobin struct {
	baseline
	next map[[2]int]int
}

func newRoundRobin() policy { return &roundRobin{newBaseline(), make(map[[2]int]int)} }

func (p *roundRobin) route(s *sim, r *activeRequest) (choice, routeResult) {
	nodes := usable(s, r, decodes)
	if len(nodes) == 0 {
		return choice{}, retryLater
	}
	entry := [2]int{r.zone, r.entry}
	p.next[entry]++
	return choice{serve: nodes[p.next[entry]%len(nodes)]}, send
}

// leastLoad runs both phases of a request on the engine with the fewest
// reported requests.
type leastLoad struct{ baseline }

func newLeastLoad() policy { return &leastLoad{newBaseline()} }

func (p *leastLoad) route(s *sim, r *activeRequest) (choice, routeResult) {
	n := leastBy(s, usable(s, r, decodes), p.requests)
	if n == nil {
		return choice{}, retryLater
	}
	return choice{serve: n}, send
}

func (p baseline) requests(n *node) int { return p.loads[n.index].Running + p.loads[n.index].Waiting }
func (p baseline) waiting(n *node) int  { return p.loads[n.index].WaitingTokens }

// staticSplit uses fixed roles: long prompts are prefilled on the prefill
// engine with the smallest reported backlog.
type staticSplit struct{ baseline }

func newStaticSplit() policy { return &staticSplit{newBaseline()} }

// longPromptTokens is the prompt length above which staticSplit uses a separate
// prefill engine.
const longPromptTokens = 1024

func (p *staticSplit) route(s *sim, r *activeRequest) (choice, routeResult) {
	serve := leastBy(s, usable(s, r, decodes), p.requests)
	if serve == nil {
		return choice{}, retryLater
	}
	c := choice{serve: serve}
	if r.Prompt-r.emitted > longPromptTokens && r.emitted == 0 {
		c.prefill = leastBy(s, usable(s, r, prefills), p.waiting)
	}
	return c, send
}

// threshold extends staticSplit with a threshold rule for roles. It moves a
// decode engine to prefill when prompts queue up and decode has capacity, and
// the reverse.
type threshold struct{ staticSplit }

func newThreshold() policy { return &threshold{staticSplit{newBaseline()}} }

const (
	// thresholdInterval is the interval at which the rule is evaluated.
	thresholdInterval = 5 * time.Second
	// highWaitingTokens and lowWaitingTokens are prompt tokens waiting per
	// prefill engine.
	highWaitingTokens, lowWaitingTokens = 8000, 1000
	// highRunning and lowRunning are requests per decode engine.
	highRunning, lowRunning = 40, 20
)

func (p *threshold) tick(s *sim) {
	if s.now%thresholdInterval != 0 {
		return
	}
	for z := range zones {
		p.rebalanceRoles(s, z)
	}
}

// rebalanceRoles changes the role of at most one engine of a zone.
func (p *threshold) rebalanceRoles(s *sim, zone int) {
	var prefillNodes, decodeNodes []*node
	waiting, running := 0, 0
	for _, n := range s.nodes[zone*enginesPerZone : (zone+1)*enginesPerZone] {
		switch {
		case n.changingRole:
			return
		case prefills(n):
			prefillNodes = append(prefillNodes, n)
			waiting += p.waiting(n)
		default:
			decodeNodes = append(decodeNodes, n)
			running += p.requests(n)
		}
	}
	prefillOverloaded := waiting > highWaitingTokens*len(prefillNodes)
	decodeOverloaded := running > highRunning*len(decodeNodes)
	switch {
	case prefillOverloaded && running < highRunning*len(decodeNodes) && len(decodeNodes) > 1:
		s.changeRole(leastBy(s, decodeNodes, p.requests), engine.Prefill)
	case decodeOverloaded && waiting < highWaitingTokens*len(prefillNodes) && len(prefillNodes) > 1,
		waiting < lowWaitingTokens*len(prefillNodes) && running > lowRunning*len(decodeNodes) && len(prefillNodes) > 1:
		s.changeRole(leastBy(s, prefillNodes, p.waiting), engine.Decode)
	}
}
