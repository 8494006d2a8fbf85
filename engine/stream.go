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

// scanBuffer is the usual size of a stream's read buffer; it grows up to MaxFrame.
const scanBuffer = 4 << 10

// drainTimeout bounds the wait for the end of the body after the terminal frame.
const drainTimeout = 50 * time.Millisecond

// stream reads the frames of one answer. Its invariant: every frame returned is
// of this attempt and continues exactly where the one before it ended.
type stream struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	// given is closed when the context of Generate ends, which ends ctx too.
	given    <-chan struct{}
	resp     *httponce.Response
	lines    *bufio.Scanner
	attempt  string
	position int
	idle     time.Duration
	// timer ends the stream after idle; it runs only inside Next.
	timer *time.Timer
	// frame is where a line is decoded.
	frame Frame
	// err is what Next returns from now on; io.EOF after the terminal frame.
	err error
}

func newStream(ctx context.Context, cancel context.CancelCauseFunc, resp *httponce.Response, req GenerateRequest, o Options) *stream {
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 0, min(scanBuffer, o.MaxFrame)), o.MaxFrame)
	silent := func() { cancel(&IdleTimeoutError{Timeout: o.IdleTimeout.String()}) }
	timer := time.AfterFunc(o.IdleTimeout, silent)
	timer.Stop()
	return &stream{
		timer:    timer,
		ctx:      ctx,
		cancel:   cancel,
		resp:     resp,
		lines:    lines,
		attempt:  req.Attempt,
		position: req.ResumeFrom,
		idle:     o.IdleTimeout,
	}
}

// Next implements Stream. When ctx ends, so does the stream.
func (s *stream) Next(ctx context.Context) (Frame, error) {
	if s.err != nil {
		return Frame{}, s.err
	}
	f, err := s.read(ctx)
	if err != nil {
		s.err = err
		// A connection that broke a rule may carry more of the same: no reuse.
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
	if ctx.Done() != s.given {
		stop := context.AfterFunc(ctx, func() { s.cancel(context.Cause(ctx)) })
		defer stop()
	}
	s.timer.Reset(s.idle)
	defer s.timer.Stop()
	for s.lines.Scan() {
		if len(s.lines.Bytes()) > 0 {
			return s.parse(s.lines.Bytes())
		}
		s.timer.Reset(s.idle)
	}
	return Frame{}, s.broken(ctx)
}

// broken tells why no further frame came.
func (s *stream) broken(ctx context.Context) error {
	var silent *IdleTimeoutError
	err := s.lines.Err()
	switch {
	case errors.Is(err, bufio.ErrTooLong):
		return failed(failure.EndpointFailed, failure.Unknown, "frame is too long", err)
	case errors.As(context.Cause(s.ctx), &silent):
		return failed(failure.EndpointBroke, failure.Unknown, "engine fell silent", silent)
	case contextReason(ctx) != "":
		return failed(contextReason(ctx), failure.Unknown, "answer was given up", ctx.Err())
	case contextReason(s.ctx) != "":
		return failed(contextReason(s.ctx), failure.Unknown, "answer was given up", s.ctx.Err())
	default:
		return failed(failure.AnswerTruncated, failure.Unknown, "stream ended before its answer", err)
	}
}

func (s *stream) parse(line []byte) (Frame, error) {
	s.frame = Frame{}
	if err := json.Unmarshal(line, &s.frame); err != nil {
		// The last line of a broken stream has no end, so it does not parse.
		return Frame{}, failed(failure.AnswerTruncated, failure.Unknown, "frame is not whole", err)
	}
	f := s.frame
	if f.Attempt != s.attempt {
		return Frame{}, mismatch(fmt.Sprintf("frame is for attempt %q", f.Attempt))
	}
	if f.Tokens < 0 || (f.Tokens > 0 && f.Position != s.position) {
		return Frame{}, mismatch(fmt.Sprintf("frame at %d, want %d", f.Position, s.position))
	}
	s.position += f.Tokens
	return f, nil
}

// Close implements Stream. The connection is kept for reuse only after a whole
// answer with nothing behind it.
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
