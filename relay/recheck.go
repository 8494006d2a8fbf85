package relay

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/table"
)

// PlanChange is a reason why an attempt must not be sent as planned: something that changed between
// planning and sending.
type PlanChange string

// The values of PlanChange. A change of the first group leads to a new plan; one of the second
// group ends the request.
const (
	// EndpointDraining means that the endpoint is draining, according to its row or its response.
	EndpointDraining PlanChange = "endpoint-drains"
	// EndpointDeregistered means that the endpoint is no longer registered.
	EndpointDeregistered PlanChange = "endpoint-gone"
	// EndpointRestarted means that the endpoint restarted under the same ID.
	EndpointRestarted PlanChange = "endpoint-restarted"
	// EndpointChangingRole means that the engine's role has changed or is about to change.
	EndpointChangingRole PlanChange = "endpoint-changes-role"
	// EndpointEjected means that the endpoint was ejected because of its failures.
	EndpointEjected PlanChange = "endpoint-ejected"
	// EndpointRateLimited means that the endpoint's rate limit has nothing left for this VM.
	EndpointRateLimited PlanChange = "endpoint-rate-limited"
	// EndpointBackingOff means that the endpoint requested a backoff from this VM.
	EndpointBackingOff PlanChange = "endpoint-backs-off"
	// EndpointNotExpendable means that the request is suspected of crashing endpoints, and that the
	// other callers could not do without this one.
	EndpointNotExpendable PlanChange = "endpoint-not-expendable"
	// SoftwareBound means that the stream has been bound to other software than the endpoint's.
	SoftwareBound PlanChange = "software-bound"
	// CacheLost means that the engine that holds the KV cache has restarted since the prefill.
	CacheLost PlanChange = "cache-lost"
	// StreamResumed means that the silent stream that was to be replaced has gone on.
	StreamResumed PlanChange = "stream-resumed"
	// RouteChanged means that the current configuration routes the request differently.
	RouteChanged PlanChange = "route-changed"

	// CallerDisconnected means that the caller disconnected or its deadline passed.
	CallerDisconnected PlanChange = "caller-left"
	// CallerNotAdmitted means that the caller's key was revoked, or may have been.
	CallerNotAdmitted PlanChange = "caller-not-admitted"
	// RequestRefused means that the guard now refuses the request.
	RequestRefused PlanChange = "request-refused"
	// VMStopping means that this VM's planned shutdown leaves too little time for a response.
	VMStopping PlanChange = "vm-stops"
)

// maxReplans bounds how often one request is replanned because its plan became invalid. Each replan
// costs a placement decision, and endpoints do not leave so often during one request.
const maxReplans = 8

// change describes why an attempt is not sent as planned.
type change struct {
	cause PlanChange
	// current is the current registration of the endpoint, or nil.
	current *directory.Endpoint
	// final is the failure that ends the request; nil means that it is planned again.
	final *failure.Request
}

// recheck verifies the plan of an attempt again just before its first byte is sent. A separate
// prefill and the opening of connections may take seconds after planning, during which an endpoint
// may leave or the configuration change. If recheck returns a failure, nothing may be sent.
//
// This is the only place that verifies a plan again. Any new condition that a plan depends on must
// be checked here too.
func (j *job) recheck(ctx context.Context, plan Plan, e *directory.Endpoint) *failure.Request {
	c := j.findChange(ctx, plan, e)
	if c.cause == "" {
		return nil
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`springweir_relay_plans_changed_total{cause=%q}`, c.cause)).Inc()
	version, age := rowVersion(c.current)
	plannedVersion, plannedAge := rowVersion(e)
	klog.InfoS("relay: not sent as planned", "request", j.req.ID, "endpoint", e.ID, "cause", c.cause, "plannedForMS", clock.Since(j.plannedAt).Milliseconds(),
		"plannedVersion", plannedVersion.String(), "plannedAgeMS", plannedAge, "nowVersion", version.String(), "nowAgeMS", age, "promptRead", j.handle != nil)
	j.withdrawn = c.final
	if c.final == nil {
		j.withdrawn = planChanged(c.cause)
	}
	return j.withdrawn
}

// rowVersion returns the version of an endpoint's row and the time since this VM received it, in
// milliseconds. Both are zero for a nil endpoint.
func rowVersion(e *directory.Endpoint) (version table.Version, ageMS int64) {
	if e == nil {
		return 0, 0
	}
	return e.Version, clock.Since(e.ReceivedAt).Milliseconds()
}

// planChanged returns the failure of an attempt that is to be planned again.
func planChanged(c PlanChange) *failure.Request {
	return &failure.Request{Code: failure.PlanChanged, Ran: failure.NotRun, RetryAfter: replanRetryAfter, Message: "what the request was planned on has changed: " + string(c)}
}

// replanRetryAfter is when a caller may retry a request that failed because each of its plans
// became invalid, or because this VM is shutting down.
const replanRetryAfter = 100 * time.Millisecond

// findChange returns the first change found. Changes that end the request are checked first.
func (j *job) findChange(ctx context.Context, plan Plan, e *directory.Endpoint) change {
	if streamResumed(ctx) {
		return change{cause: StreamResumed}
	}
	if ctx.Err() != nil {
		return change{cause: CallerDisconnected, final: callerFailure(ctx)}
	}
	if refused := j.relay.cfg.Router.Admit(j.req); refused != nil {
		return change{cause: CallerNotAdmitted, final: refused}
	}
	suspicion, refused := j.relay.cfg.Guard.Check(j.req)
	if refused != nil {
		return change{cause: RequestRefused, final: refused}
	}
	if stopping := j.shutdownFailure(plan); stopping != nil {
		return change{cause: VMStopping, final: stopping}
	}
	if routed, failed := j.currentRoute(); failed != nil || routed != j.req {
		return change{cause: RouteChanged}
	}
	endpoints := j.relay.cfg.Endpoints()
	current := endpoints.Endpoint(e.ID)
	if !j.allows(e) {
		return change{cause: SoftwareBound, current: current}
	}
	if cause := endpointChange(e, current); cause != "" {
		return change{cause: cause, current: current}
	}
	if suspicion.Crashes > j.suspicion.Crashes {
		return change{cause: EndpointNotExpendable, current: current}
	}
	if cause := plan.Watch.Recheck(e); cause != "" {
		return change{cause: cause, current: current}
	}
	if e == plan.Serve && j.cacheLost() {
		return change{cause: CacheLost, current: endpoints.Endpoint(j.handle.Endpoint.ID)}
	}
	return change{}
}

// endpointChange returns how an endpoint has changed since it was planned, or an empty PlanChange.
func endpointChange(planned, current *directory.Endpoint) PlanChange {
	switch {
	case current == planned:
		return ""
	case current == nil:
		return EndpointDeregistered
	case current.Incarnation() != planned.Incarnation(), current.Software() != planned.Software():
		return EndpointRestarted
	case !current.Usable():
		return EndpointDraining
	case current.Role != planned.Role:
		return EndpointChangingRole
	}
	return ""
}

// cacheLost reports whether the prompt's KV cache is certainly lost because its holder has
// restarted. A holder that is draining or was deregistered still serves the cache for some time,
// which avoids a second prefill.
func (j *job) cacheLost() bool {
	if j.handle == nil {
		return false
	}
	return endpointChange(j.handle.Endpoint, j.relay.cfg.Endpoints().Endpoint(j.handle.Endpoint.ID)) == EndpointRestarted
}

// callerFailure returns the failure of a request whose context ended before it was sent.
func callerFailure(ctx context.Context) *failure.Request {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return &failure.Request{Code: failure.DeadlinePassed, Ran: failure.NotRun, Message: "the deadline passed before the request was sent"}
	}
	return &failure.Request{Code: failure.CallerGone, Ran: failure.NotRun, Message: "the caller went away before the request was sent"}
}

// shutdownFailure returns a failure if this VM's planned shutdown would cut off the response of an
// attempt, so that the caller retries on another VM. It returns nil otherwise.
//
// Late in the shutdown, a request of which nothing has run is passed on only if it has a deadline before the end,
// by which it has an answer: one that takes longer than expected would be cut, and is lost if it may not be repeated.
func (j *job) shutdownFailure(plan Plan) *failure.Request {
	shutdownAt := j.relay.cfg.ShutdownAt()
	if shutdownAt.IsZero() {
		return nil
	}
	inTime := clock.Until(shutdownAt) > cmp.Or(plan.ExpectedLatency, j.req.Route.Objective)
	if j.ran == failure.NotRun && j.relay.cfg.LateInShutdown() {
		inTime = !j.req.Deadline.IsZero() && j.req.Deadline.Before(shutdownAt)
	}
	if inTime {
		return nil
	}
	return &failure.Request{Code: failure.Stopping, Ran: failure.NotRun, RetryAfter: replanRetryAfter, Message: "this VM stops before an answer could come"}
}
