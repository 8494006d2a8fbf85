// Package simulate compares routing and role-planning policies in virtual time.
// It runs a deterministic event loop with fixed seeds over the timing model of
// the stand-in engine. It doesn't simulate a complete cluster: network latency,
// the platform and processes are not modelled.
package simulate

import (
	"time"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/prefix"
)

// Request is one caller's request in a trace. It is immutable.
type Request struct {
	// ID is unique in its trace and at least 1.
	ID int
	// At is the arrival time and Zone the availability zone of arrival. Draw is
	// a random number that selects the entry VM within the zone.
	At   time.Duration
	Zone int
	Draw uint32
	// Organisation is the index of the organisation.
	Organisation int
	Priority     engine.Priority
	// Prompt and Output are token counts. MaxTokens is the output limit that
	// the caller sets.
	Prompt, Output, MaxTokens int
	// Deadline is the caller's timeout, counted from At.
	Deadline time.Duration
	// Hashes are the chained hashes of the prompt's complete blocks.
	Hashes []uint64
}

// blockTokens is the number of prompt tokens covered by one hash.
const blockTokens = prefix.BlockTokens

// requestKind describes one class of requests in a trace.
type requestKind struct {
	priority engine.Priority
	deadline time.Duration
	// promptLow and promptHigh bound the prompt's tokens after the shared
	// prefix, outputLow and outputHigh the output tokens. Lengths are uniformly
	// distributed, bounds included.
	promptLow, promptHigh int
	outputLow, outputHigh int
	// shared is the length in tokens of the prefix common to the organisation.
	shared int
	// followUps is the fraction of requests that extend an earlier prompt of
	// the organisation.
	followUps float64
}
