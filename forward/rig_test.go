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

// twoEngines returns fakes that answer a token every 20 ms, and a router to them.
func twoEngines() (a, b *fakeengine.Engine, router fakeforward.Router) {
	opts := fakeengine.Options{FirstToken: 50 * time.Millisecond, TokenGap: 20 * time.Millisecond}
	opts.Incarnation = "a1"
	a = fakeengine.New(opts)
	opts.Incarnation = "b1"
	b = fakeengine.New(opts)
	return a, b, fakeforward.Router{Targets: []forward.Target{
		{Name: "a", Pool: "p", Engine: a},
		{Name: "b", Pool: "p", Engine: b},
	}}
}

// always scripts a fake engine.
func always(b fakeengine.Behaviour) func(engine.GenerateRequest) fakeengine.Behaviour {
	return func(engine.GenerateRequest) fakeengine.Behaviour { return b }
}

// verdict is a failure without its words.
type verdict struct {
	Reason failure.Reason
	Ran    failure.Outcome
}

func verdictOf(t *testing.T, err error) verdict {
	t.Helper()
	if err == nil {
		return verdict{}
	}
	var f *failure.Request
	if !errors.As(err, &f) {
		t.Fatalf("got %T (%v), want *failure.Request", err, err)
	}
	return verdict{f.Code, f.Ran}
}

// settled fails the test unless each observer was told once of its attempt's end.
func settled(t *testing.T, l *fakeforward.ObserverCounter) {
	t.Helper()
	given, open, twice := l.Counts()
	if given == 0 || open != 0 || twice != 0 {
		t.Errorf("of %d observers %d were not told of the end, %d twice", given, open, twice)
	}
}
