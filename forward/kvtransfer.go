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

// KV cache transfer: one engine prefills the prompt and exports its KV cache, another imports it
// and decodes. The transfer is only an optimisation. If any step fails, the serving engine prefills
// the full prompt itself, so the response never depends on an unverified cache (the importer checks
// the digest).

// prefill runs the plan's prefill and returns the exported cache, or nil if the serving engine has
// to prefill itself.
func (g *generation) prefill(ctx context.Context, plan Plan, a *attempt) *engine.KVRef {
	if kv := g.kv; kv != nil {
		g.kv = nil
		return kv
	}
	if plan.PrefillTarget == nil {
		return nil
	}
	if g.importDisabled || g.tokens > 0 {
		notifyNotSent(plan.PrefillObserver, nil)
		return nil
	}
	start := clock.Now()
	prefillCtx, cancel := context.WithTimeout(ctx, g.prefillTimeout(ctx))
	defer cancel()
	kv, failed := g.exportKV(prefillCtx, plan.PrefillTarget, a.id+"p", a.version)
	if plan.PrefillObserver != nil {
		plan.PrefillObserver.Finished(Result{Err: failed, Abandoned: ctx.Err() != nil, Elapsed: clock.Since(start)})
	}
	// The prefill is part of the request, so a prefill that may have run counts.
	if failed == nil || failed.Ran != failure.NotRun {
		g.attempts.outcome = g.attempts.outcome.Combine(failure.Unknown)
	}
	if failed != nil {
		countFallback(failed.Code)
		klog.V(1).Infof("forward: request %s falls back to a full prefill, KV export failed: %v", g.w.ID, failed)
		return nil
	}
	return kv
}

// prefillTimeout bounds the prefill so that half of the remaining time is left for the serving
// engine, in case it has to prefill itself.
func (g *generation) prefillTimeout(ctx context.Context) time.Duration {
	limit := g.f.cfg.PrefillTimeout
	if deadline, ok := ctx.Deadline(); ok {
		return min(limit, clock.Until(deadline)/2)
	}
	return limit
}

// exportKV requests the prompt's KV cache from the prefill engine.
func (g *generation) exportKV(ctx context.Context, target *Target, id, version string) (*engine.KVRef, *failure.Request) {
	req := g.request(ctx, id, version, nil)
	req.PrefillOnly = true
	stream, err := target.Engine.Generate(ctx, req)
	if err != nil {
		return nil, asRequest(err, failure.Unknown)
	}
	frame, failed := readTerminal(ctx, stream, id)
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

// readTerminal reads frames of the attempt id up to the terminal one.
func readTerminal(ctx context.Context, stream engine.Stream, id string) (engine.Frame, *failure.Request) {
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

// usable reports whether kv identifies a KV cache that an importer can verify.
func usable(kv *engine.KVRef) bool {
	return kv != nil && kv.Handle != "" && kv.Digest != "" && kv.Incarnation != ""
}

// importRefused reports whether an attempt with an import failed before it started: the engine
// refused the cache, so the same engine may prefill the full prompt immediately.
func importRefused(failed *failure.Request) bool {
	return failed != nil && failed.Ran == failure.NotRun && failed.Code != failure.EndpointUnreachable
}

// countFallback counts a KV transfer that fell back to a full prefill.
func countFallback(r failure.Reason) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`springweir_kv_fallbacks_total{reason=%q}`, r)).Inc()
}
