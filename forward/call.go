package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/springweir/springweir/claim"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/service"
)

// Response is the whole answer to a service call.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Replayed is set when the call ran earlier and this is its stored answer.
	Replayed bool
	// leaving is set when the endpoint said that it leaves.
	leaving bool
}

// Call carries out one service call. The error is nil or *failure.Request.
//
// What may be tried again: a call of a repeatable service, on any failure of
// an endpoint; a non-repeatable one with an idempotency key, only after an
// attempt that provably did not run; a non-repeatable one without a key,
// never. A call that may not be repeated is claimed before each dispatch.
func (f *Forwarder) Call(ctx context.Context, w *Work) (*Response, error) {
	ctx, cancel := w.context(ctx)
	defer cancel()
	release, err := f.cfg.Admitter.Admit(ctx, w)
	if err != nil {
		return nil, admissionFailure(ctx, err)
	}
	defer release()
	c := &call{f: f, w: w, tries: newTries(f, w)}
	reply, failed := c.run(ctx)
	conclude(ctx, c.held, reply, failed)
	if failed != nil {
		return nil, failed
	}
	return reply, nil
}

// call is the state of one service call over all its attempts. It belongs to
// one goroutine.
type call struct {
	f     *Forwarder
	w     *Work
	tries *tries
	// held is the claim under which this process may dispatch, or nil. It is
	// kept over attempts that provably did not run.
	held *claim.Claim
}

func (c *call) run(ctx context.Context) (*Response, *failure.Request) {
	for {
		plan, id, failed := c.tries.route(ctx, Attempt{})
		if failed != nil {
			return nil, failed
		}
		reply, failed := c.dispatch(ctx, plan, id)
		if failed == nil {
			return reply, nil
		}
		if c.tries.again(failed) {
			continue
		}
		if !c.mayRepeat(failed) {
			return nil, c.tries.stop(ctx, failed)
		}
		if failed = c.tries.failed(ctx, plan.Target.Pool, failed); failed != nil {
			return nil, failed
		}
	}
}

func (c *call) mayRepeat(failed *failure.Request) bool {
	if c.w.Repeatable {
		return true
	}
	return c.w.IdempotencyKey != "" && failed.Ran == failure.NotRun
}

// dispatch makes one attempt, under a claim when the call may not be repeated.
// An entry of another zone makes the claim itself, just before it dispatches,
// so this process gives its own back first.
func (c *call) dispatch(ctx context.Context, plan Plan, id string) (*Response, *failure.Request) {
	if plan.Target.Peer != nil {
		c.release(ctx)
		return c.f.observed(ctx, c.w, plan, id)
	}
	stored, failed := c.claim(ctx)
	if stored != nil || failed != nil {
		notMade(plan.Observer, failed)
		return stored, failed
	}
	if failed := c.tries.recheck(plan); failed != nil {
		return nil, failed
	}
	if c.held != nil {
		return c.outlast(ctx, plan, id)
	}
	return c.f.observed(ctx, c.w, plan, id)
}

// notMade tells an observer that its attempt is not made after all: the
// endpoint that was taken for it is given back.
func notMade(o Observer, failed *failure.Request) {
	if o != nil {
		o.Finished(Result{Err: failed, Abandoned: true})
	}
}

// claim takes the claim of a call that needs one. A call that ran before gives
// its stored answer instead.
func (c *call) claim(ctx context.Context) (*Response, *failure.Request) {
	w := c.w
	if w.Repeatable || w.IdempotencyKey == "" || c.held != nil {
		return nil, nil
	}
	if c.f.cfg.Claims == nil {
		return nil, &failure.Request{Code: failure.ClaimUnavailable, Ran: failure.NotRun, Message: "this VM keeps no claims"}
	}
	key := claim.Key{Organisation: w.Organisation, Service: w.Service, IdempotencyKey: w.IdempotencyKey}
	digest := claim.DigestOf(w.Call.Method, w.Call.Path, w.Call.Body)
	held, stored, err := c.f.cfg.Claims.Begin(ctx, key, digest)
	if err != nil {
		return nil, asRequest(err, failure.Unknown)
	}
	c.held = held
	if stored != nil {
		return &Response{Status: stored.Status, Header: stored.Header, Body: stored.Body, Replayed: true}, nil
	}
	return nil, nil
}

// outlast makes an attempt that goes on for up to claim.Grace after the caller
// was given its final answer: a confirmation that comes late is then kept for
// the caller's repeat, and is not lost for good.
//
// Invariant: the claim has one owner. It passes to the attempt's goroutine only
// when gone is closed before the result was taken, and the result is handed
// over on an unbuffered channel, so exactly one side concludes the claim.
func (c *call) outlast(ctx context.Context, plan Plan, id string) (*Response, *failure.Request) {
	results, gone := make(chan callResult), make(chan struct{})
	held := c.held
	started := c.f.late.TryGo(func() error {
		within, cancel := graceContext(ctx)
		defer cancel()
		reply, failed := c.f.observed(within, c.w, plan, id)
		select {
		case results <- callResult{reply, failed}:
		case <-gone:
			conclude(within, held, reply, failed)
		}
		return nil
	})
	if !started {
		return c.f.observed(ctx, c.w, plan, id)
	}
	select {
	case r := <-results:
		return r.reply, r.failed
	case <-ctx.Done():
		close(gone)
		c.held = nil
		failed := contextFailure(ctx)
		failed.Ran = failure.Unknown
		return nil, failed
	}
}

type callResult struct {
	reply  *Response
	failed *failure.Request
}

// graceContext ends claim.Grace after ctx does, or when it is cancelled itself.
func graceContext(ctx context.Context) (context.Context, context.CancelFunc) {
	within, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		timer := time.AfterFunc(claim.Grace, cancel)
		context.AfterFunc(within, func() { timer.Stop() })
	})
	return within, func() {
		stop()
		cancel()
	}
}

func (c *call) release(ctx context.Context) {
	if c.held != nil {
		c.held.Release(ctx)
		c.held = nil
	}
}

// conclude ends a claim by what is known of all attempts together. A call that
// may have run leaves the claim as it is, so that no repeat ever runs.
func conclude(ctx context.Context, held *claim.Claim, reply *Response, failed *failure.Request) {
	switch {
	case held == nil:
	case failed == nil:
		held.Finish(ctx, claim.Response{Status: reply.Status, Header: reply.Header, Body: reply.Body})
	case failed.Ran == failure.NotRun:
		held.Release(ctx)
	case failed.Ran == failure.Done:
		held.FinishWithoutResponse(ctx)
	}
}

// observed makes one attempt and tells the plan's observer how it went.
func (f *Forwarder) observed(ctx context.Context, w *Work, plan Plan, id string) (*Response, *failure.Request) {
	start := clock.Now()
	reply, failed := f.once(ctx, w, plan.Target, id)
	if plan.Observer != nil {
		plan.Observer.Finished(Result{
			Err:       failed,
			Abandoned: failed != nil && ctx.Err() != nil,
			Elapsed:   clock.Since(start),
			Leaving:   saysItLeaves(reply, failed),
		})
	}
	return reply, failed
}

// saysItLeaves tells whether an answer or a refusal said that its endpoint leaves.
func saysItLeaves(reply *Response, failed *failure.Request) bool {
	if failed == nil {
		return reply.leaving
	}
	var leaving *service.LeavingError
	return errors.As(failed, &leaving)
}

// once sends the call a single time and reads the whole answer.
func (f *Forwarder) once(ctx context.Context, w *Work, target Target, id string) (*Response, *failure.Request) {
	if ctx.Err() != nil {
		return nil, contextFailure(ctx)
	}
	call := w.Call
	call.Attempt = id
	answer, err := send(ctx, w, target, call)
	if err != nil {
		return nil, asRequest(err, failure.Unknown)
	}
	defer answer.Body.Close()
	if answer.Attempt != "" && answer.Attempt != id {
		return nil, &failure.Request{Code: failure.AnswerMismatch, Ran: failure.Unknown, Message: "the answer belongs to another attempt"}
	}
	body, failed := f.readAnswer(answer)
	if failed != nil {
		return nil, failed
	}
	return &Response{Status: answer.Status, Header: answer.Header, Body: body, leaving: answer.Leaving}, nil
}

func send(ctx context.Context, w *Work, target Target, call service.Call) (*service.Answer, error) {
	if target.Peer != nil {
		return target.Peer.Do(ctx, w, call)
	}
	return target.Service.Do(ctx, call)
}

// readAnswer reads the whole body, so that a caller never gets half an answer.
func (f *Forwarder) readAnswer(answer *service.Answer) ([]byte, *failure.Request) {
	body, err := io.ReadAll(io.LimitReader(answer.Body, f.cfg.MaxResponseBytes+1))
	if err != nil {
		return nil, bodyFailure(err)
	}
	if int64(len(body)) > f.cfg.MaxResponseBytes {
		return nil, &failure.Request{Code: failure.EndpointFailed, Ran: failure.Done, Message: "the answer is over the size limit"}
	}
	return body, nil
}

// bodyFailure is the failure of an answer that had begun: it proves nothing
// about whether the call ran to its end.
func bodyFailure(err error) *failure.Request {
	var known *failure.Request
	if errors.As(err, &known) {
		out := *known
		out.Ran = out.Ran.And(failure.Unknown)
		return &out
	}
	return &failure.Request{Code: failure.AnswerTruncated, Ran: failure.Unknown, Message: "the answer broke off", Cause: err}
}

// stop ends a request whose failed attempt may not be followed by another.
func (t *tries) stop(ctx context.Context, err *failure.Request) *failure.Request {
	t.ran = t.ran.And(err.Ran)
	t.last = err
	if ctx.Err() != nil && err.Ran != failure.Done {
		return t.givenUp(ctx)
	}
	return t.final(err)
}
