package tuning

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/admission"
	"github.com/springweir/springweir/caller"
	"github.com/springweir/springweir/claim"
	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/forward"
	"github.com/springweir/springweir/health"
	"github.com/springweir/springweir/retry"
	"github.com/springweir/springweir/roles"
	"github.com/springweir/springweir/routing"
	"github.com/springweir/springweir/settings"
)

const text = `[zone "a"]
[pool "p"]
[pool "q"]
eject-silent = 9
retry-burst = 9
queue-organisation-limit = 9
share-batch = 9
spill-age-limit = 9s
change-budget = 6/m
decode-step-sequence = 9us
[service "s"]
[organisation "o"]
concurrency = 9
token-rate = 60/m
`

func parse(t *testing.T) *settings.Tree {
	tree, err := settings.ParseTree("tree", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return tree
}

// TestBuiltInValuesMatchDefaults checks that the built-in values of the tree, which the reference
// page documents, equal the defaults of the packages that use them.
func TestBuiltInValuesMatchDefaults(t *testing.T) {
	tree := parse(t)
	pool, _ := tree.Pool("p")
	service, _ := tree.Service("s")
	s := pool.ForZone("a")
	rows := []struct {
		name      string
		want, got any
	}{
		{"health", health.DefaultConfig(), Health(s.Ejection)},
		{"health of services", health.DefaultConfig(), Health(service.ForZone("a").Ejection)},
		{"retry budget", retry.DefaultLimits, RetryLimits(s.Retry)},
		{"backoff", retry.DefaultBackoff, Backoff(s.Retry)},
		{"attempts", forward.DefaultMaxAttempts, s.Retry.Attempts},
		{"first token", forward.DefaultFirstFrameTimeout, s.FirstTokenTimeout},
		{"between tokens", forward.DefaultMaxFrameGap, s.BetweenTokensTimeout},
		{"admission", admission.DefaultConfig(), Admission(s.Queues)},
		{"spill", routing.DefaultSpill(), Spill(s.Spill)},
		{"deadlines", caller.DefaultDeadlines(), Deadlines(s.Deadlines)},
		{"deadline limit", time.Duration(caller.DefaultMaxDeadline), s.Deadlines.Limit},
		{"body", int64(caller.DefaultMaxBody), s.BodyLimit},
		{"output", caller.DefaultMaxTokens, s.OutputLimit},
		{"claims", claim.DefaultRetention, service.ForZone("a").ClaimRetention},
		{"roles", roles.Defaults(roles.Weights{Goodput: 1, Change: 1}), Roles(s.Roles)},
	}
	for _, r := range rows {
		if diff := cmp.Diff(r.want, r.got); diff != "" {
			t.Errorf("%s: (-package +settings)\n%s", r.name, diff)
		}
	}
}

func TestValuesAreApplied(t *testing.T) {
	tree := parse(t)
	pool, _ := tree.Pool("q")
	organisation, _ := tree.Organisation("o")
	s := pool.ForZone("a")
	rows := []struct {
		name      string
		want, got any
	}{
		{"silent", 9, Health(s.Ejection).ConsecutiveSilent},
		{"burst", 9.0, RetryLimits(s.Retry).Burst},
		{"organisation's queue", 9, Admission(s.Queues).MaxPerOrganisation},
		{"batch share", 9.0, Admission(s.Queues).ClassWeights[engine.Batch]},
		{"spill age", 9 * time.Second, Spill(s.Spill).MaxAge},
		{"budget every", 10 * time.Second, Roles(s.Roles).BudgetInterval},
		{"step", 9 * time.Microsecond, Roles(s.Roles).Costs.StepPerSequence},
		{"organisation", admission.OrganisationLimit{TokensPerSecond: 1, Concurrent: 9}, Organisation(organisation)},
		{"priority", []engine.Priority{engine.Interactive, engine.Standard, engine.Batch}, []engine.Priority{Priority("interactive"), Priority("standard"), Priority("batch")}},
	}
	for _, r := range rows {
		if diff := cmp.Diff(r.want, r.got); diff != "" {
			t.Errorf("%s: (-want +got)\n%s", r.name, diff)
		}
	}
}
