package relay

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/internal/clock"
)

// Cause is what has changed between a plan and the sending of what was planned.
type Cause string

// The causes.
const (
	// EndpointLeaves is an endpoint that has said that it leaves.
	EndpointLeaves Cause = "endpoint-leaves"
	// EndpointGone is an endpoint that is no longer registered.
	EndpointGone Cause = "endpoint-gone"
	// EndpointRestarted is an endpoint that has started again under its ID.
	EndpointRestarted Cause = "endpoint-restarted"
	// EndpointChangesRole is an engine that has, or is about to have, another role.
	EndpointChangesRole Cause = "endpoint-changes-role"
	// EndpointEjected is an endpoint that is left alone because it fails.
	EndpointEjected Cause = "endpoint-ejected"
)

// Recheck is what became of an endpoint since it was planned for.
type Recheck struct {
	// Cause is empty while the endpoint may be sent to.
	Cause Cause
	// Now is the endpoint as it is registered now, or nil.
	Now *directory.Endpoint
}

// recheck tells of a plan whose endpoint has changed by the time something is sent there.
func (j *job) recheck(plan Plan, e *directory.Endpoint) {
	found := plan.Watch.Recheck(e)
	if found.Cause == "" {
		return
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`springweir_relay_plans_changed_total{cause=%q}`, found.Cause)).Inc()
	version, since := uint64(0), clock.Now()
	if found.Now != nil {
		version, since = found.Now.Version, found.Now.Since
	}
	klog.InfoS("relay: endpoint has changed since it was planned for", "request", j.req.ID, "endpoint", e.ID, "cause", found.Cause,
		"plannedVersion", e.Version, "plannedAgeMS", clock.Since(e.Since).Milliseconds(), "nowVersion", version, "nowAgeMS", clock.Since(since).Milliseconds())
}
