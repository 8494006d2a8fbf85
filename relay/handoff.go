package relay

import (
	"time"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/internal/clock"
)

// A silent attempt is abandoned only once the next one has been prepared: its plan is reserved and its
// retry taken. Concurrent requests thus cannot abandon their attempts in favour of the same capacity.

// preparedAttempt is an attempt that may be sent at once.
type preparedAttempt struct {
	// request is the request as routed when the attempt was planned.
	request   *Request
	plan      Plan
	suspicion Suspicion
	plannedAt time.Time
}

// successor prepares the attempt that follows a silent one. Its method prepare runs in the goroutine
// of a watchdog; the other fields are read only once that has stopped.
type successor struct {
	relay   *Relay
	request *Request
	state   AttemptState
	// fixedRoute is set once the head of a response was sent. retryKept is set if a retry was taken
	// before. exhausted is set if the request may try no other endpoint.
	fixedRoute, retryKept, exhausted bool
	sentAt                           time.Time

	// prepared is the next attempt, or nil, and silence is how long the endpoint had been silent when
	// prepare was last called.
	prepared *preparedAttempt
	silence  time.Duration
}

// newSuccessor returns the successor of an attempt at an endpoint.
func (j *job) newSuccessor(endpoint string) *successor {
	state := j.replacementState(endpoint)
	if state.Handle != nil {
		state.Handle, state.Colocated = nil, true // the import may have started
	}
	return &successor{
		relay: j.relay, request: j.req, state: state, fixedRoute: j.result.HeadSent, retryKept: j.retryKept,
		exhausted: j.replans > maxReplans || j.enough(len(state.Tried)), sentAt: clock.Now(),
	}
}

// prepare prepares the next attempt and reports whether it succeeded.
func (n *successor) prepare() bool {
	n.silence = clock.Since(n.sentAt)
	if n.exhausted {
		return false
	}
	routed, failed := n.route()
	if failed != nil || routed != n.request && !routed.Route.Repeatable() {
		return false
	}
	n.prepared, failed = n.relay.prepareAttempt(routed, n.state, n.request.Service, n.retryKept)
	return failed == nil
}

// route returns the request as currently routed.
func (n *successor) route() (*Request, *failure.Request) {
	if n.fixedRoute {
		return n.request, nil
	}
	return n.relay.cfg.Router.Route(n.request)
}

// prepareAttempt plans an attempt and takes a retry for it from the budget of a service, unless one was
// kept. It may be called from any goroutine.
func (r *Relay) prepareAttempt(req *Request, state AttemptState, service string, retryKept bool) (*preparedAttempt, *failure.Request) {
	budget := r.cfg.Budget(service)
	if !retryKept && !budget.Available() {
		return nil, noRetryLeft()
	}
	next, failed := r.planAttempt(req, state)
	if failed != nil {
		return nil, failed
	}
	if retryKept {
		return next, nil
	}
	if !budget.Take() {
		next.discard()
		return nil, noRetryLeft()
	}
	countRetry(failure.EndpointStalled)
	return next, nil
}

// planAttempt plans an attempt without a retry.
func (r *Relay) planAttempt(req *Request, state AttemptState) (*preparedAttempt, *failure.Request) {
	suspicion, failed := r.cfg.Guard.Check(req)
	if failed != nil {
		return nil, failed
	}
	state.Suspicion = suspicion
	next := &preparedAttempt{request: req, suspicion: suspicion, plannedAt: clock.Now()}
	next.plan, failed = r.cfg.Planner.Plan(req, state)
	if failed != nil {
		return nil, failed
	}
	return next, nil
}

// noRetryLeft returns the failure of an attempt that the retry budget does not allow.
func noRetryLeft() *failure.Request {
	return &failure.Request{Code: failure.RetryBudget, Ran: failure.NotRun, Message: "the retry budget is exhausted"}
}

// discard gives back the plan of an attempt that is not made.
func (p *preparedAttempt) discard() { p.plan.Watch.Finished(nil, true) }

// collect takes over what a successor has prepared. Its watchdog must have stopped.
func (j *job) collect(n *successor) {
	if n.prepared == nil {
		return
	}
	if !n.retryKept {
		j.arrivals.retries++
	}
	j.next, j.retryKept = n.prepared, false
}

// discardNext gives back the plan of the prepared attempt, if there is one. Its retry is kept for a later
// attempt of the request.
func (j *job) discardNext() {
	if j.next == nil {
		return
	}
	j.next.discard()
	j.next, j.retryKept = nil, true
}

// takeRetry takes a retry from the budget, unless one was kept.
func (j *job) takeRetry() bool {
	if j.retryKept {
		j.retryKept = false
		return true
	}
	if !j.relay.cfg.Budget(j.req.Service).Take() {
		return false
	}
	j.arrivals.retries++
	return true
}

// adoptNext makes the prepared attempt the current one. It returns false if there is none, or if the
// route, the guard's judgement or the software that the stream is bound to has changed since; its plan is
// given back then.
func (j *job) adoptNext() (Plan, bool) {
	next := j.next
	j.next = nil
	if next == nil {
		return Plan{}, false
	}
	if !j.stillValid(next) {
		next.discard()
		return Plan{}, false
	}
	if next.request != j.req {
		j.applyRoute(next.request)
	}
	j.freeHandle()
	j.handle = nil // the plan does not import it
	j.suspicion, j.plannedAt, j.withdrawn = next.suspicion, next.plannedAt, nil
	return next.plan, true
}

// stillValid reports whether neither the route nor the guard's judgement has changed since an attempt
// was prepared, and the stream is not bound to other software.
func (j *job) stillValid(next *preparedAttempt) bool {
	if !j.allows(next.plan.Serve) {
		return false
	}
	if !j.result.HeadSent {
		if routed, failed := j.relay.cfg.Router.Route(next.request); failed != nil || routed != next.request {
			return false
		}
	}
	suspicion, failed := j.relay.cfg.Guard.Check(next.request)
	return failed == nil && suspicion.Crashes <= next.suspicion.Crashes
}
