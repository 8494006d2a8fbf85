// Package enginemodel is a deterministic timing model of one model engine:
// continuous batching with a prefill and a decode cost, a prefix cache in
// limited memory, priorities, KV transfer, and orders during which
// the engine is unavailable.
//
// The model has no goroutines and no clock. The caller passes the time to each call, as a
// duration since an arbitrary fixed start, and it must never decrease. The same calls
// always produce the same events. An Engine is not safe for concurrent use. Package
// standin/engine runs one in real time behind HTTP; the policy simulations run many of
// them in virtual time.
package enginemodel

import (
	"time"

	"github.com/springweir/springweir/engine"
)

// Params are the costs of one engine.
type Params struct {
	// PrefillRate is the prefill throughput, in tokens per second.
	PrefillRate float64
	// StepBase is the base duration of a step in which at least one sequence decodes.
	StepBase time.Duration
	// StepPerSequence is added to a step for each decoding sequence.
	StepPerSequence time.Duration
	// StepPerContext is added to a step for each token of decoding context, in nanoseconds.
	StepPerContext float64
	// MaxBatch is the maximum number of sequences that run concurrently.
	MaxBatch int
	// KVTokens is the cache memory, in tokens.
	KVTokens int
	// BlockTokens is the number of prompt tokens that one prefix hash covers.
	BlockTokens int
	// PrefillChunk is the maximum number of prompt tokens per step while no sequence decodes.
	PrefillChunk int
	// MixedChunk and DecodeChunk are the maximum while sequences decode: DecodeChunk in
	// a decode engine, MixedChunk in any other.
	MixedChunk  int
	DecodeChunk int
	// KVBytesPerToken, KVBytesPerSecond and KVLatency determine the time to transfer a cache.
	KVBytesPerToken  int
	KVBytesPerSecond float64
	KVLatency        time.Duration
	// KVHold is how long an exported cache is retained for its import.
	KVHold time.Duration
	// RoleChange, LoadModel and LoadAdapter are the typical durations of orders.
	RoleChange  time.Duration
	LoadModel   time.Duration
	LoadAdapter time.Duration
	// RecordCache enables TakeCacheChanges.
	RecordCache bool
}

// DefaultParams returns the costs of an engine of eight accelerators with a
// model of about 70 billion parameters.
func DefaultParams() Params {
	return Params{
		PrefillRate:      8000,
		StepBase:         18 * time.Millisecond,
		StepPerSequence:  150 * time.Microsecond,
		StepPerContext:   40,
		MaxBatch:         64,
		KVTokens:         400_000,
		BlockTokens:      16,
		PrefillChunk:     2048,
		MixedChunk:       512,
		DecodeChunk:      128,
		KVBytesPerToken:  320 << 10,
		KVBytesPerSecond: 20e9,
		KVLatency:        5 * time.Millisecond,
		KVHold:           10 * time.Second,
		RoleChange:       6 * time.Second,
		LoadModel:        20 * time.Second,
		LoadAdapter:      2 * time.Second,
	}
}

// TransferTime returns the time to transfer the cache of a number of tokens between engines.
func (p *Params) TransferTime(tokens int) time.Duration {
	bytes := float64(tokens) * float64(p.KVBytesPerToken)
	return p.KVLatency + seconds(bytes/p.KVBytesPerSecond)
}

// maxPrefillTokens returns the maximum number of prompt tokens per step.
func (p *Params) maxPrefillTokens(role engine.Role, decoding int) int {
	switch {
	case decoding == 0:
		return p.PrefillChunk
	case role == engine.Decode:
		return p.DecodeChunk
	default:
		return p.MixedChunk
	}
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
