package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/internal/httponce"
)

// initialScanBytes is the initial size of a stream's read buffer, which grows up to
// MaxFrame.
const initialScanBytes = 4 << 10

// drainTimeout bounds the wait for the end of the body after the terminal frame.
const drainTimeout = 50 * time.Millisecond

// stream reads the frames of one response. Invariant: every frame returned belongs
// to this attempt and starts exactly where the previous one ended.
type stream struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	// callerDone is closed when the context passed to Generate, ctx's parent, is done.
	callerDone  <-chan struct{}
	resp        *httponce.Response
	lines       *bufio.Scanner
	attempt     string
	position    int
	idleTimeout time.Duration
	// timer ends the stream after idleTimeout; it runs only during Next.
	timer *time.Timer
	// frame is the decoding buffer, reused for every line.
	frame Frame
	// err is returned by all further calls of Next; io.EOF after the terminal frame.
	err error
}

func newStream(ctx context.Context, cancel context.CancelCauseFunc, resp *httponce.Response, req GenerateRequest, o Options) *stream {
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 0, min(initialScanBytes, o.MaxFrame)), o.MaxFrame)
	onIdle := func() { cancel(&IdleTimeoutError{Timeout: o.IdleTimeout.String()}) }
	timer := time.AfterFunc(o.IdleTimeout, onIdle)
	timer.Stop()
	return &stream{
		timer:       timer,
		ctx:         ctx,
		cancel:      cancel,
		resp:        resp,
		lines:       lines,
		attempt:     req.Attempt,
		position:    req.ResumeFrom,
		idleTimeout: o.IdleTimeout,
	}
}

// Next implements Stream. The stream ends when ctx is done.
func (s *stream) Next(ctx context.Context) (Frame, error) {
	if s.err != nil {
		return Frame{}, s.err
	}
	f, err := s.read(ctx)
	if err != nil {
		s.err = err
		// The connection may hold more invalid data, so it is not reused.
		s.cancel(err)
		s.resp.Abort()
		return Frame{}, err
	}
	if f.Finish != "" {
		s.err = io.EOF
	}
	return f, nil
}

func (s *stream) read(ctx context.Context) (Frame, error) {
	if ctx.Done() != s.callerDone {
		stop := context.AfterFunc(ctx, func() { s.cancel(context.Cause(ctx)) })
		defer stop()
	}
	s.timer.Reset(s.idleTimeout)
	defer s.timer.Stop()
	for s.lines.Scan() {
		if len(s.lines.Bytes()) > 0 {
			return s.parse(s.lines.Bytes())
		}
		s.timer.Reset(s.idleTimeout)
	}
	return Frame{}, s.endError(ctx)
}

// endError returns the error for a stream that ended without a terminal frame.
func (s *stream) endError(ctx context.Context) error {
	var idle *IdleTimeoutError
	err := s.lines.Err()
	switch {
	case errors.Is(err, bufio.ErrTooLong):
		return requestFailure(failure.EndpointFailed, failure.Unknown, "frame is too long", err)
	case errors.As(context.Cause(s.ctx), &idle):
		return requestFailure(failure.EndpointBroke, failure.Unknown, "engine fell silent", idle)
	case contextReason(ctx) != "":
		return requestFailure(contextReason(ctx), failure.Unknown, "answer was given up", ctx.Err())
	case contextReason(s.ctx) != "":
		return requestFailure(contextReason(s.ctx), failure.Unknown, "answer was given up", s.ctx.Err())
	default:
		return requestFailure(failure.AnswerTruncated, failure.Unknown, "stream ended before its answer", err)
	}
}

func (s *stream) parse(line []byte) (Frame, error) {
	s.frame = Frame{}
	if err := json.Unmarshal(line, &s.frame); err != nil {
		// The last line of a truncated stream is incomplete and does not parse.
		return Frame{}, requestFailure(failure.AnswerTruncated, failure.Unknown, "frame is not whole", err)
	}
	f := s.frame
	if f.Attempt != s.attempt {
		return Frame{}, mismatchError(fmt.Sprintf("frame is for attempt %q", f.Attempt))
	}
	if f.Tokens < 0 || (f.Tokens > 0 && f.Position != s.position) {
		return Frame{}, mismatchError(fmt.Sprintf("frame at %d, want %d", f.Position, s.position))
	}
	s.position += f.Tokens
	return f, nil
}

// Close implements Stream. The connection is reused only after a complete response
// with no data after it.
func (s *stream) Close() error {
	if errors.Is(s.err, io.EOF) {
		timer := time.AfterFunc(drainTimeout, func() { s.cancel(nil) })
		defer timer.Stop()
		s.lines.Scan()
	}
	err := s.resp.Body.Close()
	s.cancel(nil)
	return err
}
