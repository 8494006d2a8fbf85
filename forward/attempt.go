package forward

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/internal/watchdog"
)

// attempt is one stream from one target.
type attempt struct {
	g        *generation
	id       string
	target   Target
	observer Observer
	start    time.Time
	// version of the weights: first the requested one, then the one that the stream reports.
	version string
	tokens  int
	cached  int
}

// run sends the request and forwards the verified frames. It returns nil once the terminal frame
// has arrived and the response is complete.
func (a *attempt) run(ctx context.Context, kv *engine.KVRef) *failure.Request {
	ctx, watch := watchdog.New(ctx, a.g.f.cfg.FirstFrameTimeout)
	defer watch.Stop()
	stream, err := a.open(ctx, a.g.request(ctx, a.id, a.version, kv))
	if err != nil {
		failed := watchdog.Explain(ctx, asRequest(err, failure.Unknown))
		if failed.Ran != failure.NotRun {
			a.cancel()
		}
		return failed
	}
	failed := a.readFrames(ctx, stream, watch)
	// Closing drops the connection, so that late frames cannot reach another request.
	_ = stream.Close()
	if failed != nil {
		a.cancel()
	}
	return failed
}

func (a *attempt) open(ctx context.Context, req engine.GenerateRequest) (engine.Stream, error) {
	if a.target.Peer != nil {
		return a.target.Peer.Generate(ctx, a.g.w, req)
	}
	return a.target.Engine.Generate(ctx, req)
}

// cancel tells the engine to drop the attempt, which may still be running there.
func (a *attempt) cancel() {
	if a.target.Engine != nil {
		a.g.f.cancelAttempt(a.target.Engine, a.id)
	}
}

func (a *attempt) readFrames(ctx context.Context, stream engine.Stream, watch *watchdog.Watchdog) *failure.Request {
	for {
		frame, err := stream.Next(ctx)
		if err != nil {
			return watchdog.Explain(ctx, streamFailure(err))
		}
		watch.Reset(a.g.f.cfg.MaxFrameGap)
		if v, ok := stream.(versioned); ok {
			a.version = v.Version()
		}
		done, failed := a.handleFrame(frame)
		if done || failed != nil {
			return failed
		}
	}
}

// versioned is a stream that reports the version of the weights behind it. The entry of another
// zone provides it, since it chooses the engine itself.
type versioned interface{ Version() string }

// streamFailure returns the failure of a stream that ended before its terminal frame.
func streamFailure(err error) *failure.Request {
	if errors.Is(err, io.EOF) {
		return &failure.Request{
			Code: failure.AnswerTruncated, Ran: failure.Unknown,
			Message: "the stream ended without its terminal frame", Cause: err,
		}
	}
	failed := *asRequest(err, failure.Unknown)
	// The stream had started, so its error cannot prove that the request did not run.
	failed.Ran = failed.Ran.Combine(failure.Unknown)
	return &failed
}

// handleFrame verifies one frame and emits its text. done means that the response is complete.
func (a *attempt) handleFrame(frame engine.Frame) (done bool, failed *failure.Request) {
	if failed := a.check(frame); failed != nil {
		return false, failed
	}
	if failed := a.emit(frame); failed != nil {
		return false, failed
	}
	switch frame.Finish {
	case "":
		return false, nil
	case engine.Stop, engine.Length:
		a.cached = frame.CachedTokens
		a.g.summary = Summary{Finish: frame.Finish, Tokens: a.g.tokens, CachedTokens: frame.CachedTokens}
		return true, nil
	default:
		return false, &failure.Request{
			Code: failure.EndpointFailed, Ran: failure.Unknown,
			Message: "the engine ended the stream early: " + string(frame.Finish) + " " + frame.Error,
		}
	}
}

// check rejects a frame of another attempt and one that is not contiguous with the text so far.
func (a *attempt) check(frame engine.Frame) *failure.Request {
	mismatch := func(msg string) *failure.Request {
		return &failure.Request{Code: failure.AnswerMismatch, Ran: failure.Unknown, Message: msg}
	}
	if frame.Attempt != a.id {
		return mismatch("a frame belongs to another attempt")
	}
	if frame.Tokens < 0 || (frame.Tokens == 0 && frame.Text != "") {
		return mismatch("a frame's text has no position")
	}
	if frame.Tokens > 0 && frame.Position != a.g.tokens {
		return mismatch("a frame does not follow the one before")
	}
	return nil
}

func (a *attempt) emit(frame engine.Frame) *failure.Request {
	if frame.Tokens == 0 {
		return nil
	}
	if a.tokens == 0 && a.observer != nil {
		a.observer.FirstToken(clock.Since(a.start))
	}
	delta := Delta{Position: frame.Position, Tokens: frame.Tokens, Text: frame.Text, Version: a.version}
	if err := a.g.sink.Emit(delta); err != nil {
		return &failure.Request{Code: failure.CallerGone, Ran: failure.Unknown, Message: "the caller went away", Cause: err}
	}
	a.tokens += frame.Tokens
	a.g.tokens += frame.Tokens
	a.g.version = a.version
	a.g.emitted.WriteString(frame.Text)
	return nil
}

func (a *attempt) result(ctx context.Context, failed *failure.Request) Result {
	return Result{
		Err:          failed,
		Abandoned:    failed != nil && (ctx.Err() != nil || failed.Code == failure.CallerGone),
		Elapsed:      clock.Since(a.start),
		Tokens:       a.tokens,
		CachedTokens: a.cached,
	}
}
