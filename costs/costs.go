// Package costs defines the assumed speed of an engine, from which routing predicts waiting times
// and role planning predicts goodput.
package costs

import "time"

// Engine holds the assumed speeds of one engine.
type Engine struct {
	// PrefillRate is the prefill speed in prompt tokens per second.
	PrefillRate float64
	// StepBase is the duration of a decode step with an empty batch.
	StepBase time.Duration
	// StepPerSequence is the time that each running sequence adds to a step.
	StepPerSequence time.Duration
	// StepPerContext is the time in nanoseconds that each token of decoded context adds to a step.
	StepPerContext float64
	// MixedChunk and DecodeChunk are the numbers of prompt tokens that an engine of the role
	// processes in one step along with its decoding sequences.
	MixedChunk, DecodeChunk int
	// MaxBatch is the maximum number of sequences that run at the same time.
	MaxBatch int
	// MoveLatency and MoveRate (tokens per second) are the latency and throughput of a KV cache
	// transfer between engines.
	MoveLatency time.Duration
	MoveRate    float64
}

// Defaults returns the speeds of an engine with eight accelerators and a model of about 70 billion
// parameters. A test checks that the stand-in engine (enginemodel.DefaultParams) has the same
// timing.
func Defaults() Engine {
	return Engine{
		PrefillRate:     8000,
		StepBase:        18 * time.Millisecond,
		StepPerSequence: 150 * time.Microsecond,
		StepPerContext:  40,
		MixedChunk:      512,
		DecodeChunk:     128,
		MaxBatch:        64,
		MoveLatency:     5 * time.Millisecond,
		MoveRate:        60_000,
	}
}
