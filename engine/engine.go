// Package engine defines the interface to model engines: generation streams,
// KV transfer, cache events, load reports and orders.
//
// The interface is narrow so that the wire format can be replaced.
// Client speaks HTTP/JSON; package engine/fakeengine is an in-memory fake.
//
// The package builds on Linux only. The hard deadline of an order's connection
// requires TCP_USER_TIMEOUT, without which the kernel of a paused sender could
// deliver the order long after the sender's lease has expired.
package engine

import (
	"context"
	"time"

	"github.com/springweir/springweir/weightstore"
)

// Role is the kind of work that an engine accepts.
type Role string

// Engine roles. Mixed runs both prefill and decode.
const (
	Prefill Role = "prefill"
	Decode  Role = "decode"
	Mixed   Role = "mixed"
)

// Priority orders requests on an engine. Lower values are more urgent.
type Priority int

// Priority classes.
const (
	// Interactive is for short requests with a user waiting.
	Interactive Priority = 0
	// Standard is the default class.
	Standard Priority = 1
	// Batch is for requests without a latency requirement.
	Batch Priority = 2
)

// GenerateRequest is a request for one completion.
type GenerateRequest struct {
	// ID identifies the caller's request; Attempt is unique to each attempt.
	// The engine echoes Attempt in every frame.
	ID      string `json:"id"`
	Attempt string `json:"attempt"`
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	// Version is the version of the weights; empty accepts any loaded version.
	Version  string   `json:"version,omitempty"`
	Priority Priority `json:"priority"`
	// Prompt is the text; PrefixHashes are the hashes of its leading blocks,
	// each covering all blocks before it (see package prefix).
	Prompt       string   `json:"prompt"`
	PromptTokens int      `json:"prompt_tokens"`
	PrefixHashes []uint64 `json:"prefix_hashes,omitempty"`
	MaxTokens    int      `json:"max_tokens"`
	// DeadlineMillis is the time remaining, in milliseconds; zero means no deadline.
	DeadlineMillis int64 `json:"deadline_ms,omitempty"`
	// KV refers to a cache exported by another engine, to import instead of
	// prefilling; nil means that this engine prefills.
	KV *KVRef `json:"kv,omitempty"`
	// ResumeFrom is the number of tokens that the caller already received. The
	// engine continues after them. Zero starts from the beginning.
	ResumeFrom int `json:"resume_from,omitempty"`
	// Emitted is the text of those tokens, from which another engine can rebuild
	// the state.
	Emitted string `json:"emitted,omitempty"`
	// PrefillOnly stops after the prompt; the final frame carries the KVRef.
	PrefillOnly bool `json:"prefill_only,omitempty"`
}

// KVRef refers to a KV cache that an engine retains for a short time.
type KVRef struct {
	// Engine is the exporter's address (host:port).
	Engine string `json:"engine"`
	// Handle identifies the cache at the exporter; Incarnation is the exporter's.
	Handle      string `json:"handle"`
	Incarnation string `json:"incarnation"`
	Tokens      int    `json:"tokens"`
	// Digest is verified by the importer, which refuses a partial cache.
	Digest string `json:"digest"`
}

// FinishReason is why a stream ended; empty in frames before the last.
type FinishReason string

// Finish reasons.
const (
	Stop      FinishReason = "stop"
	Length    FinishReason = "length"
	Cancelled FinishReason = "cancelled"
	Prefilled FinishReason = "prefilled"
	// Failed ends a stream that the engine aborted; Frame.Error holds the cause.
	Failed FinishReason = "failed"
)

// Frame is one event of a stream.
type Frame struct {
	Attempt string `json:"attempt"`
	// Position is the index of the first token of Text in the complete
	// response, from zero (so a resumed stream starts at ResumeFrom).
	Position int    `json:"position"`
	Tokens   int    `json:"tokens"`
	Text     string `json:"text"`
	// Finish is set in the terminal frame only.
	Finish FinishReason `json:"finish,omitempty"`
	// CachedTokens is the number of prompt tokens served from cache (terminal frame).
	CachedTokens int    `json:"cached_tokens,omitempty"`
	KV           *KVRef `json:"kv,omitempty"`
	Error        string `json:"error,omitempty"`
}

// Stream delivers frames in order. Next returns io.EOF after the terminal
// frame. It fails with *failure.Request, with reason AnswerTruncated if the
// stream ended without a terminal frame. Close releases the connection; closing
// early cancels the attempt.
type Stream interface {
	Next(ctx context.Context) (Frame, error)
	Close() error
}

// Load is an engine's load report. It lags behind the engine's state by its age.
type Load struct {
	// Waiting and Running count requests; WaitingTokens counts prompt tokens
	// not yet prefilled; DecodeTokens counts context tokens of decoding requests.
	Waiting       int `json:"waiting"`
	Running       int `json:"running"`
	WaitingTokens int `json:"waiting_tokens"`
	DecodeTokens  int `json:"decode_tokens"`
	// KVUsed and KVTotal are the used and total cache memory, in tokens.
	KVUsed  int `json:"kv_used"`
	KVTotal int `json:"kv_total"`
	// AgeMillis is the age of the figures when they were sent, in milliseconds.
	AgeMillis int64 `json:"age_ms"`
	// Sequence increases by one with each report of an incarnation.
	Sequence uint64 `json:"sequence"`
	// Recent lists the IDs of the latest attempts included in the figures (bounded).
	Recent []string `json:"recent,omitempty"`
}

// State is an engine's reported state.
type State struct {
	// Incarnation changes at every start of the engine.
	Incarnation string                 `json:"incarnation"`
	Role        Role                   `json:"role"`
	Loaded      []weightstore.Artifact `json:"loaded"`
	// Streams is the number of open streams.
	Streams int `json:"streams"`
	// Leaving is set once the engine's VM has been ordered to stop.
	Leaving bool `json:"leaving"`
	// Order is the last order accepted in this incarnation, or nil.
	Order *OrderState `json:"order,omitempty"`
	Load  Load        `json:"load"`
	// HighestFence is the highest fencing token received (zero if not tracked).
	HighestFence uint64 `json:"highest_fence"`
}

// OrderKind is the operation that an order requests.
type OrderKind string

// Kinds of orders.
const (
	ChangeRole OrderKind = "change-role"
	LoadOrder  OrderKind = "load"
	Unload     OrderKind = "unload"
)

// Order requests a change of an engine's role or loaded weights. Resending the
// same ID is idempotent.
type Order struct {
	ID string `json:"id"`
	// Fence is the fencing token of the sender's lease.
	Fence uint64 `json:"fence"`
	// Incarnation is the target incarnation; any other refuses the order.
	Incarnation string                `json:"incarnation"`
	Kind        OrderKind             `json:"kind"`
	Role        Role                  `json:"role,omitempty"`
	Artifact    *weightstore.Artifact `json:"artifact,omitempty"`
}

// OrderPhase is the stage of an order's execution.
type OrderPhase string

// Phases of an order.
const (
	OrderRunning OrderPhase = "running"
	OrderDone    OrderPhase = "done"
	OrderFailed  OrderPhase = "failed"
)

// OrderState is the progress of an order.
type OrderState struct {
	ID    string     `json:"id"`
	Fence uint64     `json:"fence"`
	Phase OrderPhase `json:"phase"`
	Error string     `json:"error,omitempty"`
}

// CacheEvent reports that a prefix block was stored or evicted.
type CacheEvent struct {
	// Sequence increases by one; a jump means that events were missed.
	Sequence uint64 `json:"sequence"`
	Hash     uint64 `json:"hash"`
	// Stored is false for an eviction.
	Stored bool `json:"stored"`
}

// CacheEvents is a batch of events.
type CacheEvents struct {
	Incarnation string       `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
	// Snapshot holds all cached hashes if the requested sequence is too old.
	// Nil means no snapshot; an empty one means that nothing is cached.
	Snapshot []uint64 `json:"snapshot,omitzero"`
	// Next is the sequence to request next.
	Next uint64 `json:"next"`
}

// Engine is a connection to one engine. Implementations are safe for concurrent
// use and never retry a call. Generate fails with *failure.Request, whose Outcome
// is NotRun only if the attempt certainly did not run. Order fails with the order
// errors of this package.
type Engine interface {
	// Generate starts a response or, with ResumeFrom or KV, continues one.
	Generate(ctx context.Context, req GenerateRequest) (Stream, error)
	// Cancel ends an attempt. Cancelling an unknown attempt is not an error.
	Cancel(ctx context.Context, attempt string) error
	// State returns the engine's state with its load report.
	State(ctx context.Context) (State, error)
	// Events returns the cache events from sequence since on.
	Events(ctx context.Context, since uint64) (CacheEvents, error)
	// Order sends an order over a dedicated connection and returns once the
	// engine has accepted it. No byte is sent after deadline.
	Order(ctx context.Context, o Order, deadline time.Time) (OrderState, error)
}
