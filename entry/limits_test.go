package entry

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/caller"
	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/settings"
)

// TestLimitsComeFromTheTree checks that models, services and organisations get the limits
// that the tree sets for them in the entry's zone.
func TestLimitsComeFromTheTree(t *testing.T) {
	tree, err := settings.ParseTree("test", []byte(`[defaults]
deadline-interactive = 20s
[zone "a"]
[zone "b"]
[pool "language"]
models = chat
body-limit = 2KiB
output-limit = 99
prompt-limit = 500
deadline-limit = 2h
[pool "language" zone "a"]
body-limit = 1KiB
[model "chat"]
version = 1
adapters = brabant@2
[service "slots"]
body-limit = 5KiB
deadline-batch = 3m
[organisation "kliko"]
key-hashes = `+keyHash()+`
priority-limit = standard
models = chat
services = slots
`))
	if err != nil {
		t.Fatal(err)
	}
	v := newConfigView(1, tree, "a")
	deadlines := func(batch time.Duration) map[engine.Priority]time.Duration {
		return map[engine.Priority]time.Duration{engine.Interactive: 20 * time.Second, engine.Standard: 2 * time.Minute, engine.Batch: batch}
	}
	language := caller.Limits{MaxBody: 1 << 10, MaxDeadline: 2 * time.Hour, Deadlines: deadlines(10 * time.Minute)}
	slots := caller.Limits{MaxBody: 5 << 10, MaxDeadline: 30 * time.Minute, Deadlines: deadlines(3 * time.Minute)}
	models := map[string]caller.Model{
		"chat":         {Name: "chat", Base: "chat", Version: "1", MaxTokens: 99, MaxPrompt: 500, Limits: language},
		"chat:brabant": {Name: "chat:brabant", Base: "chat", Adapter: "brabant", Version: "2", MaxTokens: 99, MaxPrompt: 500, Limits: language},
	}
	if diff := cmp.Diff(models, v.models); diff != "" {
		t.Errorf("models (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(caller.Service{Name: "slots", Limits: slots}, v.services["slots"]); diff != "" {
		t.Errorf("service (-want +got):\n%s", diff)
	}
	cat := &catalogue{}
	cat.current.Store(v)
	kliko := caller.Organisation{
		Name: "kliko", Priority: engine.Standard, PriorityLimit: engine.Standard,
		Models: []string{"chat"}, Services: []string{"slots"},
	}
	got, _ := cat.Organisation(apiKey)
	if diff := cmp.Diff(kliko, got); diff != "" {
		t.Errorf("organisation (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(caller.Limits{MaxBody: 5 << 10, MaxDeadline: 2 * time.Hour}, v.maxLimits); diff != "" {
		t.Errorf("maximum limits (-want +got):\n%s", diff)
	}
}
