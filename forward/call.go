package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/springweir/springweir/claim"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/internal/h1"
	"github.com/springweir/springweir/memory"
	"github.com/springweir/springweir/service"
)

// Response is the complete response to a service call.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Replayed is set when the call ran earlier and this is its stored response.
	Replayed bool
	// leaving is set when the endpoint announced that it is about to stop.
	leaving bool
}

// Call executes one service call. The error is nil or *failure.Request.
//
// Calls of a repeatable service are retried after any failure of an endpoint. Non-repeatable calls
// with an idempotency key are retried only after an attempt that provably did not run, and those
// without a key never. A non-repeatable call with a key is claimed before each dispatch.
func (f *Forwarder) Call(ctx context.Context, w *Work) (*Response, error) {
	ctx, cancel := w.context(ctx)
	defer cancel()
	release, err := f.cfg.Admitter.Admit(ctx, w)
	if err != nil {
		return nil, admissionFailure(ctx, err)
	}
	defer release()
	c := &call{f: f, w: w, attempts: newAttemptTracker(f, w)}
	resp, failed := c.run(ctx)
	concludeClaim(ctx, c.held, resp, failed)
	if failed != nil {
		return nil, failed
	}
	return resp, nil
}

// call is the state of one service call over all its attempts. It belongs to one goroutine.
type call struct {
	f        *Forwarder
	w        *Work
	attempts *attemptTracker
	// held is the claim under which this process may dispatch, or nil. It is kept across attempts
	// that provably did not run.
	held *claim.Claim
}

func (c *call) run(ctx context.Context) (*Response, *failure.Request) {
	for {
		plan, id, failed := c.attempts.route(ctx, Attempt{})
		if failed != nil {
			return nil, failed
		}
		resp, failed := c.dispatch(ctx, plan, id)
		if failed == nil {
			return resp, nil
		}
		if c.attempts.shouldReroute(failed) {
			continue
		}
		if !c.mayRetry(failed) {
			return nil, c.attempts.stopRetrying(ctx, failed)
		}
		if failed = c.attempts.prepareRetry(ctx, plan.Target.Pool, failed); failed != nil {
			return nil, failed
		}
	}
}

func (c *call) mayRetry(failed *failure.Request) bool {
	if c.w.Repeatable {
		return true
	}
	return c.w.IdempotencyKey != "" && failed.Ran == failure.NotRun
}

// dispatch makes one attempt, under a claim if the call is not repeatable and has a key. The entry
// of another zone makes the claim itself just before it dispatches, so this process releases its
// own claim first.
func (c *call) dispatch(ctx context.Context, plan Plan, id string) (*Response, *failure.Request) {
	if plan.Target.Peer != nil {
		c.release(ctx)
		return c.f.sendObserved(ctx, c.w, plan, id)
	}
	stored, failed := c.claim(ctx)
	if stored != nil || failed != nil {
		notifyNotSent(plan.Observer, failed)
		return stored, failed
	}
	if failed := c.attempts.recheck(plan); failed != nil {
		return nil, failed
	}
	if c.held != nil {
		return c.dispatchWithGrace(ctx, plan, id)
	}
	return c.f.sendObserved(ctx, c.w, plan, id)
}

// notifyNotSent informs an observer that its attempt is not sent, so that the endpoint's
// reservation is released.
func notifyNotSent(o Observer, failed *failure.Request) {
	if o != nil {
		o.Finished(Result{Err: failed, Abandoned: true})
	}
}

// claim acquires the claim of a call that needs one. It returns the stored response of a call that
// ran before.
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

// dispatchWithGrace makes an attempt that may continue for claim.Grace after the caller received
// its final failure, so that a late response is stored for the caller's repeat instead of being
// lost.
//
// Invariant: the claim has one owner. It passes to the attempt's goroutine only if callerDone is
// closed before the result was received. The result is sent on an unbuffered channel, so exactly
// one side concludes the claim.
func (c *call) dispatchWithGrace(ctx context.Context, plan Plan, id string) (*Response, *failure.Request) {
	results, callerDone := make(chan callResult), make(chan struct{})
	held := c.held
	started := c.f.claimedCalls.TryGo(func() error {
		graceCtx, cancel := graceContext(ctx)
		defer cancel()
		resp, failed := c.f.sendObserved(graceCtx, c.w, plan, id)
		select {
		case results <- callResult{resp, failed}:
		case <-callerDone:
			concludeClaim(graceCtx, held, resp, failed)
		}
		return nil
	})
	if !started {
		return c.f.sendObserved(ctx, c.w, plan, id)
	}
	select {
	case r := <-results:
		return r.resp, r.failed
	case <-ctx.Done():
		close(callerDone)
		c.held = nil
		failed := contextFailure(ctx)
		failed.Ran = failure.Unknown
		return nil, failed
	}
}

type callResult struct {
	resp   *Response
	failed *failure.Request
}

// graceContext returns a context that ends claim.Grace after ctx does, or when it is cancelled.
func graceContext(ctx context.Context) (context.Context, context.CancelFunc) {
	graceCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		timer := time.AfterFunc(claim.Grace, cancel)
		context.AfterFunc(graceCtx, func() { timer.Stop() })
	})
	return graceCtx, func() {
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

// concludeClaim ends a claim according to the combined outcome of all attempts. If the call may
// have run, the row stays in state claimed, so that no repeat ever runs.
func concludeClaim(ctx context.Context, held *claim.Claim, resp *Response, failed *failure.Request) {
	switch {
	case held == nil:
	case failed == nil:
		held.Finish(ctx, claim.Response{Status: resp.Status, Header: resp.Header, Body: resp.Body})
	case failed.Ran == failure.NotRun:
		held.Release(ctx)
	case failed.Ran == failure.Done:
		held.FinishWithoutResponse(ctx)
	}
}

// sendObserved makes one attempt and reports its result to the plan's observer.
func (f *Forwarder) sendObserved(ctx context.Context, w *Work, plan Plan, id string) (*Response, *failure.Request) {
	start := clock.Now()
	resp, failed := f.sendOnce(ctx, w, plan.Target, id)
	if plan.Observer != nil {
		plan.Observer.Finished(Result{
			Err:       failed,
			Abandoned: failed != nil && ctx.Err() != nil,
			Elapsed:   clock.Since(start),
			Leaving:   reportsLeaving(resp, failed),
		})
	}
	return resp, failed
}

// reportsLeaving reports whether the response or the refusal announced that the endpoint is
// leaving.
func reportsLeaving(resp *Response, failed *failure.Request) bool {
	if failed == nil {
		return resp.leaving
	}
	var leaving *service.LeavingError
	return errors.As(failed, &leaving)
}

// sendOnce sends the call once, without retry, and reads the complete response.
func (f *Forwarder) sendOnce(ctx context.Context, w *Work, target Target, id string) (*Response, *failure.Request) {
	if ctx.Err() != nil {
		return nil, contextFailure(ctx)
	}
	call := w.Call
	call.Attempt = id
	resp, err := send(ctx, w, target, call)
	if err != nil {
		return nil, asRequest(err, failure.Unknown)
	}
	defer resp.Body.Close()
	if resp.Attempt != "" && resp.Attempt != id {
		return nil, &failure.Request{Code: failure.AnswerMismatch, Ran: failure.Unknown, Message: "the answer belongs to another attempt"}
	}
	body, failed := f.readResponse(resp)
	if failed != nil {
		return nil, failed
	}
	return &Response{Status: resp.Status, Header: resp.Header, Body: body, leaving: resp.Leaving}, nil
}

func send(ctx context.Context, w *Work, target Target, call service.Call) (*service.Response, error) {
	if target.Peer != nil {
		return target.Peer.Do(ctx, w, call)
	}
	return target.Service.Do(ctx, call)
}

// readResponse reads the complete body before anything is returned, so that a caller never gets a
// partial response.
func (f *Forwarder) readResponse(resp *service.Response) ([]byte, *failure.Request) {
	held := f.cfg.Memory.Open()
	defer held.Release()
	body, err := held.ReadAll(resp.Body, f.cfg.MaxResponseBytes)
	var full *memory.FullError
	if errors.As(err, &full) {
		err = h1.NewLimitError(h1.Bodies, full.Total)
		return nil, &failure.Request{Code: failure.EndpointFailed, Ran: failure.Unknown, Message: "this VM has no memory for the rest of the answer", Cause: err}
	}
	if err != nil {
		return nil, bodyFailure(err)
	}
	if int64(len(body)) > f.cfg.MaxResponseBytes {
		return nil, &failure.Request{Code: failure.EndpointFailed, Ran: failure.Done, Message: "the answer is over the size limit"}
	}
	return body, nil
}

// bodyFailure returns the failure of a response whose body ended early, which does not show whether
// the call ran to completion.
func bodyFailure(err error) *failure.Request {
	var known *failure.Request
	if errors.As(err, &known) {
		out := *known
		out.Ran = out.Ran.Combine(failure.Unknown)
		return &out
	}
	return &failure.Request{Code: failure.AnswerTruncated, Ran: failure.Unknown, Message: "the answer broke off", Cause: err}
}

// stopRetrying returns the final failure of a request whose failed attempt must not be retried.
func (t *attemptTracker) stopRetrying(ctx context.Context, err *failure.Request) *failure.Request {
	t.outcome = t.outcome.Combine(err.Ran)
	t.lastFailure = err
	if ctx.Err() != nil && err.Ran != failure.Done {
		return t.abandoned(ctx)
	}
	return t.finalFailure(err)
}
