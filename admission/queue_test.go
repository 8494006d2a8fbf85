package admission

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/failure"
)

// equal fails the test if got differs from want.
func equal(t *testing.T, what string, want, got any) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("%s (-want +got):\n%s", what, diff)
	}
}

func unlimited(string) OrganisationLimit { return OrganisationLimit{} }

func newQueue(change func(*Config), limits func(string) OrganisationLimit) *Queue {
	cfg := DefaultConfig()
	if change != nil {
		change(&cfg)
	}
	return NewQueue(cfg, NewLimits(DefaultLimits(), limits))
}

func work(organisation string, class engine.Priority, prompt int) Work {
	return Work{Organisation: organisation, Priority: class, PromptTokens: prompt}
}

// outcome returns the reason of a refusal, or "queued".
func outcome(err error) string {
	if err != nil {
		return string(failure.ReasonOf(err))
	}
	return "queued"
}

func TestOrder(t *testing.T) {
	tests := []struct {
		name   string
		offers []Work
		want   []int
	}{
		{"short before long of the same organisation", []Work{work("a", 0, 8000), work("a", 0, 100)}, []int{1, 0}},
		{"short before long of another", []Work{work("a", 0, 8000), work("b", 0, 100)}, []int{1, 0}},
		{"equal in order of arrival", []Work{work("a", 1, 100), work("a", 1, 100)}, []int{0, 1}},
		{"higher class before lower", []Work{work("a", 1, 1000), work("a", 0, 1000)}, []int{1, 0}},
		{"organisations alternate", []Work{work("a", 1, 100), work("a", 1, 100), work("b", 1, 101)}, []int{0, 2, 1}},
		{"heavier organisation goes first", []Work{work("a", 1, 100), {Organisation: "b", Priority: 1, PromptTokens: 150, Weight: 2}}, []int{1, 0}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			q := newQueue(nil, unlimited)
			index := make(map[*Item]int)
			for i, w := range test.offers {
				it, _, err := q.Offer(0, w, 0)
				if err != nil {
					t.Fatal(err)
				}
				index[it] = i
			}
			var got []int
			for q.Len() > 0 {
				head := q.Head()
				got = append(got, index[head])
				q.Send(0, head)
			}
			equal(t, "", test.want, got)
		})
	}
}

// TestSharesFollowWeights keeps three flows backlogged and compares the cost that each is served.
func TestSharesFollowWeights(t *testing.T) {
	q := newQueue(func(c *Config) { c.MaxWait = time.Hour }, unlimited)
	random := rand.New(rand.NewPCG(1, 1))
	weights := map[string]float64{"a": 1, "b": 2, "c": 5}
	got := make(map[string]float64)
	for i := range 4000 {
		now := time.Duration(i) * time.Millisecond
		for name, weight := range weights {
			for q.byOrg[name] < 5 {
				w := work(name, 1, 1+random.IntN(200))
				w.Weight = weight
				if _, _, err := q.Offer(now, w, 0); err != nil {
					t.Fatal(err)
				}
			}
		}
		head := q.Head()
		got[head.Work.Organisation] += head.cost
		q.Send(now, head)
	}
	total := got["a"] + got["b"] + got["c"]
	for name, weight := range weights {
		if share := got[name] / total; share < weight/8*0.9 || share > weight/8*1.1 {
			t.Errorf("%s was served a share of %.3f, want about %.3f", name, share, weight/8)
		}
	}
}

// TestLongRequestIsNotStarved offers a continuous sequence of short requests after a long one.
func TestLongRequestIsNotStarved(t *testing.T) {
	q := newQueue(func(c *Config) { c.MaxWait = time.Hour }, unlimited)
	long, _, _ := q.Offer(0, work("a", 0, 8000), 0)
	for i := 1; i < 20_000; i++ {
		now := time.Duration(i) * time.Millisecond
		if _, _, err := q.Offer(now, work("a", 0, 10), 0); err != nil {
			t.Fatal(err)
		}
		head := q.Head()
		q.Send(now, head)
		if head == long {
			if now < 7*time.Second || now > 9*time.Second {
				t.Errorf("sent after %v, want about 8s (1 ms for each token)", now)
			}
			return
		}
	}
	t.Error("the long request was never sent")
}

func TestRefusals(t *testing.T) {
	late := work("a", 0, 1000)
	late.Deadline = 100 * time.Second
	small := func(c *Config) { c.MaxQueue = 2; c.MaxPerOrganisation = 2; c.InitialRate = 1000 }
	tests := []struct {
		name   string
		before []Work
		w      Work
		// service is the predicted service time of w, which is offered at 99 seconds.
		service time.Duration
		want    string
		after   time.Duration
	}{
		{"in time", nil, late, time.Second, "queued", 0},
		{"service too long", nil, late, 1100 * time.Millisecond, "deadline-unreachable", time.Second},
		{"backlog too long", []Work{work("a", 0, 900), work("b", 0, 5000)}, late, 0, "deadline-unreachable", time.Second},
		{"others' backlog counts by weight", []Work{work("b", 2, 9000)}, late, 500 * time.Millisecond, "queued", 0},
		{"organisation's queue full", []Work{work("a", 0, 1), work("a", 0, 1)}, work("a", 0, 1), 0, "queue-full", time.Second},
		{"queue full", []Work{work("b", 0, 1), work("c", 0, 1)}, work("a", 0, 1), 0, "queue-full", time.Second},
		{"lower class displaced", []Work{work("b", 1, 1), work("c", 2, 1)}, work("a", 0, 1), 0, "queued", 0},
		{"over its rate", []Work{work("limited", 0, 31_000)}, work("limited", 0, 2000), 0, "organisation-limit", 10 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			limits := func(name string) OrganisationLimit {
				if name == "limited" {
					return OrganisationLimit{TokensPerSecond: 100}
				}
				return OrganisationLimit{}
			}
			q := newQueue(small, limits)
			for _, w := range test.before {
				if _, _, err := q.Offer(99*time.Second, w, 0); err != nil {
					t.Fatal(err)
				}
			}
			_, displaced, err := q.Offer(99*time.Second, test.w, test.service)
			equal(t, "", test.want, outcome(err))
			if displaced != nil && (displaced.Work.Organisation != "c" || displaced.waiting()) {
				t.Errorf("displaced the wrong request: %+v", displaced.Work)
			}
			var refusal *failure.Request
			if errors.As(err, &refusal) && (refusal.Ran != failure.NotRun || refusal.RetryAfter < test.after) {
				t.Errorf("ran %s, retry after %v, want not-run and at least %v", refusal.Ran, refusal.RetryAfter, test.after)
			}
			if q.Len() > 2 {
				t.Errorf("%d requests wait, want at most 2", q.Len())
			}
		})
	}
}

// TestDispatch queues a request with a varying prediction ahead of two requests that are always ready,
// and checks which of them leave the queue at a given time.
func TestDispatch(t *testing.T) {
	first := work("a", 0, 100)
	first.Deadline = 4 * time.Second
	other := work("b", 1, 10_000)
	tests := []struct {
		name       string
		now        time.Duration
		prediction Prediction
		err        error
		want       []string
		waiting    int
	}{
		{"overtaken", 0, Prediction{}, nil, []string{"b queued", "b queued"}, 1},
		{"overtaken, could queue", 0, Prediction{Queueable: true}, nil, []string{"b queued", "b queued"}, 1},
		{"ready", 0, Prediction{Ready: true}, nil, []string{"a queued", "b queued", "b queued"}, 0},
		{"overdue, could queue", 2 * time.Second, Prediction{Queueable: true}, nil, []string{"a queued", "b queued", "b queued"}, 0},
		{"overdue, blocks the others", 2 * time.Second, Prediction{}, nil, nil, 3},
		{"deadline can no longer be met", 2 * time.Second, Prediction{Ready: true, ServiceTime: 3 * time.Second}, nil, []string{"a deadline-unreachable", "b queued", "b queued"}, 0},
		{"no endpoint", 0, Prediction{}, refusal(failure.NoEndpoint, 0, ""), []string{"a no-endpoint", "b queued", "b queued"}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			q := newQueue(nil, unlimited)
			for _, w := range []Work{first, other, other} {
				if _, _, err := q.Offer(0, w, 0); err != nil {
					t.Fatal(err)
				}
			}
			predict := func(_ time.Duration, w *Work) (Prediction, error) {
				if w.Organisation == "a" {
					return test.prediction, test.err
				}
				return Prediction{Ready: true}, nil
			}
			var got []string
			q.Dispatch(test.now, predict, func(it *Item, _ Prediction, err error) {
				got = append(got, it.Work.Organisation+" "+outcome(err))
			})
			equal(t, "", test.want, got)
			if q.Len() != test.waiting {
				t.Errorf("%d requests wait, want %d", q.Len(), test.waiting)
			}
		})
	}
}

func TestConcurrencyLimitSkipsFlow(t *testing.T) {
	q := newQueue(nil, func(name string) OrganisationLimit {
		if name == "a" {
			return OrganisationLimit{Concurrent: 1}
		}
		return OrganisationLimit{}
	})
	var got []string
	for _, name := range []string{"a", "a", "b"} {
		if _, _, err := q.Offer(0, work(name, 0, 10), 0); err != nil {
			t.Fatal(err)
		}
	}
	for head := q.Head(); head != nil; head = q.Head() {
		got = append(got, head.Work.Organisation)
		q.Send(0, head)
	}
	q.limits.Done("a")
	got = append(got, "done", q.Head().Work.Organisation)
	equal(t, "", []string{"a", "b", "done", "a"}, got)
}

// TestLimitsOverNodes checks the documented error bound of Limits: the cost that all nodes admit
// together, however the callers of an organisation are spread.
func TestLimitsOverNodes(t *testing.T) {
	const nodes, limit, length = 8, 10_000.0, 60
	cfg := DefaultLimits()
	for name, pick := range map[string]func(i int) int{
		"even":     func(i int) int { return i % nodes },
		"one node": func(int) int { return 0 },
		"two":      func(i int) int { return i % 2 },
	} {
		all := make([]*Limits, nodes)
		for i := range all {
			all[i] = NewLimits(cfg, func(string) OrganisationLimit { return OrganisationLimit{TokensPerSecond: limit} })
			all[i].SetNodes(0, nodes)
		}
		total := 0.0
		for i := range length * 100 {
			w := work("a", 1, 500)
			if all[pick(i)].charge(time.Duration(i)*10*time.Millisecond, &w, 500) == nil {
				total += 500
			}
		}
		share := limit * cfg.Slack / nodes
		bound := cfg.Slack*limit*length + nodes*max(cfg.MinBurst, cfg.Burst.Seconds()*share)
		least := share * length
		if total > bound || total < least {
			t.Errorf("%s: admitted %.0f, want %.0f to %.0f", name, total, least, bound)
		}
	}
}

// TestEachRequestHasOneOutcome performs random operations and checks that each queued request is
// sent, cancelled, displaced or still waiting.
func TestEachRequestHasOneOutcome(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 4))
		q := newQueue(func(c *Config) { c.MaxQueue = 20; c.MaxPerOrganisation = 8 }, unlimited)
		waiting := make(map[*Item]bool)
		outcomes := make(map[string]int)
		for i := range 3000 {
			now := time.Duration(i) * time.Millisecond
			switch random.IntN(5) {
			case 0:
				if head := q.Head(); head != nil {
					if !waiting[head] {
						t.Fatalf("seed %d: the head is not a waiting request", seed)
					}
					delete(waiting, head)
					q.Send(now, head)
					outcomes["sent"]++
				}
			case 1:
				for it := range waiting {
					delete(waiting, it)
					if !q.Cancel(now, it) || q.Cancel(now, it) {
						t.Fatalf("seed %d: Cancel returned the wrong result", seed)
					}
					outcomes["cancelled"]++
					break
				}
			default:
				w := work(fmt.Sprint(random.IntN(5)), engine.Priority(random.IntN(3)), random.IntN(3000))
				it, displaced, err := q.Offer(now, w, 0)
				if displaced != nil {
					delete(waiting, displaced)
					outcomes["displaced"]++
				}
				if err == nil {
					waiting[it] = true
				}
				outcomes[outcome(err)]++
			}
			if q.Len() != len(waiting) || q.Len() > 20 || len(q.flows) > 20*idleFlowsPerSlot+1 {
				t.Fatalf("seed %d: %d requests wait, want %d; %d flows", seed, q.Len(), len(waiting), len(q.flows))
			}
		}
		if outcomes["sent"]+outcomes["cancelled"]+outcomes["displaced"]+len(waiting) != outcomes["queued"] || outcomes["displaced"] == 0 {
			t.Errorf("seed %d: outcomes %v, %d requests wait", seed, outcomes, len(waiting))
		}
	}
}

// BenchmarkOrganisations measures the heap per organisation with limits, and the time to offer and
// send one request while n organisations wait.
func BenchmarkOrganisations(b *testing.B) {
	for _, n := range []int{1, 100, 500} {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		q := newQueue(func(c *Config) { c.MaxWait = time.Hour }, func(string) OrganisationLimit {
			return OrganisationLimit{TokensPerSecond: 1e12, Concurrent: 1e9}
		})
		names := make([]string, n)
		for i := range names {
			names[i] = fmt.Sprint("organisation-", i)
			if _, _, err := q.Offer(0, work(names[i], 1, 10), 0); err != nil {
				b.Fatal(err)
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if _, _, err := q.Offer(0, work(names[i%n], 1, 10), 0); err != nil {
					b.Fatal(err)
				}
				q.Send(0, q.Head())
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "heap-B/organisation")
		})
	}
}
