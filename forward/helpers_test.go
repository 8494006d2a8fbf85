package forward_test

import (
	"errors"
	"testing"
	"time"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/engine/fakeengine"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/forward"
	"github.com/springweir/springweir/forward/fakeforward"
)

const testPrompt = "may a container stand in the Dorpsstraat?"

func testWork() *forward.Work {
	return &forward.Work{ID: "r1", Model: "m", Prompt: testPrompt, PromptTokens: 10, MaxTokens: 12}
}

// twoEngines returns fakes that emit a token every 20 ms, and a router to them.
func twoEngines() (a, b *fakeengine.Engine, router fakeforward.Router) {
	opts := fakeengine.Options{FirstTokenDelay: 50 * time.Millisecond, TokenInterval: 20 * time.Millisecond}
	opts.Incarnation = "a1"
	a = fakeengine.New(opts)
	opts.Incarnation = "b1"
	b = fakeengine.New(opts)
	return a, b, fakeforward.Router{Targets: []forward.Target{
		{Name: "a", Pool: "p", Engine: a},
		{Name: "b", Pool: "p", Engine: b},
	}}
}

// behaveAlways returns a fake engine's script that gives every request the same behaviour.
func behaveAlways(b fakeengine.Behaviour) func(engine.GenerateRequest) fakeengine.Behaviour {
	return func(engine.GenerateRequest) fakeengine.Behaviour { return b }
}

// errorKind is the comparable part of a failure.
type errorKind struct {
	Reason failure.Reason
	Ran    failure.Outcome
}

func errorKindOf(t *testing.T, err error) errorKind {
	t.Helper()
	if err == nil {
		return errorKind{}
	}
	var f *failure.Request
	if !errors.As(err, &f) {
		t.Fatalf("got %T (%v), want *failure.Request", err, err)
	}
	return errorKind{f.Code, f.Ran}
}

// checkObservers fails the test unless each observer received Finished exactly once.
func checkObservers(t *testing.T, c *fakeforward.ObserverCounter) {
	t.Helper()
	created, unfinished, repeated := c.Counts()
	if created == 0 || unfinished != 0 || repeated != 0 {
		t.Errorf("%d observers, %d without Finished, %d repeated calls of Finished", created, unfinished, repeated)
	}
}
