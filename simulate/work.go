package simulate

import (
	"container/heap"
	"slices"
	"strconv"
	"time"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/standin/enginemodel"
	"github.com/springweir/springweir/weightstore"
)

// model is the only artifact; every engine has it loaded.
var model = weightstore.Artifact{Model: "m", Version: "1"}

// schedule adds an event that refers to a request, engine or fault by index.
func (s *sim) schedule(at time.Duration, kind eventKind, index int, generation uint64) {
	s.push(event{at: at, kind: kind, index: index, generation: generation})
}

// push adds an event and assigns its sequence number.
func (s *sim) push(e event) {
	s.seq++
	e.seq = s.seq
	heap.Push(&s.events, e)
}

// arrive assigns a request to an entry VM of its zone and dispatches it.
func (s *sim) arrive(req *Request) {
	r := &activeRequest{Request: req, zone: req.Zone, entry: int(req.Draw) % s.opt.Entries}
	s.push(event{at: req.At + req.Deadline, kind: deadline, request: r})
	if r.Priority == engine.Interactive {
		s.tally.interactive++
	}
	s.policy.arrive(s, r)
	s.dispatch(r)
}

// dispatch routes a request until it is submitted, queued, rejected or
// scheduled for a retry. An engine that rejected the request is added to its
// tried list.
func (s *sim) dispatch(r *activeRequest) {
	for !r.done {
		c, v := s.policy.route(s, r)
		switch {
		case v == reject:
			s.tally.refused++
			s.close(r)
			return
		case v == queued:
			return
		case v == retryLater:
			s.push(event{at: s.now + retryInterval, kind: retryDispatch, request: r})
			return
		}
		if s.applyChoice(r, c) {
			return
		}
	}
}

// launch submits a request that was queued by the policy.
func (s *sim) launch(r *activeRequest, c choice) {
	if !s.applyChoice(r, c) {
		s.dispatch(r)
	}
}

// applyChoice submits the request as chosen and reports whether an engine
// accepted it. A choice that forwards to another zone only moves the request
// there and returns false, so that the caller routes it again.
func (s *sim) applyChoice(r *activeRequest, c choice) bool {
	if c.forward {
		r.fromOtherZone, r.zone = true, c.targetZone
		return false
	}
	r.choice = c
	return s.start(r, c)
}

// expire rejects a queued request that can no longer meet its deadline.
func (s *sim) expire(r *activeRequest) {
	if !r.done && s.policy.cancel(s, r) {
		s.tally.refused++
		s.close(r)
	}
}

// start submits the first job of a choice and reports whether the engine
// accepted it.
func (s *sim) start(r *activeRequest, c choice) bool {
	if c.prefill != nil {
		return s.submit(r, c.prefill, prefillPhase)
	}
	return s.submit(r, c.serve, fullRequest)
}

// submit sends a job to an engine and reports whether the engine accepted it.
func (s *sim) submit(r *activeRequest, n *node, ph phase) bool {
	s.nextID++
	j := &job{id: s.nextID, request: r, node: n, phase: ph}
	s.policy.jobSent(s, j)
	if n.down || n.model.Submit(s.now, s.modelJob(j)) != nil {
		r.tried = append(r.tried, n.name)
		s.policy.jobEnded(s, j, rejectedByEngine)
		return false
	}
	s.jobs[j.id] = j
	r.job, r.sent = j, true
	n.activeJobs++
	s.rearm(n)
	return true
}

func (s *sim) modelJob(j *job) enginemodel.Job {
	r := j.request
	return enginemodel.Job{
		ID: j.id, Priority: r.Priority,
		PromptTokens: r.Prompt, Hashes: r.Hashes,
		OutputTokens: r.Output, ResumeFrom: r.emitted,
		Import: j.phase == decodePhase, PrefillOnly: j.phase == prefillPhase,
	}
}

// rearm schedules the engine's next wake-up and invalidates earlier ones.
func (s *sim) rearm(n *node) {
	if at, ok := n.model.NextEvent(); ok {
		n.wakeGeneration++
		s.schedule(max(at, s.now), wakeEngine, n.index, n.wakeGeneration)
	}
}

// advanceEngine advances an engine's model to the current time and handles the
// events that it emits.
func (s *sim) advanceEngine(n *node) {
	for _, ev := range slices.Clone(n.model.Advance(s.now)) {
		s.handleEngineEvent(n, ev)
	}
	s.startRoleChange(n)
	s.rearm(n)
}

func (s *sim) handleEngineEvent(n *node, ev enginemodel.Event) {
	if ev.Kind == enginemodel.OrderDone {
		n.orderStarted, n.changingRole = false, false
		return
	}
	j := s.jobs[ev.Job]
	if j == nil {
		return
	}
	r := j.request
	switch ev.Kind {
	case enginemodel.FirstToken:
		s.policy.jobStarted(s, j)
		if r.firstTokenAt == 0 {
			r.firstTokenAt = ev.At
		}
	case enginemodel.Prefilled:
		s.finishJob(j, handedOver)
		s.handOver(j)
	case enginemodel.Finished:
		s.finishJob(j, finished)
		s.tally.finished(r, ev)
		s.close(r)
	case enginemodel.Cut:
		s.finishJob(j, interrupted)
		r.tried = append(r.tried, n.name)
		r.emitted = max(r.emitted, ev.Tokens)
		s.dispatch(r)
	}
}

// handOver releases the KV cache on the prefill engine and submits the decode
// phase, which imports the cache.
func (s *sim) handOver(j *job) {
	j.node.model.ReleaseKV(s.now, j.id)
	if !s.submit(j.request, j.request.choice.serve, decodePhase) {
		s.dispatch(j.request)
	}
}

// finishJob removes a job and passes its outcome to the policy.
func (s *sim) finishJob(j *job, outcome jobOutcome) {
	delete(s.jobs, j.id)
	j.request.job = nil
	j.node.activeJobs--
	s.policy.jobEnded(s, j, outcome)
}

// timeOut cancels a request whose deadline has passed.
func (s *sim) timeOut(r *activeRequest) {
	if r.done {
		return
	}
	if j := r.job; j != nil {
		n := j.node
		n.model.Cancel(s.now, j.id)
		s.finishJob(j, timedOut)
		s.startRoleChange(n)
		s.rearm(n)
	}
	s.policy.cancel(s, r)
	s.tally.late++
	s.close(r)
}

// close marks a request as done. The run ends when no request is open.
func (s *sim) close(r *activeRequest) {
	r.done = true
	s.openRequests--
}

// changeRole stops new work to an engine and changes its role once it has
// drained. It does nothing while the engine is down or already changing its
// role, or while its zone is partitioned.
func (s *sim) changeRole(n *node, to engine.Role) {
	if n.changingRole || n.down || s.partitioned[n.zone] {
		return
	}
	n.changingRole, n.target = true, to
	s.tally.changes++
	s.startRoleChange(n)
	s.rearm(n)
}

// startRoleChange starts the role change of an engine that has drained.
func (s *sim) startRoleChange(n *node) {
	if !n.changingRole || n.orderStarted || n.activeJobs > 0 || n.down {
		return
	}
	order := enginemodel.Order{Duration: n.model.Params().RoleChange, Role: n.target, Cut: true}
	n.orderStarted = n.model.BeginOrder(s.now, order) == nil
}

// startFault applies a fault.
func (s *sim) startFault(f Fault) {
	switch f.Kind {
	case CrashEngine:
		n := s.nodes[f.Zone*enginesPerZone+f.Engine]
		n.down = true
		n.incarnation++
		n.sequence, n.eventSequence = 0, 0
		n.model.BeginOrder(s.now, enginemodel.Order{Duration: f.For, Cut: true})
		s.advanceEngine(n)
	case PartitionZone:
		s.partitioned[f.Zone] = true
	case FreezeReports:
		s.reportsFrozen = true
	}
}

// endFault reverts a fault.
func (s *sim) endFault(f Fault) {
	switch f.Kind {
	case CrashEngine:
		s.nodes[f.Zone*enginesPerZone+f.Engine].down = false
	case PartitionZone:
		s.partitioned[f.Zone] = false
	case FreezeReports:
		s.reportsFrozen = false
	}
}

// poll reads an engine's state and schedules its delivery after the report lag.
func (s *sim) poll(n *node) {
	s.schedule(s.now+reportInterval, poll, n.index, 0)
	if n.down || s.reportsFrozen {
		return
	}
	rep := s.observe(n)
	s.push(event{at: s.now + s.opt.Lag, kind: deliver, index: n.index, report: rep})
	s.rearm(n)
}

// observe returns an engine's state and its cache events since the previous
// call.
func (s *sim) observe(n *node) *report {
	rep := &report{at: s.now, state: s.state(n)}
	if n.eventSequence > 0 {
		rep.since = n.eventSequence + 1
	}
	rep.events = s.cacheEvents(n)
	return rep
}

func (s *sim) state(n *node) engine.State {
	load := n.model.Load(s.now)
	n.sequence++
	load.Sequence = n.sequence
	for _, id := range n.model.Recent() {
		load.Recent = append(load.Recent, attemptName(id))
	}
	return engine.State{
		Incarnation: strconv.Itoa(n.incarnation),
		Role:        n.model.Role(),
		Loaded:      []weightstore.Artifact{model},
		Load:        load,
	}
}

// cacheEvents returns the engine's cache events since the previous call.
func (s *sim) cacheEvents(n *node) engine.CacheEvents {
	out := engine.CacheEvents{Incarnation: strconv.Itoa(n.incarnation)}
	for _, c := range n.model.TakeCacheChanges() {
		n.eventSequence++
		out.Events = append(out.Events, engine.CacheEvent{Sequence: n.eventSequence, Hash: c.Hash, Stored: c.Stored})
	}
	out.Next = n.eventSequence + 1
	return out
}

// attemptName returns the attempt ID of a job.
func attemptName(id enginemodel.JobID) string { return strconv.FormatUint(uint64(id), 36) }
