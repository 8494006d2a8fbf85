// Package caller is the HTTP front towards callers: chat and text completions,
// whole or streamed, the list of models, and plain service calls. It checks and
// bounds what comes in, hands it to package forward, and tells callers
// truthfully how it ended.
package caller

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/forward"
)

// Organisation is a caller's organisation.
type Organisation struct {
	Name string
	// Priority is given to requests that name none.
	Priority engine.Priority
	// PriorityLimit is the most urgent class that requests may name.
	PriorityLimit engine.Priority
	// Models (base models) and Services are what it may use; nil means all.
	Models, Services []string
}

// mayUse tells whether name is among those allowed.
func mayUse(allowed []string, name string) bool {
	return allowed == nil || slices.Contains(allowed, name)
}

// Organisations finds an organisation by API key. Implementations are safe for
// concurrent use.
type Organisations interface {
	Organisation(apiKey string) (Organisation, bool)
}

// Limits bound the requests for one model or service. Zero fields take those of
// Config.
type Limits struct {
	// MaxBody bounds a request's body, in bytes.
	MaxBody int64
	// Deadlines are given to requests that name none, by priority class.
	Deadlines map[engine.Priority]time.Duration
	// MaxDeadline bounds what a caller may name.
	MaxDeadline time.Duration
}

// Model is a model as callers name it.
type Model struct {
	// Name is what callers ask for.
	Name string
	// Base, Adapter and Version are what an engine must have loaded.
	Base, Adapter, Version string
	// MaxTokens bounds an answer, and is the default where the caller names none.
	MaxTokens int
	// MaxPrompt bounds a prompt, in tokens as estimated; zero is no bound.
	MaxPrompt int
	Limits    Limits
}

// Service is a plain service.
type Service struct {
	Name string
	// Repeatable tells whether its calls may run more than once.
	Repeatable bool
	Limits     Limits
}

// Catalogue lists what can be called. Implementations are safe for concurrent use.
type Catalogue interface {
	Models() []Model
	Model(name string) (Model, bool)
	Service(name string) (Service, bool)
}

// Estimator counts the tokens of a text, roughly.
type Estimator interface {
	Tokens(text string) int
}

// Hasher gives the hashes of a prompt's leading blocks. The namespace names the
// model, adapter and version: caches of different ones share no blocks.
type Hasher interface {
	Hashes(namespace, prompt string) []uint64
}

// Forwarder carries work to endpoints; *forward.Forwarder is one.
type Forwarder interface {
	Generate(ctx context.Context, w *forward.Work, sink forward.Sink) (forward.Summary, error)
	Call(ctx context.Context, w *forward.Work) (*forward.Response, error)
}

// Config is what a Handler works with. The interfaces are required, except
// that a nil Estimator counts four bytes a token and a nil Hasher gives none.
type Config struct {
	Organisations Organisations
	Catalogue     Catalogue
	Forwarder     Forwarder
	Estimator     Estimator
	Hasher        Hasher
	// Limits are the widest: they hold until it is known what is called.
	Limits
	// WriteTimeout bounds how long one piece may take to reach a slow caller.
	WriteTimeout time.Duration
}

// Defaults of Config.
const (
	DefaultMaxBody      = 4 << 20
	DefaultMaxDeadline  = 30 * time.Minute
	DefaultWriteTimeout = 20 * time.Second
	// DefaultMaxTokens bounds answers of models that name no bound.
	DefaultMaxTokens = 1024
)

// DefaultDeadlines are used where the settings name none.
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
	if c.WriteTimeout == 0 {
		c.WriteTimeout = DefaultWriteTimeout
	}
	return c
}

// limits fills in what is not set for a model or service.
func (c Config) limits(l Limits) Limits {
	l.MaxBody = cmp.Or(l.MaxBody, c.MaxBody)
	l.MaxDeadline = cmp.Or(l.MaxDeadline, c.MaxDeadline)
	if l.Deadlines == nil {
		l.Deadlines = c.Deadlines
	}
	return l
}

// timeLeft is the time for a request that asks for so much; zero asks for none.
func (l Limits) timeLeft(asked time.Duration, p engine.Priority) time.Duration {
	return min(cmp.Or(asked, l.Deadlines[p]), l.MaxDeadline)
}

// bytesPerToken is a usual mean for European languages.
const bytesPerToken = 4

// ByteEstimator counts a token for every four bytes.
type ByteEstimator struct{}

// Tokens implements Estimator.
func (ByteEstimator) Tokens(text string) int { return (len(text) + bytesPerToken - 1) / bytesPerToken }
