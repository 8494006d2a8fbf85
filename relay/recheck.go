package relay

import (
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

// PlanChange is what has changed between a decision and the sending of what was decided.
type PlanChange string

// The causes. With the first group another plan is made; the second ends the request.
const (
	// EndpointDraining is an endpoint that drains, by its row or by its own response.
	EndpointDraining PlanChange = "endpoint-drains"
	// EndpointDeregistered is an endpoint that is no longer registered.
	EndpointDeregistered PlanChange = "endpoint-gone"
	// EndpointRestarted is an endpoint that has started again under its ID.
	EndpointRestarted PlanChange = "endpoint-restarted"
	// EndpointChangingRole is an engine that has, or is about to have, another role.
	EndpointChangingRole PlanChange = "endpoint-changes-role"
	// EndpointEjected is an endpoint that is left alone because it fails.
	EndpointEjected PlanChange = "endpoint-ejected"
	// EndpointRateLimited is an endpoint whose rate limit leaves this VM nothing now.
	EndpointRateLimited PlanChange = "endpoint-rate-limited"
	// EndpointBackingOff is an endpoint that has asked this VM to send it nothing for a time.
	EndpointBackingOff PlanChange = "endpoint-backs-off"
	// CacheLost is a KV cache whose holder has started again since it was made.
	CacheLost PlanChange = "cache-lost"
	// RouteChanged is a request that the configuration in force routes otherwise.
	RouteChanged PlanChange = "route-changed"

	// CallerLeft is a caller that is gone or whose time is over.
	CallerLeft PlanChange = "caller-left"
	// CallerNotAdmitted is a caller whose key was taken away, or may have been.
	CallerNotAdmitted PlanChange = "caller-not-admitted"
	// RequestRefused is a request that the guard turns away by now.
	RequestRefused PlanChange = "request-refused"
	// VMStops is a VM whose planned stop leaves too little time for an answer.
	VMStops PlanChange = "vm-stops"
)

// maxReplans bounds how often one request is planned again because what it was planned on has
// changed: each time costs a decision, and endpoints do not leave faster than that.
const maxReplans = 8

// change is why an attempt is not sent as planned.
type change struct {
	cause PlanChange
	// now is the endpoint as it is registered now, or nil.
	now *directory.Endpoint
	// final ends the request; nil means that it is planned again.
	final *failure.Request
}

// recheck looks once more at all that an attempt rests on, just before its first byte goes out.
// Between the decision and that moment lie the prompt's reading elsewhere and the opening of
// connections, seconds in which an endpoint may leave and the VM learn of it. A failure says that
// nothing is to be sent.
//
// This is the only place where decisions are looked at again. What is added to a decision, or
// may change, belongs here.
func (j *job) recheck(ctx context.Context, plan Plan, e *directory.Endpoint) *failure.Request {
	c := j.changed(ctx, plan, e)
	if c.cause == "" {
		return nil
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`springweir_relay_plans_changed_total{cause=%q}`, c.cause)).Inc()
	version, age := registration(c.now)
	plannedVersion, plannedAge := registration(e)
	klog.InfoS("relay: not sent as planned", "request", j.req.ID, "endpoint", e.ID, "cause", c.cause, "plannedForMS", clock.Since(j.plannedAt).Milliseconds(),
		"plannedVersion", plannedVersion.String(), "plannedAgeMS", plannedAge, "nowVersion", version.String(), "nowAgeMS", age, "promptRead", j.handle != nil)
	j.withdrawn = c.final
	if c.final == nil {
		j.withdrawn = planChanged(c.cause)
	}
	return j.withdrawn
}

// registration is the version of an endpoint's row and for how many milliseconds this VM has known
// it; zero for none.
func registration(e *directory.Endpoint) (version table.Version, ageMS int64) {
	if e == nil {
		return 0, 0
	}
	return e.Version, clock.Since(e.ReceivedAt).Milliseconds()
}

// planChanged is the failure of an attempt that is to be planned again.
func planChanged(c PlanChange) *failure.Request {
	return &failure.Request{Code: failure.PlanChanged, Ran: failure.NotRun, RetryAfter: replanAfter, Message: "what the request was planned on has changed: " + string(c)}
}

// replanAfter is when a caller may come back whose request could not be placed because what it was
// planned on changed each time.
const replanAfter = 100 * time.Millisecond

// changed finds what has changed, what ends the request first.
func (j *job) changed(ctx context.Context, plan Plan, e *directory.Endpoint) change {
	if ctx.Err() != nil {
		return change{cause: CallerLeft, final: left(ctx)}
	}
	if refused := j.relay.cfg.Router.Admit(j.req); refused != nil {
		return change{cause: CallerNotAdmitted, final: refused}
	}
	if refused := j.relay.cfg.Guard.Check(j.req); refused != nil {
		return change{cause: RequestRefused, final: refused}
	}
	if stops := j.stops(plan); stops != nil {
		return change{cause: VMStops, final: stops}
	}
	if routed, failed := j.route(); failed != nil || routed != j.req {
		return change{cause: RouteChanged}
	}
	endpoints := j.relay.cfg.Endpoints()
	now := endpoints.Endpoint(e.ID)
	if cause := endpointChange(e, now); cause != "" {
		return change{cause: cause, now: now}
	}
	if cause := plan.Watch.Recheck(e); cause != "" {
		return change{cause: cause, now: now}
	}
	if e == plan.Serve && j.cacheLost() {
		return change{cause: CacheLost, now: endpoints.Endpoint(j.handle.Endpoint.ID)}
	}
	return change{}
}

// endpointChange tells what has become of an endpoint since it was planned for.
func endpointChange(planned, now *directory.Endpoint) PlanChange {
	switch {
	case now == planned:
		return ""
	case now == nil:
		return EndpointDeregistered
	case now.Incarnation() != planned.Incarnation():
		return EndpointRestarted
	case !now.Usable():
		return EndpointDraining
	case now.Role != planned.Role:
		return EndpointChangingRole
	}
	return ""
}

// cacheLost tells whether the prompt's KV cache is certainly gone: its holder has started again.
// One that leaves, or whose row is gone, serves on for a while, so that the prompt need not be
// read twice.
func (j *job) cacheLost() bool {
	if j.handle == nil {
		return false
	}
	return endpointChange(j.handle.Endpoint, j.relay.cfg.Endpoints().Endpoint(j.handle.Endpoint.ID)) == EndpointRestarted
}

// left is the failure of a request whose caller waits no longer.
func left(ctx context.Context) *failure.Request {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return &failure.Request{Code: failure.DeadlinePassed, Ran: failure.NotRun, Message: "the deadline passed before the request was sent"}
	}
	return &failure.Request{Code: failure.CallerGone, Ran: failure.NotRun, Message: "the caller went away before the request was sent"}
}

// stops refuses an attempt whose answer would be cut off by this VM's own planned stop: another VM
// can give it whole.
func (j *job) stops(plan Plan) *failure.Request {
	end := j.relay.cfg.ShutdownAt()
	if end.IsZero() {
		return nil
	}
	need := plan.ExpectedLatency
	if need == 0 {
		need = j.req.Route.Objective
	}
	if clock.Until(end) > need {
		return nil
	}
	return &failure.Request{Code: failure.Stopping, Ran: failure.NotRun, RetryAfter: replanAfter, Message: "this VM stops before an answer could come"}
}
