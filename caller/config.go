// Package caller implements the HTTP API for callers: chat and text completions, buffered or
// streamed, the list of models, and plain service calls. It validates requests, applies their
// limits, passes them to package forward, and reports the outcome to the caller, including whether
// a failed request may have been executed.
package caller

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/forward"
	"github.com/springweir/springweir/memory"
)

// Organisation is a caller's organisation.
type Organisation struct {
	Name string
	// Priority is the default for requests that specify none.
	Priority engine.Priority
	// PriorityLimit is the most urgent class that requests may specify.
	PriorityLimit engine.Priority
	// Models (base models) and Services list what the organisation may use; nil allows all.
	Models, Services []string
}

// isAllowed reports whether name is in allowed; a nil list allows every name.
func isAllowed(allowed []string, name string) bool {
	return allowed == nil || slices.Contains(allowed, name)
}

// Organisations looks up an organisation by API key. Implementations are safe for concurrent use.
type Organisations interface {
	Organisation(apiKey string) (Organisation, bool)
}

// Limits bound the requests for one model or service. Zero fields default to those of Config.
type Limits struct {
	// MaxBody is the maximum size of a request body, in bytes.
	MaxBody int64
	// Deadlines are the defaults for requests without a deadline, by priority class.
	Deadlines map[engine.Priority]time.Duration
	// MaxDeadline caps the deadline that a caller may request.
	MaxDeadline time.Duration
}

// Model maps a model name of the API to the weights that serve it.
type Model struct {
	// Name is the model name in requests.
	Name string
	// Base, Adapter and Version identify the weights that an engine must have loaded.
	Base, Adapter, Version string
	// MaxTokens caps the length of a response and is the default for requests without max_tokens.
	MaxTokens int
	// MaxPrompt is the maximum prompt length, in estimated tokens; zero means no limit.
	MaxPrompt int
	Limits    Limits
}

// Service is a plain HTTP service, as opposed to a model.
type Service struct {
	Name string
	// Repeatable reports whether a call may be executed more than once.
	Repeatable bool
	Limits     Limits
}

// Catalogue lists the available models and services. Implementations are safe for concurrent use.
type Catalogue interface {
	Models() []Model
	Model(name string) (Model, bool)
	Service(name string) (Service, bool)
}

// Estimator estimates the number of tokens in a text.
type Estimator interface {
	Tokens(text string) int
}

// Hasher returns the hashes of a prompt's leading blocks. The namespace identifies the model,
// adapter and version: their KV caches share no blocks.
type Hasher interface {
	Hashes(namespace, prompt string) []uint64
}

// Forwarder sends work to endpoints. *forward.Forwarder implements it.
type Forwarder interface {
	Generate(ctx context.Context, w *forward.Work, sink forward.Sink) (forward.Summary, error)
	Call(ctx context.Context, w *forward.Work) (*forward.Response, error)
}

// Config configures a Handler. The interfaces are required, except that a nil Estimator counts four
// bytes per token and a nil Hasher yields no hashes.
type Config struct {
	Organisations Organisations
	Catalogue     Catalogue
	Forwarder     Forwarder
	Estimator     Estimator
	Hasher        Hasher
	// Limits apply until the model or service of a request is known, and default the limits of each
	// model and service.
	Limits
	// Memory bounds the requests that are held at a time (default: that of a VM of memory.DefaultVM).
	Memory *memory.Budget
	// WriteTimeout bounds the write of one chunk to a slow caller.
	WriteTimeout time.Duration
}

// Defaults of Config.
const (
	DefaultMaxBody      = 4 << 20
	DefaultMaxDeadline  = 30 * time.Minute
	DefaultWriteTimeout = 20 * time.Second
	// DefaultMaxTokens applies to models without a MaxTokens.
	DefaultMaxTokens = 1024
)

// DefaultDeadlines returns the deadlines by priority class that apply if Config has none.
func DefaultDeadlines() map[engine.Priority]time.Duration {
	return map[engine.Priority]time.Duration{
		engine.Interactive: 30 * time.Second,
		engine.Standard:    2 * time.Minute,
		engine.Batch:       10 * time.Minute,
	}
}

func (c Config) withDefaults() Config {
	if c.Estimator == nil {
		c.Estimator = ByteEstimator{}
	}
	if c.MaxBody == 0 {
		c.MaxBody = DefaultMaxBody
	}
	if c.Deadlines == nil {
		c.Deadlines = DefaultDeadlines()
	}
	if c.MaxDeadline == 0 {
		c.MaxDeadline = DefaultMaxDeadline
	}
	if c.Memory == nil {
		c.Memory = memory.NewBudget(memory.LimitsOf(memory.DefaultVM).Requests, nil)
	}
	if c.WriteTimeout == 0 {
		c.WriteTimeout = DefaultWriteTimeout
	}
	return c
}

// limits fills the unset fields of a model's or service's limits from c.
func (c Config) limits(l Limits) Limits {
	l.MaxBody = cmp.Or(l.MaxBody, c.MaxBody)
	l.MaxDeadline = cmp.Or(l.MaxDeadline, c.MaxDeadline)
	if l.Deadlines == nil {
		l.Deadlines = c.Deadlines
	}
	return l
}

// timeout returns the time allowed for a request, capped at MaxDeadline. A requested time of zero
// selects the default of the priority class.
func (l Limits) timeout(requested time.Duration, p engine.Priority) time.Duration {
	return min(cmp.Or(requested, l.Deadlines[p]), l.MaxDeadline)
}

// bytesPerToken is a typical average for European languages.
const bytesPerToken = 4

// ByteEstimator estimates one token for every four bytes, rounded up.
type ByteEstimator struct{}

// Tokens implements Estimator.
func (ByteEstimator) Tokens(text string) int { return (len(text) + bytesPerToken - 1) / bytesPerToken }
