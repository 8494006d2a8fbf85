package forward

import (
	"cmp"
	"context"
	"strings"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/internal/clock"
)

// Generate carries out one generation and gives its pieces to sink. The error
// is nil or *failure.Request, and is returned as soon as it is certain.
//
// Invariant: sink receives the tokens 0, 1, 2, ... of one answer, each once.
// A piece goes to it only if it carries the current attempt's id and begins at
// the position that the pieces before it reached; a new attempt starts from
// that position with the very text that the sink holds.
func (f *Forwarder) Generate(ctx context.Context, w *Work, sink Sink) (Summary, error) {
	ctx, cancel := w.context(ctx)
	defer cancel()
	release, err := f.cfg.Admitter.Admit(ctx, w)
	if err != nil {
		return Summary{}, admissionFailure(ctx, err)
	}
	defer release()
	g := &generation{f: f, w: w, sink: sink, tries: newTries(f, w), tokens: w.ResumeFrom, version: w.Version}
	g.emitted.WriteString(w.Emitted)
	if failed := g.run(ctx); failed != nil {
		return g.summary, failed
	}
	return g.summary, nil
}

// admissionFailure is the failure of work that never reached a route.
func admissionFailure(ctx context.Context, err error) *failure.Request {
	if ctx.Err() != nil {
		return contextFailure(ctx)
	}
	return asRequest(err, failure.NotRun)
}

// generation is the state of one request over all its attempts. It belongs to
// one goroutine.
type generation struct {
	f     *Forwarder
	w     *Work
	sink  Sink
	tries *tries
	// tokens and emitted are what the sink holds: the confirmed position.
	tokens  int
	emitted strings.Builder
	// version is the version of the weights that they were computed with. Two
	// versions never meet in one answer: an engine refuses one it lacks.
	version string
	summary Summary
	// kv is the prompt's KV cache that was prefilled for an engine which left before it was sent
	// anything, or nil.
	kv *engine.KVRef
	// noImport is set after a failed KV import: the next attempt prefills whole.
	noImport bool
}

func (g *generation) run(ctx context.Context) *failure.Request {
	for {
		plan, id, failed := g.tries.route(ctx, Attempt{Emitted: g.tokens, Version: g.version, Prefilled: g.kv != nil})
		if failed != nil {
			return failed
		}
		failed = g.serve(ctx, plan, id)
		if failed == nil || g.complete() {
			return nil
		}
		if g.tries.again(failed) {
			continue
		}
		if failed = g.tries.failed(ctx, plan.Target.Pool, failed); failed != nil {
			return failed
		}
	}
}

// complete tells whether the sink holds as many tokens as were asked for. Then
// the answer is whole although its terminal frame was lost.
func (g *generation) complete() bool {
	if g.w.MaxTokens <= 0 || g.tokens < g.w.MaxTokens {
		return false
	}
	g.summary = Summary{Finish: engine.Length, Tokens: g.tokens}
	return true
}

// serve makes one attempt and tells the plan's observer how it went.
func (g *generation) serve(ctx context.Context, plan Plan, id string) *failure.Request {
	a := &attempt{g: g, id: id, target: plan.Target, observer: plan.Observer, start: clock.Now()}
	a.version = cmp.Or(g.version, plan.Version)
	kv := g.prefill(ctx, plan, a)
	if failed := g.tries.recheck(plan); failed != nil {
		g.kv = kv // for the engine that is chosen next
		return failed
	}
	failed := a.run(ctx, kv)
	// A cache that has failed once is not tried again.
	g.noImport = g.noImport || (kv != nil && failed != nil)
	if kv != nil && importRefused(failed) {
		handedOver(failed.Code)
		a.id = id + "w"
		failed = a.run(ctx, nil)
	}
	if plan.Observer != nil {
		plan.Observer.Finished(a.result(ctx, failed))
	}
	return failed
}

// request builds what the engine is asked for.
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
