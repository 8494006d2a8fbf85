package relay

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/internal/watchdog"
)

// freeTimeout bounds the call that frees an unused KV cache.
const freeTimeout = 500 * time.Millisecond

// prefill runs the prefill of the prompt on the plan's prefill engine. A prefill is not a run of
// the request, so an unresponsive engine may be abandoned on any route.
//
// A successful prefill does not count as an attempt, but a refused one does. One whose engine was
// lost counts too, because it is unknown whether the engine had accepted the prompt.
func (j *job) prefill(ctx context.Context, plan Plan, a *Attempt) *failure.Request {
	j.result.Endpoint = plan.Prefill.ID
	next := j.newSuccessor(plan.Prefill.ID)
	prefillCtx, dog := watchdog.NewConditional(ctx, j.prefillTimeout(plan), silenceCheckInterval, next.prepare)
	prefillAttempt, start := *a, clock.Now()
	prefillAttempt.Endpoint, prefillAttempt.CopyFrom = plan.Prefill, plan.CopyFrom
	prefillAttempt.BeforeSend = func() *failure.Request {
		failed := j.recheck(ctx, plan, plan.Prefill)
		if failed == nil {
			j.relay.cfg.Guard.Started(j.req, plan.Prefill)
		}
		return failed
	}
	handle, failed := j.relay.cfg.Upstream.Prefill(prefillCtx, &prefillAttempt)
	j.recordPrefill(failed)
	failed = watchdog.Explain(prefillCtx, failed)
	dog.Stop()
	j.collect(next)
	if j.withdrawn != nil {
		await := j.reportEnd(ctx, plan.Prefill, j.withdrawn, false)
		plan.Watch.Prefilled(j.withdrawn, true)
		await()
		return j.withdrawn
	}
	if failed != nil {
		await := j.reportEnd(ctx, plan.Prefill, failed, false)
		plan.Watch.Prefilled(verdict(ctx, failed, next.silence))
		await()
		j.countAttempt(failed)
		j.recordTried(plan.Prefill, failed)
		return prefillFailure(failed)
	}
	plan.Watch.Prefilled(verdict(ctx, nil, next.silence))
	j.relay.cfg.Guard.Ended(j.req, plan.Prefill, RunEnd{Outcome: RunPrefilled})()
	j.handle, j.prefilled = handle, true
	j.discardNext()
	klog.InfoS("relay: prompt prefilled", "request", j.req.ID, "endpoint", plan.Prefill.ID, "tookMS", clock.Since(start).Milliseconds(), "tokens", handle.Tokens)
	return nil
}

// prefillFailure converts the failure of a prefill to that of its request: the request has not run,
// so the caller may retry even a non-idempotent one. The decode engine does not prefill the prompt
// instead, because one long prompt there would delay all of its streams.
func prefillFailure(failed *failure.Request) *failure.Request {
	out := *failed
	out.Ran = failure.NotRun
	return &out
}

// prefillTimeoutFactor is the multiple of its predicted duration that a prefill may take. By then
// an engine that is merely busy has done most of the work.
const prefillTimeoutFactor = 4

// prefillTimeout returns how long a prefill may take, or zero for no timeout if no other engine may
// prefill the prompt afterwards.
func (j *job) prefillTimeout(plan Plan) time.Duration {
	if j.result.Attempts+1 >= j.req.Route.MaxAttempts || j.req.Route.Objective == 0 {
		return 0
	}
	return max(prefillTimeoutFactor*plan.ExpectedLatency, j.req.Route.Objective)
}

// freeHandle frees a KV cache that was not imported. It runs in the background to not delay the
// caller.
func (j *job) freeHandle() {
	h := j.handle
	if h == nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
		defer cancel()
		if err := j.relay.cfg.Upstream.Free(ctx, h); err != nil {
			klog.V(1).InfoS("relay: KV cache not freed, it will expire", "request", j.req.ID, "endpoint", h.Endpoint.ID, "err", err)
		}
	}()
}
