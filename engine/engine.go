// Package engine is the system's view of a model engine: generation streams,
// KV transfer, cache events, load reports and orders.
//
// The interface is narrow so that another wire format can be swapped in.
// Client speaks HTTP/JSON; package engine/fakeengine is the in-memory fake.
//
// The package builds on Linux only. The hard deadline of an order's connection
// needs TCP_USER_TIMEOUT, without which the kernel of a paused sender could
// deliver the order long after the sender's lease has ended.
package engine

import (
	"context"
	"time"

	"github.com/springweir/springweir/weightstore"
)

// Role is the kind of work that an engine takes.
type Role string

// The roles.
const (
	Prefill Role = "prefill"
	Decode  Role = "decode"
	Mixed   Role = "mixed"
)

// Priority orders work on an engine. Lower is more urgent.
type Priority int

// The priority classes.
const (
	// Interactive is a short question that somebody waits for.
	Interactive Priority = 0
	// Standard is the default.
	Standard Priority = 1
	// Batch can wait.
	Batch Priority = 2
)

// GenerateRequest asks an engine for one answer.
type GenerateRequest struct {
	// ID is the caller's request; Attempt is unique for each try. The engine
	// echoes Attempt in every frame.
	ID      string `json:"id"`
	Attempt string `json:"attempt"`
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	// Version is the version of the weights; empty takes any loaded one.
	Version  string   `json:"version,omitempty"`
	Priority Priority `json:"priority"`
	// Prompt is the text; PrefixHashes are the hashes of its leading blocks,
	// each covering all blocks before it (see package prefix).
	Prompt       string   `json:"prompt"`
	PromptTokens int      `json:"prompt_tokens"`
	PrefixHashes []uint64 `json:"prefix_hashes,omitempty"`
	MaxTokens    int      `json:"max_tokens"`
	// DeadlineMillis is the time left, in milliseconds; zero means none.
	DeadlineMillis int64 `json:"deadline_ms,omitempty"`
	// KV names a cache exported by another engine to import instead of
	// prefilling; empty means prefill here.
	KV *KVRef `json:"kv,omitempty"`
	// ResumeFrom is the number of tokens that the caller already holds. The
	// engine continues after it. Zero starts anew.
	ResumeFrom int `json:"resume_from,omitempty"`
	// Emitted are those tokens' text, so that another engine can rebuild the state.
	Emitted string `json:"emitted,omitempty"`
	// PrefillOnly stops after the prompt; the final frame carries the KVRef.
	PrefillOnly bool `json:"prefill_only,omitempty"`
}

// KVRef names a KV cache held by an engine for a short time.
type KVRef struct {
	// Engine is the exporter's address (host:port).
	Engine string `json:"engine"`
	// Handle is the exporter's name for it; Incarnation is the exporter's.
	Handle      string `json:"handle"`
	Incarnation string `json:"incarnation"`
	Tokens      int    `json:"tokens"`
	// Digest is checked by the importer: a partial cache is refused.
	Digest string `json:"digest"`
}

// FinishReason tells why a stream ended; empty in frames before the last.
type FinishReason string

// The finish reasons.
const (
	Stop      FinishReason = "stop"
	Length    FinishReason = "length"
	Cancelled FinishReason = "cancelled"
	Prefilled FinishReason = "prefilled"
	// Failed ends a stream that the engine gave up on; Frame.Error says why.
	Failed FinishReason = "failed"
)

// Frame is one piece of a stream.
type Frame struct {
	Attempt string `json:"attempt"`
	// Position is the index of the first token in Text, from zero for the
	// whole answer (so a resumed stream starts at ResumeFrom).
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
// frame. A stream that ends without one gives *failure.Request with reason
// AnswerTruncated. Close releases the connection; closing early cancels the work.
type Stream interface {
	Next(ctx context.Context) (Frame, error)
	Close() error
}

// Load is an engine's lagging load report.
type Load struct {
	// Waiting and Running are requests; WaitingTokens are prompt tokens not
	// yet prefilled; DecodeTokens are tokens of context being decoded.
	Waiting       int `json:"waiting"`
	Running       int `json:"running"`
	WaitingTokens int `json:"waiting_tokens"`
	DecodeTokens  int `json:"decode_tokens"`
	// KVUsed and KVTotal are tokens of cache memory.
	KVUsed  int `json:"kv_used"`
	KVTotal int `json:"kv_total"`
	// Age is how old the figures were when they were sent.
	AgeMillis int64 `json:"age_ms"`
	// Sequence grows by one with each report of an incarnation.
	Sequence uint64 `json:"sequence"`
	// Recent lists ids of attempts that the figures include (bounded).
	Recent []string `json:"recent,omitempty"`
}

// State is what an engine says of itself now.
type State struct {
	// Incarnation changes at every start of the engine.
	Incarnation string                 `json:"incarnation"`
	Role        Role                   `json:"role"`
	Loaded      []weightstore.Artifact `json:"loaded"`
	// Streams is the number of open streams.
	Streams int `json:"streams"`
	// Leaving is set once the engine's VM is told to stop.
	Leaving bool `json:"leaving"`
	// Order is the last order accepted in this incarnation, or nil.
	Order *OrderState `json:"order,omitempty"`
	Load  Load        `json:"load"`
	// HighestFence is the highest fencing number seen (zero when not kept).
	HighestFence uint64 `json:"highest_fence"`
}

// OrderKind is what an order asks for.
type OrderKind string

// The kinds of order.
const (
	ChangeRole OrderKind = "change-role"
	LoadOrder  OrderKind = "load"
	Unload     OrderKind = "unload"
)

// Order tells an engine to change itself. Sending the same ID again is idempotent.
type Order struct {
	ID string `json:"id"`
	// Fence is the fencing number of the sender's lease.
	Fence uint64 `json:"fence"`
	// Incarnation is the incarnation meant; another one refuses it.
	Incarnation string                `json:"incarnation"`
	Kind        OrderKind             `json:"kind"`
	Role        Role                  `json:"role,omitempty"`
	Artifact    *weightstore.Artifact `json:"artifact,omitempty"`
}

// OrderPhase is how far an order has come.
type OrderPhase string

// The phases of an order.
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

// CacheEvent tells that a prefix block was stored or evicted.
type CacheEvent struct {
	// Sequence grows by one; a jump is a gap.
	Sequence uint64 `json:"sequence"`
	Hash     uint64 `json:"hash"`
	// Stored is false for an eviction.
	Stored bool `json:"stored"`
}

// CacheEvents is a batch of events.
type CacheEvents struct {
	Incarnation string       `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
	// Snapshot holds all hashes when the asked sequence is too old. Nil means
	// that there is none; an empty one tells that nothing is cached.
	Snapshot []uint64 `json:"snapshot,omitzero"`
	// Next is the sequence to ask for next.
	Next uint64 `json:"next"`
}

// Engine talks to one engine. Implementations are safe for concurrent use and
// never repeat a call by themselves. Generate fails with *failure.Request with
// an honest Outcome; Order fails with the order errors in errors.go.
type Engine interface {
	// Generate starts (or, with ResumeFrom or KV, continues) an answer.
	Generate(ctx context.Context, req GenerateRequest) (Stream, error)
	// Cancel ends an attempt. Cancelling an unknown one is no error.
	Cancel(ctx context.Context, attempt string) error
	// State reads the engine's state and its load report.
	State(ctx context.Context) (State, error)
	// Events reads cache events from sequence since.
	Events(ctx context.Context, since uint64) (CacheEvents, error)
	// Order sends an order over a connection of its own and returns once the
	// engine has accepted it. No byte of it leaves after deadline.
	Order(ctx context.Context, o Order, deadline time.Time) (OrderState, error)
}
