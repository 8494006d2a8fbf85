package relay

import (
	"context"
	"errors"
	"io"

	"golang.org/x/sys/unix"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/failure"
)

// Guard watches what requests do to the endpoints that run them, and refuses those that crash
// them.
type Guard interface {
	// Check returns why a request must not be run, or nil. It is asked before each attempt.
	Check(r *Request) *failure.Request
	// Ended is called after each attempt, but for prefills that were done.
	Ended(r *Request, e *directory.Endpoint, end RunEnd)
}

// RunOutcome is how an attempt ended, as far as its endpoint is concerned.
type RunOutcome int

const (
	// RunCompleted gave a whole answer, be it a failure of the endpoint's own.
	RunCompleted RunOutcome = iota
	// RunRefused did not run.
	RunRefused
	// RunInterrupted lost its connection.
	RunInterrupted
	// RunAbandoned was given up by this side, or the endpoint fell silent. The endpoint may
	// still be at work on it.
	RunAbandoned
)

// RunEnd is the end of an attempt.
type RunEnd struct {
	Outcome RunOutcome
	// Streaming tells that the request had given events, in this attempt or before.
	Streaming bool
}

// unguarded is the Guard of a Relay that has none.
type unguarded struct{}

// Check implements Guard.
func (unguarded) Check(*Request) *failure.Request { return nil }

// Ended implements Guard.
func (unguarded) Ended(*Request, *directory.Endpoint, RunEnd) {}

// ended tells the guard how an attempt at an endpoint ended.
func (j *job) ended(ctx context.Context, e *directory.Endpoint, failed *failure.Request) {
	j.relay.cfg.Guard.Ended(j.req, e, RunEnd{Outcome: outcomeOf(ctx, failed), Streaming: j.result.Events > 0 || j.held > 0})
}

func outcomeOf(ctx context.Context, failed *failure.Request) RunOutcome {
	switch {
	case failed == nil || failed.Ran == failure.Done:
		return RunCompleted
	case failed.Ran == failure.NotRun:
		return RunRefused
	case gaveUp(ctx, failed):
		return RunAbandoned
	case connectionEnded(failed.Cause):
		return RunInterrupted
	}
	return RunAbandoned
}

// connectionEnded tells whether an error is the end of a connection from its other side.
func connectionEnded(err error) bool {
	for _, ended := range []error{io.EOF, io.ErrUnexpectedEOF, unix.ECONNRESET, unix.EPIPE} {
		if errors.Is(err, ended) {
			return true
		}
	}
	return false
}
