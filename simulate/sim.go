package simulate

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/standin/enginemodel"
)

// Options configure a run, apart from its trace and policy.
type Options struct {
	// Seed seeds the policy's random choices.
	Seed uint64
	// Lag is the age of a load report when it reaches an entry VM.
	Lag time.Duration
	// Entries is the number of entry VMs in each zone. Each has its own view of
	// the zone.
	Entries int
	// Prefill and Decode are the numbers of engines in each zone that start in
	// these roles. The remaining engines start as mixed.
	Prefill, Decode int
}

// reportInterval is the interval at which each engine is polled.
const reportInterval = 250 * time.Millisecond

// node is a simulated engine.
type node struct {
	index, zone int
	name        string
	model       *enginemodel.Engine
	// wakeGeneration identifies the latest wake-up event; earlier ones are
	// ignored.
	wakeGeneration uint64
	// down is set while the engine has crashed. changingRole is set while it
	// drains for, or performs, a role change to target; orderStarted is set
	// once the change has begun.
	down, changingRole, orderStarted bool
	target                           engine.Role
	// activeJobs is the number of jobs in flight.
	activeJobs  int
	incarnation int
	sequence    uint64
	// eventSequence is the sequence number of the latest cache event.
	eventSequence uint64
}

// phase is the part of a request that a job executes.
type phase uint8

const (
	fullRequest phase = iota
	prefillPhase
	decodePhase
)

// job is a request, or one phase of it, in flight on an engine.
type job struct {
	id      enginemodel.JobID
	request *activeRequest
	node    *node
	phase   phase
}

// activeRequest is the state of a request from its arrival until it is done.
type activeRequest struct {
	*Request
	// zone and entry identify the entry VM that handles the request. The zone
	// differs from Request.Zone after forwarding.
	zone, entry   int
	fromOtherZone bool
	job           *job
	choice        choice
	tried         []string
	// emitted is the number of output tokens that the caller has received.
	emitted      int
	firstTokenAt time.Duration
	sent, done   bool
}

// choice is the routing decision of a policy. If prefill is nil, one engine
// runs both phases.
type choice struct {
	serve, prefill *node
	// targetZone is the zone to forward to; it is valid only if forward is set.
	targetZone int
	forward    bool
}

// routeResult is what to do with a request after routing.
type routeResult uint8

const (
	send routeResult = iota
	reject
	// retryLater routes the request again after retryInterval, until its
	// deadline.
	retryLater
	// queued means that the policy keeps the request and will launch or reject
	// it.
	queued
)

// retryInterval is the delay before a request without a usable engine is routed
// again.
const retryInterval = 100 * time.Millisecond

// policy makes the routing and role decisions. All calls come from one
// goroutine.
type policy interface {
	// arrive is called once for each request, before route.
	arrive(s *sim, r *activeRequest)
	// route chooses an engine for r at its entry VM.
	route(s *sim, r *activeRequest) (choice, routeResult)
	// jobSent is called before a job is submitted to its engine, and jobEnded
	// when the job has ended or the engine has rejected it.
	jobSent(s *sim, j *job)
	jobEnded(s *sim, j *job, outcome jobOutcome)
	// jobStarted is called at the first token of a job.
	jobStarted(s *sim, j *job)
	// report delivers an engine's load report to every entry VM of its zone.
	report(s *sim, n *node, rep report)
	// cancel removes r from the policy's queue and reports whether it was
	// queued.
	cancel(s *sim, r *activeRequest) bool
	// tick is called once a second.
	tick(s *sim)
}

// jobOutcome is how a job ended.
type jobOutcome uint8

const (
	finished jobOutcome = iota
	handedOver
	interrupted
	rejectedByEngine
	timedOut
)

// report is an engine's state at the time at.
type report struct {
	at    time.Duration
	state engine.State
	// events are the cache events from sequence number since onwards.
	since  uint64
	events engine.CacheEvents
}

// sim is the state of one run. It is not safe for concurrent use.
type sim struct {
	opt    Options
	trace  *Trace
	policy policy
	rng    *rand.Rand

	now           time.Duration
	seq           uint64
	events        eventHeap
	nodes         []*node
	jobs          map[enginemodel.JobID]*job
	nextID        enginemodel.JobID
	openRequests  int
	reportsFrozen bool
	partitioned   [zones]bool
	tally         tally
}

// newSim returns a run of the trace t under the policy p.
func newSim(t *Trace, p policy, opt Options) *sim {
	s := &sim{
		opt: opt, trace: t, policy: p,
		rng:  rand.New(rand.NewPCG(opt.Seed, 77)),
		jobs: make(map[enginemodel.JobID]*job),
	}
	params := enginemodel.DefaultParams()
	params.RecordCache = true
	for i := range zones * enginesPerZone {
		position := i % enginesPerZone
		role := engine.Mixed
		switch {
		case position < opt.Prefill:
			role = engine.Prefill
		case position < opt.Prefill+opt.Decode:
			role = engine.Decode
		}
		s.nodes = append(s.nodes, &node{
			index: i, zone: i / enginesPerZone,
			name:  fmt.Sprintf("engine-%d", i),
			model: enginemodel.New(params, role),
		})
	}
	return s
}

// run executes the trace and returns its measurements.
func (s *sim) run() Result {
	for i := range s.trace.Requests {
		s.schedule(s.trace.Requests[i].At, arrival, i, 0)
	}
	for i, f := range s.trace.Faults {
		s.schedule(f.At, faultStart, i, 0)
		s.schedule(f.At+f.For, faultEnd, i, 0)
	}
	for i := range s.nodes {
		s.schedule(time.Duration(i)*time.Millisecond, poll, i, 0)
	}
	s.schedule(time.Second, tick, 0, 0)
	s.openRequests = len(s.trace.Requests)
	for s.openRequests > 0 && len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		s.handle(e)
	}
	return s.tally.result(len(s.trace.Requests))
}

// handle executes an event.
func (s *sim) handle(e event) {
	switch e.kind {
	case arrival:
		s.arrive(&s.trace.Requests[e.index])
	case wakeEngine:
		n := s.nodes[e.index]
		if n.wakeGeneration == e.generation {
			s.advanceEngine(n)
		}
	case retryDispatch:
		s.dispatch(e.request)
	case deadline:
		s.timeOut(e.request)
	case expire:
		s.expire(e.request)
	case callback:
		e.action()
	case poll:
		s.poll(s.nodes[e.index])
	case deliver:
		s.policy.report(s, s.nodes[e.index], *e.report)
	case tick:
		s.policy.tick(s)
		s.schedule(s.now+time.Second, tick, 0, 0)
	case faultStart:
		s.startFault(s.trace.Faults[e.index])
	case faultEnd:
		s.endFault(s.trace.Faults[e.index])
	}
}
