// Package wire defines the JSON bodies and headers of the HTTP API for callers: the common chat
// completions API with springweir's extensions. Entries also use it to forward work to entries of
// other zones.
package wire

import "github.com/springweir/springweir/failure"

// Headers of requests and responses.
const (
	// HeaderDeadline is the time allowed for the complete response, in milliseconds.
	HeaderDeadline = "Springweir-Deadline-Ms"
	// HeaderPriority is the priority class: interactive, standard or batch.
	HeaderPriority = "Springweir-Priority"
	// HeaderIdempotencyKey identifies a call that must be executed at most once.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderReason is set on every error response that springweir itself generates, to
	// distinguish it from an error response of a service.
	HeaderReason = "Springweir-Reason"
	// HeaderRequest is the request ID assigned by springweir, set on every response.
	HeaderRequest = "Springweir-Request-Id"
	// HeaderReplayed is set on the stored response of a call that was executed earlier.
	HeaderReplayed = "Springweir-Replayed"
	// HeaderHop is set between VMs; a request with it is not forwarded to yet another VM. On requests
	// with HeaderEndpoint it is the name of the sending VM.
	HeaderHop = "Springweir-Hop"
	// HeaderAttempt associates a request between VMs and its response with one attempt.
	HeaderAttempt = "Springweir-Attempt"
	// HeaderEndpoint and HeaderIncarnation name the endpoint that the receiving VM passes a request
	// to, and its incarnation.
	HeaderEndpoint    = "Springweir-Endpoint"
	HeaderIncarnation = "Springweir-Incarnation"
	// HeaderUntilClose marks a response whose body ended with the connection to the endpoint.
	HeaderUntilClose = "Springweir-Until-Close"
	// HeaderImpaired marks a response of a VM that does not reach several endpoints.
	HeaderImpaired = "Springweir-Impaired"
	// HeaderConnect marks a request that asks the receiving VM only to open a connection to the
	// endpoint or, with the value ConnectNotNow, whether it would pass on a request, or with
	// ConnectAndAsk, whether the endpoint responds.
	HeaderConnect = "Springweir-Connect"
	// HeaderPrefix starts the name of every header of springweir itself.
	HeaderPrefix = "Springweir-"
)

// Paths of the API.
const (
	PathChat        = "/v1/chat/completions"
	PathCompletions = "/v1/completions"
	PathModels      = "/v1/models"
	// PathServices is the prefix of plain service calls: /s/<service>/<path>.
	PathServices = "/s/"
	// PathConnect is the path of requests with HeaderConnect.
	PathConnect = "/springweir/connect"
)

// Values of HeaderConnect. With any other a connection is opened, as a VM of an earlier build does with these.
const (
	ConnectNotNow = "not-now"
	ConnectAndAsk = "and-ask"
)

// DoneEvent is the data of the event that ends a complete stream. A failed stream never has it.
const DoneEvent = "[DONE]"

// Message is one turn of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Request is the body of a chat or a completion.
type Request struct {
	Model string `json:"model"`
	// Messages is set for chats, Prompt for completions.
	Messages  []Message `json:"messages,omitempty"`
	Prompt    string    `json:"prompt,omitempty"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream,omitempty"`
	// Hop is set between entries only.
	Hop *Hop `json:"springweir,omitempty"`
}

// Hop holds the fields that an entry adds to a completion that it forwards to another zone.
type Hop struct {
	// PromptTokens is the first entry's estimate.
	PromptTokens int `json:"prompt_tokens"`
	// Version is the required version of the weights; empty means any.
	Version string `json:"version,omitempty"`
	// ResumeFrom is the number of tokens already sent to the caller; Emitted is their text.
	ResumeFrom int    `json:"resume_from,omitempty"`
	Emitted    string `json:"emitted,omitempty"`
}

// Choice is one generated text, or a chunk of it. Responses of springweir have exactly one.
type Choice struct {
	Index int `json:"index"`
	// Message is set for buffered chats, Delta for chunks of chats, Text for completions.
	Message      *Message `json:"message,omitempty"`
	Delta        *Delta   `json:"delta,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Delta is a chunk of a chat response.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// Usage reports the token counts of a request.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
	// CachedTokens is the number of prompt tokens served from an engine's prefix cache.
	CachedTokens int `json:"cached_tokens"`
}

// Object is the type of a response body.
type Object string

// The object types of the API.
const (
	ObjectChat       Object = "chat.completion"
	ObjectChatChunk  Object = "chat.completion.chunk"
	ObjectCompletion Object = "text_completion"
	ObjectModel      Object = "model"
	ObjectList       Object = "list"
)

// Response is a complete response, or the body of one event of a stream.
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

// HopChunk gives the position of an event in the complete response of a stream between entries.
type HopChunk struct {
	Attempt  string `json:"attempt"`
	Position int    `json:"position"`
	Tokens   int    `json:"tokens"`
	// Version is the version of the weights that generated the chunk.
	Version string `json:"version,omitempty"`
}

// Model is an element of the list of models.
type Model struct {
	ID      string `json:"id"`
	Object  Object `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// ModelList is the response to PathModels.
type ModelList struct {
	Object Object  `json:"object"`
	Data   []Model `json:"data"`
}

// ErrorBody is the body of every error response that springweir itself generates.
type ErrorBody struct {
	Error Error `json:"error"`
}

// Error describes a failure to the caller.
type Error struct {
	Reason  failure.Reason  `json:"reason"`
	Outcome failure.Outcome `json:"outcome"`
	Message string          `json:"message"`
	// RetryAfterMillis is the delay before a retry; zero means that a retry is of no use.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
}
