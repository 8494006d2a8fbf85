// Package history checks the recorded histories of tests with fault injection: claims
// are linearizable, a call ran at most once, a request reported as not run did not
// run, and each caller received the response to its own request.
package history

import (
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
)

// Op is an operation of a VM on the claim of one key.
type Op string

// The operations.
const (
	Begin   Op = "begin"
	Finish  Op = "finish"
	Release Op = "release"
)

// ClaimInput is one operation. Value is the response that a Finish stores.
type ClaimInput struct {
	Op    Op
	Value string
}

// ClaimOutput is the result of a Begin. The zero value means that the claim is held by
// another call.
type ClaimOutput struct {
	Claimed bool
	// Stored is the stored response that a retry received.
	Stored string
	// Unavailable is set if the claim could not be recorded.
	Unavailable bool
}

// ClaimHistory records the operations on one key. It is safe for concurrent use.
type ClaimHistory struct {
	mu      sync.Mutex
	start   time.Time
	ops     []porcupine.Operation
	claimed int
}

// NewClaimHistory returns an empty history.
func NewClaimHistory() *ClaimHistory { return &ClaimHistory{start: time.Now()} }

// Run executes and records one operation of a client.
func (c *ClaimHistory) Run(client int, in ClaimInput, op func() ClaimOutput) {
	call := time.Since(c.start).Nanoseconds()
	out := op()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ops = append(c.ops, porcupine.Operation{
		ClientId: client, Input: in, Call: call, Output: out, Return: time.Since(c.start).Nanoseconds(),
	})
	if out.Claimed {
		c.claimed++
	}
}

// ClaimedCount returns the number of Begins that acquired the claim.
func (c *ClaimHistory) ClaimedCount() int { return c.claimed }

// Linearizable checks the history against the sequential specification:
// between two releases one Begin acquires the claim, and every retry of a finished
// call receives its stored response.
func (c *ClaimHistory) Linearizable() bool {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{claimState{phase: free}} },
		Step: func(state, input, output any) []any {
			return step(state.(claimState), input.(ClaimInput), output.(ClaimOutput))
		},
	}
	return porcupine.CheckOperations(model.ToModel(), c.ops)
}

// phase is the state of the key's call. Finish and Release may return before their
// write takes effect; finishing and releasing represent that interval.
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
		return onlyIf(s.phase == held, claimState{finishing, in.Value})
	case Release:
		return onlyIf(s.phase == held, claimState{phase: releasing})
	default:
		return stepBegin(s, out)
	}
}

func stepBegin(s claimState, out ClaimOutput) []any {
	switch {
	case out.Claimed:
		return onlyIf(s.phase == free || s.phase == releasing, claimState{phase: held})
	case out.Stored != "":
		finished := s.phase == finishing || s.phase == answered
		return onlyIf(finished && s.value == out.Stored, claimState{answered, s.value})
	case out.Unavailable && s.phase == free:
		// The write may have taken effect; then it is released later.
		return []any{s, claimState{phase: releasing}}
	case out.Unavailable:
		return []any{s}
	default:
		return onlyIf(s.phase != free && s.phase != answered, s)
	}
}

func onlyIf(ok bool, s claimState) []any {
	if !ok {
		return nil
	}
	return []any{s}
}
