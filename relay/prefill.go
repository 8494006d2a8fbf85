package relay

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/internal/watchdog"
)

// freeTimeout bounds the call that drops a KV cache nobody will import.
const freeTimeout = 500 * time.Millisecond

// prefill has the plan's first engine read the prompt. Reading it is no run, so
// an engine that stays silent may be given up whatever the route says.
//
// The engine that takes the prompt up counts for no attempt, each that refuses does. One
// that is lost on the way counts too: whether it had taken it up is not known.
func (j *job) prefill(ctx context.Context, plan Plan, a *Attempt) *failure.Request {
	j.result.Endpoint = plan.Prefill.ID
	limited, dog := watchdog.New(ctx, j.prefillStall(plan))
	defer dog.Stop()
	read, began := *a, clock.Now()
	read.Endpoint, read.CopyFrom = plan.Prefill, plan.CopyFrom
	read.BeforeSend = func() *failure.Request { return j.recheck(ctx, plan, plan.Prefill) }
	handle, failed := j.relay.cfg.Upstream.Prefill(limited, &read)
	if j.withdrawn != nil {
		plan.Watch.Prefilled(j.withdrawn, true)
		return j.withdrawn
	}
	failed = watchdog.Explain(limited, failed)
	plan.Watch.Prefilled(failed, gaveUp(ctx, failed))
	if failed != nil {
		j.ended(ctx, plan.Prefill, failed)
		j.count(failed)
		j.tried = append(j.tried, plan.Prefill.ID)
		return notPrefilled(failed)
	}
	j.handle, j.prefilled = handle, true
	klog.InfoS("relay: prompt read", "request", j.req.ID, "endpoint", plan.Prefill.ID, "tookMS", clock.Since(began).Milliseconds(), "tokens", handle.Tokens)
	return nil
}

// notPrefilled is the failure of a prefill, as it counts for the request: nothing has
// run, so the caller may come back, also where the request may run only once. It is not
// read where it would be decoded instead: one long prompt there holds up all streams.
func notPrefilled(failed *failure.Request) *failure.Request {
	out := *failed
	out.Ran = failure.NotRun
	return &out
}

// prefillPatience is how many times its predicted time a prefill may take. An
// engine that is only busy has done most of the work by then.
const prefillPatience = 4

// prefillStall is how long a prefill may take, or zero when the prompt may not be
// read elsewhere after it.
func (j *job) prefillStall(plan Plan) time.Duration {
	if j.result.Attempts+1 >= j.req.Route.MaxAttempts || j.req.Route.Objective == 0 {
		return 0
	}
	return max(prefillPatience*plan.ExpectedLatency, j.req.Route.Objective)
}

// free drops a KV cache that was not imported, without holding up the caller.
func (j *job) free() {
	h := j.handle
	if h == nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
		defer cancel()
		if err := j.relay.cfg.Upstream.Free(ctx, h); err != nil {
			klog.V(1).InfoS("relay: KV cache not freed, it will lapse", "request", j.req.ID, "endpoint", h.Endpoint.ID, "err", err)
		}
	}()
}
