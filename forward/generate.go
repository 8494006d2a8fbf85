package forward

import (
	"cmp"
	"context"
	"strings"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/internal/clock"
)

// Generate executes one generation and emits its deltas to sink. The error is nil or
// *failure.Request, and is returned as soon as it is certain.
//
// Invariant: sink receives the tokens 0, 1, 2, ... of one response, each exactly once. A delta is
// emitted only if it carries the current attempt's ID and begins at the position that the earlier
// deltas reached. A new attempt resumes from that position with exactly the text that sink has
// accepted.
func (f *Forwarder) Generate(ctx context.Context, w *Work, sink Sink) (Summary, error) {
	ctx, cancel := w.context(ctx)
	defer cancel()
	release, err := f.cfg.Admitter.Admit(ctx, w)
	if err != nil {
		return Summary{}, admissionFailure(ctx, err)
	}
	defer release()
	g := &generation{f: f, w: w, sink: sink, attempts: newAttemptTracker(f, w), tokens: w.ResumeFrom, version: w.Version}
	g.emitted.WriteString(w.Emitted)
	if failed := g.run(ctx); failed != nil {
		return g.summary, failed
	}
	return g.summary, nil
}

// admissionFailure returns the failure of work that was not admitted and thus never routed.
func admissionFailure(ctx context.Context, err error) *failure.Request {
	if ctx.Err() != nil {
		return contextFailure(ctx)
	}
	return asRequest(err, failure.NotRun)
}

// generation is the state of one request over all its attempts. It belongs to one goroutine.
type generation struct {
	f        *Forwarder
	w        *Work
	sink     Sink
	attempts *attemptTracker
	// tokens and emitted are the number and the text of the tokens that sink has accepted.
	tokens  int
	emitted strings.Builder
	// version is the version of the weights that computed those tokens. One response never mixes
	// versions: an engine refuses a version that it has not loaded.
	version string
	summary Summary
	// kv is the prompt's KV cache, kept when the engine it was prefilled for left before anything
	// was sent to it; otherwise nil.
	kv *engine.KVRef
	// importDisabled is set after a failed KV import: the next attempt prefills the full prompt.
	importDisabled bool
}

func (g *generation) run(ctx context.Context) *failure.Request {
	for {
		plan, id, failed := g.attempts.route(ctx, Attempt{Emitted: g.tokens, Version: g.version, Prefilled: g.kv != nil})
		if failed != nil {
			return failed
		}
		failed = g.runAttempt(ctx, plan, id)
		if failed == nil || g.complete() {
			return nil
		}
		if g.attempts.shouldReroute(failed) {
			continue
		}
		if failed = g.attempts.prepareRetry(ctx, plan.Target.Pool, failed); failed != nil {
			return failed
		}
	}
}

// complete reports whether sink has accepted as many tokens as requested. The response is then
// complete even if its terminal frame was lost.
func (g *generation) complete() bool {
	if g.w.MaxTokens <= 0 || g.tokens < g.w.MaxTokens {
		return false
	}
	g.summary = Summary{Finish: engine.Length, Tokens: g.tokens}
	return true
}

// runAttempt makes one attempt and reports its result to the plan's observer.
func (g *generation) runAttempt(ctx context.Context, plan Plan, id string) *failure.Request {
	a := &attempt{g: g, id: id, target: plan.Target, observer: plan.Observer, start: clock.Now()}
	a.version = cmp.Or(g.version, plan.Version)
	kv := g.prefill(ctx, plan, a)
	if failed := g.attempts.recheck(plan); failed != nil {
		g.kv = kv // reused by the next attempt's engine
		return failed
	}
	failed := a.run(ctx, kv)
	// A failed import is not retried.
	g.importDisabled = g.importDisabled || (kv != nil && failed != nil)
	if kv != nil && importRefused(failed) {
		countFallback(failed.Code)
		a.id = id + "w"
		failed = a.run(ctx, nil)
	}
	if plan.Observer != nil {
		plan.Observer.Finished(a.result(ctx, failed))
	}
	return failed
}

// request builds the request to the engine.
func (g *generation) request(ctx context.Context, id, version string, kv *engine.KVRef) engine.GenerateRequest {
	w := g.w
	req := engine.GenerateRequest{
		ID:           w.ID,
		Attempt:      id,
		Model:        w.Model,
		Adapter:      w.Adapter,
		Version:      version,
		Priority:     w.Priority,
		Prompt:       w.Prompt,
		PromptTokens: w.PromptTokens,
		PrefixHashes: w.PrefixHashes,
		MaxTokens:    w.MaxTokens,
		KV:           kv,
		ResumeFrom:   g.tokens,
	}
	if g.tokens > 0 {
		req.Emitted = g.emitted.String()
	}
	if deadline, ok := ctx.Deadline(); ok {
		req.DeadlineMillis = max(clock.Until(deadline).Milliseconds(), 1)
	}
	return req
}
