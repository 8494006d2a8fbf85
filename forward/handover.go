package forward

import (
	"context"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/internal/clock"
)

// KV hand-over: one engine prefills the prompt and exports its KV cache,
// another imports it and decodes. It only saves time. Whatever goes wrong with
// it, the serving engine prefills the whole prompt itself, so the answer never
// rests on a cache that was not proved whole (the importer checks the digest).

// prefill runs the plan's prefill and returns the exported cache, or nil when
// the serving engine has to prefill itself.
func (g *generation) prefill(ctx context.Context, plan Plan, a *attempt) *engine.KVRef {
	if kv := g.kv; kv != nil {
		g.kv = nil
		return kv
	}
	if plan.PrefillTarget == nil {
		return nil
	}
	if g.noImport || g.tokens > 0 {
		notMade(plan.PrefillObserver, nil)
		return nil
	}
	start := clock.Now()
	within, cancel := context.WithTimeout(ctx, g.prefillTime(ctx))
	defer cancel()
	kv, failed := g.export(within, plan.PrefillTarget, a.id+"p", a.version)
	if plan.PrefillObserver != nil {
		plan.PrefillObserver.Finished(Result{Err: failed, Abandoned: ctx.Err() != nil, Elapsed: clock.Since(start)})
	}
	// A prefill is a part of the request, so one that may have run counts.
	if failed == nil || failed.Ran != failure.NotRun {
		g.tries.ran = g.tries.ran.And(failure.Unknown)
	}
	if failed != nil {
		handedOver(failed.Code)
		klog.V(1).Infof("forward: request %s prefills whole, export failed: %v", g.w.ID, failed)
		return nil
	}
	return kv
}

// prefillTime bounds the prefill so that half of the time left stays for the
// serving engine, should it have to prefill itself.
func (g *generation) prefillTime(ctx context.Context) time.Duration {
	limit := g.f.cfg.PrefillTimeout
	if deadline, ok := ctx.Deadline(); ok {
		return min(limit, clock.Until(deadline)/2)
	}
	return limit
}

// export asks the prefill engine for the prompt's cache.
func (g *generation) export(ctx context.Context, target *Target, id, version string) (*engine.KVRef, *failure.Request) {
	req := g.request(ctx, id, version, nil)
	req.PrefillOnly = true
	stream, err := target.Engine.Generate(ctx, req)
	if err != nil {
		return nil, asRequest(err, failure.Unknown)
	}
	frame, failed := terminal(ctx, stream, id)
	_ = stream.Close()
	if failed != nil {
		g.f.cancelAttempt(target.Engine, id)
		return nil, failed
	}
	if frame.Finish != engine.Prefilled || !usable(frame.KV) {
		return nil, &failure.Request{Code: failure.EndpointFailed, Ran: failure.Unknown, Message: "the prefill gave no cache"}
	}
	return frame.KV, nil
}

// terminal reads frames of the attempt id up to the terminal one.
func terminal(ctx context.Context, stream engine.Stream, id string) (engine.Frame, *failure.Request) {
	for {
		frame, err := stream.Next(ctx)
		if err != nil {
			return engine.Frame{}, streamFailure(err)
		}
		if frame.Attempt != id {
			return engine.Frame{}, &failure.Request{
				Code: failure.AnswerMismatch, Ran: failure.Unknown, Message: "a frame belongs to another attempt",
			}
		}
		if frame.Finish != "" {
			return frame, nil
		}
	}
}

// usable tells whether a reference names a cache that an importer can check.
func usable(kv *engine.KVRef) bool {
	return kv != nil && kv.Handle != "" && kv.Digest != "" && kv.Incarnation != ""
}

// importRefused tells whether an attempt with an import ended before it began:
// the engine refused the cache, so the same engine may prefill whole at once.
func importRefused(failed *failure.Request) bool {
	return failed != nil && failed.Ran == failure.NotRun && failed.Code != failure.EndpointUnreachable
}

// handedOver counts a hand-over that fell back to a whole prefill.
func handedOver(r failure.Reason) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`springweir_kv_fallbacks_total{reason=%q}`, r)).Inc()
}
