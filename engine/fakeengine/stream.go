package fakeengine

import (
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/standin/enginemodel"
)

// Ending is how a stream ends.
type Ending string

// The endings.
const (
	// Complete is a stream with its terminal frame.
	Complete Ending = ""
	// Truncated breaks off.
	Truncated Ending = "truncated"
	// Stalled sends nothing more, and never ends by itself.
	Stalled Ending = "silent"
	// OtherAttempt goes on with a frame of another attempt.
	OtherAttempt Ending = "crossed"
	// Aborted has a terminal frame with engine.Failed.
	Aborted Ending = "given-up"
)

// Behaviour is what happens to one attempt.
type Behaviour struct {
	// Refuse makes the engine refuse with this reason before it starts.
	Refuse failure.Reason
	// DisconnectBeforeRun breaks the connection after sending; the attempt does not run.
	DisconnectBeforeRun bool
	// Ending happens after so many tokens of this attempt.
	Ending      Ending
	AfterTokens int
}

// AttemptRecord is one attempt that reached the fake.
type AttemptRecord struct {
	Request     engine.GenerateRequest
	Incarnation string
	ReceivedAt  time.Time
	// Ran is set once the engine has started on it, Completed once it was finished.
	Ran       bool
	Completed bool
	// Tokens is the number computed by this attempt.
	Tokens int
	// Cancelled is set when the caller ended it early.
	Cancelled bool
	// InterruptedBy is the order that broke it off, or empty.
	InterruptedBy string
}

// Attempts returns all attempts that reached the fake, in order.
func (e *Engine) Attempts() []AttemptRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]AttemptRecord, 0, len(e.attempts))
	for _, a := range e.attempts {
		out = append(out, *a)
	}
	return out
}

// Generate implements engine.Engine.
func (e *Engine) Generate(ctx context.Context, req engine.GenerateRequest) (engine.Stream, error) {
	l, err := e.enter(ctx)
	if err != nil {
		return nil, generateFailure(ctx, err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	var b Behaviour
	if e.script != nil {
		b = e.script(req)
	}
	rec := &AttemptRecord{Request: req, Incarnation: l.book.Incarnation, ReceivedAt: time.Now()}
	e.attempts = append(e.attempts, rec)
	state := l.book.State()
	away := state != nil && state.Phase == engine.OrderRunning && cuts(*l.book.Current())
	if (e.leaving || away) && b.Refuse == "" {
		b.Refuse = failure.EndpointRefused
	}
	switch {
	case b.Refuse != "":
		return nil, failed(b.Refuse, failure.NotRun)
	case b.DisconnectBeforeRun:
		return nil, failed(failure.EndpointBroke, failure.Unknown)
	}
	rec.Ran = true
	s := newStream(e, l, rec, b)
	e.streams[req.Attempt] = s
	return s, nil
}

func generateFailure(ctx context.Context, err error) error {
	var u *engine.UnreachableError
	ran, code := failure.NotRun, failure.EndpointUnreachable
	if errors.As(err, &u) && u.Sent {
		ran, code = failure.Unknown, failure.EndpointBroke
	}
	if ctx.Err() != nil {
		code = contextReason(ctx)
	}
	return failed(code, ran)
}

func contextReason(ctx context.Context) failure.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return failure.DeadlinePassed
	}
	return failure.CallerGone
}

func failed(code failure.Reason, ran failure.Outcome) error {
	return &failure.Request{Code: code, Ran: ran, Message: "fake engine"}
}

// Cancel implements engine.Engine.
func (e *Engine) Cancel(ctx context.Context, attempt string) error {
	if _, err := e.enter(ctx); err != nil {
		return err
	}
	e.mu.Lock()
	s := e.streams[attempt]
	e.mu.Unlock()
	if s != nil {
		s.end()
	}
	return nil
}

// stream is one answer. Next is called by one goroutine at a time.
type stream struct {
	engine *Engine
	life   *life
	rec    *AttemptRecord
	b      Behaviour
	tokens int
	stop   bool
	sent   int
	err    error
	// cancelled is closed when the attempt is cancelled or closed early.
	cancelled chan struct{}
	// cut is closed when an order breaks the stream off.
	cut chan struct{}
}

func newStream(e *Engine, l *life, rec *AttemptRecord, b Behaviour) *stream {
	s := &stream{engine: e, life: l, rec: rec, b: b, cancelled: make(chan struct{}), cut: make(chan struct{})}
	s.tokens, s.stop = enginemodel.AnswerTokens(rec.Request.Prompt, rec.Request.MaxTokens)
	return s
}

// Next implements engine.Stream.
func (s *stream) Next(ctx context.Context) (engine.Frame, error) {
	if s.err != nil {
		return engine.Frame{}, s.err
	}
	f, err := s.next(ctx)
	switch {
	case err != nil:
		s.err = err
	case f.Finish != "":
		s.err = io.EOF
	}
	if s.err != nil {
		s.forget()
	}
	return f, err
}

func (s *stream) next(ctx context.Context) (engine.Frame, error) {
	position := s.rec.Request.ResumeFrom + s.sent
	ends := s.b.Ending != Complete && s.sent >= s.b.AfterTokens
	if ends {
		return s.ending(ctx)
	}
	if s.rec.Request.PrefillOnly || position >= s.tokens {
		return s.terminal(position), nil
	}
	if err := s.wait(ctx, s.pause()); err != nil {
		if errors.Is(err, errCancelled) {
			return engine.Frame{Attempt: s.rec.Request.Attempt, Position: position, Finish: engine.Cancelled}, nil
		}
		return engine.Frame{}, err
	}
	s.sent++
	s.engine.set(func() { s.rec.Tokens++ })
	text := enginemodel.TokenText(enginemodel.Seed(s.rec.Request.Prompt), position)
	return engine.Frame{Attempt: s.rec.Request.Attempt, Position: position, Tokens: 1, Text: text}, nil
}

func (s *stream) pause() time.Duration {
	if s.sent == 0 {
		return s.engine.opts.FirstTokenDelay
	}
	return s.engine.opts.TokenInterval
}

func (s *stream) terminal(position int) engine.Frame {
	s.engine.set(func() { s.rec.Completed = true })
	f := engine.Frame{Attempt: s.rec.Request.Attempt, Position: position, Finish: engine.Length}
	switch {
	case s.rec.Request.PrefillOnly:
		f.Finish = engine.Prefilled
		f.KV = s.export()
	case s.stop:
		f.Finish = engine.Stop
	}
	return f
}

// export names the prompt's cache. Its digest is a function of the prompt alone.
func (s *stream) export() *engine.KVRef {
	return &engine.KVRef{
		Handle:      s.rec.Request.Attempt,
		Incarnation: s.life.book.Incarnation,
		Tokens:      s.rec.Request.PromptTokens,
		Digest:      strconv.FormatUint(uint64(enginemodel.Seed(s.rec.Request.Prompt)), 16),
	}
}

func (s *stream) ending(ctx context.Context) (engine.Frame, error) {
	switch s.b.Ending {
	case OtherAttempt:
		return engine.Frame{}, failed(failure.AnswerMismatch, failure.Unknown)
	case Aborted:
		return engine.Frame{Attempt: s.rec.Request.Attempt, Finish: engine.Failed, Error: "given up"}, nil
	case Stalled:
		return engine.Frame{}, s.until(ctx, nil, nil)
	default:
		return engine.Frame{}, failed(failure.AnswerTruncated, failure.Unknown)
	}
}

// wait lets time pass and then, if the engine is frozen, waits for Thaw.
func (s *stream) wait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	if err := s.until(ctx, timer.C, nil); err != nil {
		return err
	}
	s.engine.mu.Lock()
	frozen := s.engine.frozen
	s.engine.mu.Unlock()
	if frozen == nil {
		return nil
	}
	return s.until(ctx, nil, frozen)
}

func (s *stream) until(ctx context.Context, timer <-chan time.Time, thawed <-chan struct{}) error {
	select {
	case <-s.life.ended:
		return failed(failure.AnswerTruncated, failure.Unknown)
	case <-s.cut:
		return failed(failure.AnswerTruncated, failure.Unknown)
	case <-s.cancelled:
		return errCancelled
	default:
	}
	select {
	case <-timer:
		return nil
	case <-thawed:
		return nil
	case <-s.life.ended:
		return failed(failure.AnswerTruncated, failure.Unknown)
	case <-s.cut:
		return failed(failure.AnswerTruncated, failure.Unknown)
	case <-s.cancelled:
		return errCancelled
	case <-ctx.Done():
		return failed(contextReason(ctx), failure.Unknown)
	}
}

// errCancelled marks the end of a cancelled attempt inside this package.
var errCancelled = failed(failure.CallerGone, failure.Unknown)

// end cancels the attempt.
func (s *stream) end() {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	if s.rec.Completed || s.rec.Cancelled {
		return
	}
	s.rec.Cancelled = true
	close(s.cancelled)
}

func (s *stream) forget() {
	s.engine.set(func() {
		if s.engine.streams[s.rec.Request.Attempt] == s {
			delete(s.engine.streams, s.rec.Request.Attempt)
		}
	})
}

// Close implements engine.Stream.
func (s *stream) Close() error {
	if s.err == nil {
		s.end()
	}
	s.forget()
	return nil
}
