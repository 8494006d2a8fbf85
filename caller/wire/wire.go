// Package wire holds the JSON and the headers of the HTTP interface towards
// callers: the usual chat completions interface and springweir's additions. An
// entry that passes work on to an entry of another zone speaks it as well.
package wire

import "github.com/springweir/springweir/failure"

// Headers of requests and answers.
const (
	// HeaderDeadline is the time left for the whole answer, in milliseconds.
	HeaderDeadline = "Springweir-Deadline-Ms"
	// HeaderPriority is interactive, standard or batch.
	HeaderPriority = "Springweir-Priority"
	// HeaderIdempotencyKey names a call that may not be repeated.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderReason is set on every failure that springweir itself answers
	// with, so that it differs from a failure passed on from a service.
	HeaderReason = "Springweir-Reason"
	// HeaderRequest is springweir's id of the request, set on every answer.
	HeaderRequest = "Springweir-Request-Id"
	// HeaderReplayed is set on the stored answer of a call that ran earlier.
	HeaderReplayed = "Springweir-Replayed"
	// HeaderHop is set between entries; it forbids passing the work on again.
	HeaderHop = "Springweir-Hop"
	// HeaderAttempt binds a hopped request and its answer to one attempt.
	HeaderAttempt = "Springweir-Attempt"
)

// Paths of the interface.
const (
	PathChat        = "/v1/chat/completions"
	PathCompletions = "/v1/completions"
	PathModels      = "/v1/models"
	// PathServices is the prefix of plain service calls: /s/<service>/<path>.
	PathServices = "/s/"
)

// DoneEvent is the data of the event that ends a whole stream. A stream that
// failed never carries it.
const DoneEvent = "[DONE]"

// Message is one turn of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Request is the body of a chat or a completion.
type Request struct {
	Model string `json:"model"`
	// Messages is for chats, Prompt for completions.
	Messages  []Message `json:"messages,omitempty"`
	Prompt    string    `json:"prompt,omitempty"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream,omitempty"`
	// Hop is set between entries only.
	Hop *Hop `json:"springweir,omitempty"`
}

// Hop is what an entry adds to a completion that it passes on.
type Hop struct {
	// PromptTokens is the first entry's estimate.
	PromptTokens int `json:"prompt_tokens"`
	// Version is the version of the weights wanted; empty takes any.
	Version string `json:"version,omitempty"`
	// ResumeFrom is the number of tokens that the caller already holds;
	// Emitted is their text.
	ResumeFrom int    `json:"resume_from,omitempty"`
	Emitted    string `json:"emitted,omitempty"`
}

// Choice is one answer, or a piece of it. springweir gives exactly one.
type Choice struct {
	Index int `json:"index"`
	// Message is for whole chats, Delta for pieces of chats, Text for completions.
	Message      *Message `json:"message,omitempty"`
	Delta        *Delta   `json:"delta,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Delta is a piece of a chat answer.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// Usage counts tokens.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
	// CachedTokens of the prompt came from an engine's prefix cache.
	CachedTokens int `json:"cached_tokens"`
}

// Object tells what an answer's body is.
type Object string

// The objects of the interface.
const (
	ObjectChat       Object = "chat.completion"
	ObjectChatChunk  Object = "chat.completion.chunk"
	ObjectCompletion Object = "text_completion"
	ObjectModel      Object = "model"
	ObjectList       Object = "list"
)

// Response is a whole answer, or the body of one event of a stream.
type Response struct {
	ID      string   `json:"id"`
	Object  Object   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
	// HopChunk is set between entries only.
	HopChunk *HopChunk `json:"springweir,omitempty"`
}

// HopChunk places an event of a hopped stream in the whole answer.
type HopChunk struct {
	Attempt  string `json:"attempt"`
	Position int    `json:"position"`
	Tokens   int    `json:"tokens"`
	// Version is the version of the weights that it was computed with.
	Version string `json:"version,omitempty"`
}

// Model is one line of the list of models.
type Model struct {
	ID      string `json:"id"`
	Object  Object `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// ModelList is the answer to PathModels.
type ModelList struct {
	Object Object  `json:"object"`
	Data   []Model `json:"data"`
}

// ErrorBody is the body of every failure that springweir itself answers with.
type ErrorBody struct {
	Error Error `json:"error"`
}

// Error is a failure as a caller sees it.
type Error struct {
	Reason  failure.Reason  `json:"reason"`
	Outcome failure.Outcome `json:"outcome"`
	Message string          `json:"message"`
	// RetryAfterMillis is zero when coming back makes no sense.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
}
