// Package fakecaller provides in-memory fakes of the interfaces that package caller depends on,
// with two organisations, two models and two services.
package fakecaller

import (
	"context"
	"net/http"
	"time"

	"github.com/springweir/springweir/caller"
	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/forward"
)

// The organisations, API keys, models and services of Tree.
const (
	Organisation = "kliko"
	APIKey       = "key-1"
	// Guest may use only Model and Routes, and may not send interactive requests.
	Guest     = "guest"
	GuestKey  = "key-2"
	Model     = "assistant"
	BaseModel = "base-7b"
	// Small and Routes have Limits.
	Small = "small"
	// Calls of Confirmations may be executed at most once; calls of Routes are repeatable.
	Confirmations = "slots"
	Routes        = "routes"
)

// MaxTokens is the maximum response length of the models, in tokens.
const MaxTokens = 8

// SmallPrompt is the maximum prompt length of Small, in tokens.
const SmallPrompt = 15

// Limits returns the limits of Small and Routes.
func Limits() caller.Limits {
	return caller.Limits{
		MaxBody:     100,
		Deadlines:   map[engine.Priority]time.Duration{engine.Interactive: time.Second},
		MaxDeadline: 2 * time.Second,
	}
}

// Tree implements caller.Catalogue and caller.Organisations with fixed contents.
type Tree struct{}

// Organisation implements caller.Organisations.
func (Tree) Organisation(apiKey string) (caller.Organisation, bool) {
	if apiKey == GuestKey {
		return caller.Organisation{
			Name: Guest, PriorityLimit: engine.Standard, Models: []string{BaseModel}, Services: []string{Routes},
		}, true
	}
	return caller.Organisation{Name: Organisation, Priority: engine.Interactive}, apiKey == APIKey
}

// Models implements caller.Catalogue.
func (t Tree) Models() []caller.Model {
	m, _ := t.Model(Model)
	return []caller.Model{m}
}

// Model implements caller.Catalogue.
func (Tree) Model(name string) (caller.Model, bool) {
	m := caller.Model{Name: name, Base: BaseModel, Adapter: "permits", MaxTokens: MaxTokens}
	if name == Small {
		m.Base = "base-1b"
		m.Limits = Limits()
		m.MaxPrompt = SmallPrompt
	}
	return m, name == Model || name == Small
}

// Service implements caller.Catalogue.
func (Tree) Service(name string) (caller.Service, bool) {
	s := caller.Service{Name: name, Repeatable: name == Routes}
	if name == Routes {
		s.Limits = Limits()
	}
	return s, name == Confirmations || name == Routes
}

// Forwarder is a caller.Forwarder that records the last work and returns an empty result.
type Forwarder struct{ Work *forward.Work }

// Generate implements caller.Forwarder.
func (f *Forwarder) Generate(_ context.Context, w *forward.Work, _ forward.Sink) (forward.Summary, error) {
	f.Work = w
	return forward.Summary{Finish: engine.Stop}, nil
}

// Call implements caller.Forwarder.
func (f *Forwarder) Call(_ context.Context, w *forward.Work) (*forward.Response, error) {
	f.Work = w
	return &forward.Response{Status: http.StatusOK}, nil
}
