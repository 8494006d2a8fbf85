// Package history checks what happened in runs with failures, afterwards: that
// claims are linearizable, that a call ran at most once, that what was called
// not run did not run, and that each caller got its own answer.
package history

import (
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
)

// Op is what a VM does with the claim of one key.
type Op string

// The operations.
const (
	Begin   Op = "begin"
	Finish  Op = "finish"
	Release Op = "release"
)

// ClaimInput is one operation. Value is the answer that a Finish keeps.
type ClaimInput struct {
	Op    Op
	Value string
}

// ClaimOutput is what a Begin gave. All empty means that the key was taken.
type ClaimOutput struct {
	Claimed bool
	// Stored is the answer given to a repeat.
	Stored string
	// Unavailable is set when the claim could not be recorded.
	Unavailable bool
}

// ClaimHistory records the operations on one key. It is safe for concurrent use.
type ClaimHistory struct {
	mu    sync.Mutex
	start time.Time
	ops   []porcupine.Operation
	held  int
}

// NewClaimHistory returns an empty history.
func NewClaimHistory() *ClaimHistory { return &ClaimHistory{start: time.Now()} }

// Run carries out and records one operation of a client.
func (c *ClaimHistory) Run(client int, in ClaimInput, op func() ClaimOutput) {
	call := time.Since(c.start).Nanoseconds()
	out := op()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ops = append(c.ops, porcupine.Operation{
		ClientId: client, Input: in, Call: call, Output: out, Return: time.Since(c.start).Nanoseconds(),
	})
	if out.Claimed {
		c.held++
	}
}

// ClaimedCount is the number of Begins that got the claim.
func (c *ClaimHistory) ClaimedCount() int { return c.held }

// Linearizable checks the history against the sequential specification:
// between two releases one Begin gets the claim, and a finished call's answer
// is given to every repeat.
func (c *ClaimHistory) Linearizable() bool {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{claimState{phase: free}} },
		Step: func(state, input, output any) []any {
			return step(state.(claimState), input.(ClaimInput), output.(ClaimOutput))
		},
	}
	return porcupine.CheckOperations(model.ToModel(), c.ops)
}

// phase is how far the key's call has come. Finish and Release may return while
// their write is still under way, which finishing and releasing stand for.
type phase string

const (
	free      phase = "free"
	held      phase = "held"
	finishing phase = "finishing"
	releasing phase = "releasing"
	answered  phase = "answered"
)

type claimState struct {
	phase phase
	value string
}

func step(s claimState, in ClaimInput, out ClaimOutput) []any {
	switch in.Op {
	case Finish:
		return only(s.phase == held, claimState{finishing, in.Value})
	case Release:
		return only(s.phase == held, claimState{phase: releasing})
	default:
		return stepBegin(s, out)
	}
}

func stepBegin(s claimState, out ClaimOutput) []any {
	switch {
	case out.Claimed:
		return only(s.phase == free || s.phase == releasing, claimState{phase: held})
	case out.Stored != "":
		known := s.phase == finishing || s.phase == answered
		return only(known && s.value == out.Stored, claimState{answered, s.value})
	case out.Unavailable && s.phase == free:
		// The write may have taken effect; then it is released later.
		return []any{s, claimState{phase: releasing}}
	case out.Unavailable:
		return []any{s}
	default:
		return only(s.phase != free && s.phase != answered, s)
	}
}

func only(ok bool, s claimState) []any {
	if !ok {
		return nil
	}
	return []any{s}
}
