package admission

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/failure"
)

// fakeFleet simulates a fleet: a number of slots that each process cost at a fixed rate.
type fakeFleet struct {
	mu    sync.Mutex
	slots int
	busy  int
	rate  float64
	err   error
}

func (p *fakeFleet) serviceTime(w *Work) time.Duration {
	cfg := DefaultConfig()
	return seconds(w.cost(&cfg) / p.rate)
}

func (p *fakeFleet) predict(_ time.Duration, w *Work) (Prediction, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Prediction{Ready: p.busy < p.slots, ServiceTime: p.serviceTime(w), Plan: p.busy}, p.err
}

func (p *fakeFleet) commit(time.Duration, *Work, any) { p.add(1) }

func (p *fakeFleet) add(n int) { p.change(func() { p.busy += n }) }

func (p *fakeFleet) change(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
}

func newController(p *fakeFleet) *Controller {
	start := time.Now()
	now := func() time.Duration { return time.Since(start) }
	cfg := DefaultConfig()
	cfg.InitialRate = p.rate * float64(max(1, p.slots))
	return NewController(cfg, NewLimits(DefaultLimits(), unlimited), p.predict, p.commit, now)
}

func TestWithdrawnRequestReturnsAtOnce(t *testing.T) {
	tests := []struct {
		name string
		do   func(c *Controller, p *fakeFleet, cancel func())
		want failure.Reason
		at   time.Duration
	}{
		{"latest start passes", func(*Controller, *fakeFleet, func()) {}, failure.DeadlineUnreachable, 1900 * time.Millisecond},
		{"caller disconnects", func(_ *Controller, _ *fakeFleet, cancel func()) { cancel() }, failure.CallerGone, time.Second},
		{"VM stops", func(c *Controller, _ *fakeFleet, _ func()) { c.Stop() }, failure.Stopping, time.Second},
		{"no endpoint left", func(c *Controller, p *fakeFleet, _ func()) {
			p.change(func() { p.err = refusal(failure.NoEndpoint, 0, "") })
			c.Reevaluate()
		}, failure.NoEndpoint, time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &fakeFleet{rate: 1000}
				c := newController(p)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				time.AfterFunc(time.Second, func() { test.do(c, p, cancel) })
				start := time.Now()
				w := work("a", 0, 100)
				w.Deadline = 2 * time.Second
				_, err := c.Admit(ctx, w)
				equal(t, "", test.want, failure.ReasonOf(err))
				if got := time.Since(start); got != test.at {
					t.Errorf("returned after %v, want %v", got, test.at)
				}
				if c.Waiting() != 0 {
					t.Error("the request is still in its queue")
				}
			})
		})
	}
}

// TestGrantRacingWithDisconnect checks that a grant made while the caller disconnects is returned,
// so that every committed request is released.
func TestGrantRacingWithDisconnect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakeFleet{rate: 1000}
		c := newController(p)
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		for range 50 {
			group.Go(func() {
				if g, err := c.Admit(ctx, work("a", 0, 10)); err == nil {
					p.add(-1)
					g.Release()
				}
			})
		}
		synctest.Wait()
		p.change(func() { p.slots = 20 })
		go cancel()
		c.Reevaluate()
		group.Wait()
		if p.busy != 0 {
			t.Errorf("%d commits were never released", p.busy)
		}
	})
}

// loadRun offers load to a fleet with or without admission.
type loadRun struct {
	admit func(ctx context.Context, w Work) (release func(), err error)
	p     *fakeFleet
}

// goodput offers factor times the capacity of the fleet. It returns the cost completed within the
// deadline as a fraction of the capacity, and the fraction of interactive requests that completed
// in time.
func (l *loadRun) goodput(t *testing.T, factor float64) (cost, short float64) {
	const duration = 40 * time.Second
	random := rand.New(rand.NewPCG(7, 7))
	capacity := l.p.rate * float64(l.p.slots)
	start := time.Now()
	var mu sync.Mutex
	var group sync.WaitGroup
	costInTime, interactive, interactiveInTime := 0.0, 0.0, 0.0
	for time.Since(start) < duration {
		w := Work{Organisation: "a", Priority: engine.Interactive, PromptTokens: 100, OutputTokens: 25}
		if random.IntN(3) == 0 {
			w = Work{Organisation: "b", Priority: engine.Standard, PromptTokens: 4000, OutputTokens: 100}
		}
		const meanCost = (2.0*200 + 4400) / 3
		w.Deadline = time.Since(start) + 3*time.Second
		group.Go(func() {
			release, err := l.admit(t.Context(), w)
			if err == nil {
				time.Sleep(l.p.serviceTime(&w))
				l.p.add(-1)
				release()
			}
			mu.Lock()
			defer mu.Unlock()
			cfg := DefaultConfig()
			inTime := err == nil && time.Since(start) <= w.Deadline
			if w.Priority == engine.Interactive {
				interactive++
				if inTime {
					interactiveInTime++
				}
			}
			if inTime {
				costInTime += w.cost(&cfg)
			}
		})
		time.Sleep(seconds(random.ExpFloat64() * meanCost / (capacity * factor)))
	}
	group.Wait()
	return costInTime / (capacity * duration.Seconds()), interactiveInTime / interactive
}

// withoutAdmission serves requests in order of arrival, as a baseline for admission.
func withoutAdmission(p *fakeFleet) *loadRun {
	slots := make(chan struct{}, p.slots)
	admit := func(context.Context, Work) (func(), error) {
		slots <- struct{}{}
		p.add(1)
		return func() { <-slots }, nil
	}
	return &loadRun{admit: admit, p: p}
}

func withAdmission(p *fakeFleet) *loadRun {
	c := newController(p)
	admit := func(ctx context.Context, w Work) (func(), error) {
		g, err := c.Admit(ctx, w)
		if err != nil {
			return nil, err
		}
		return g.Release, nil
	}
	return &loadRun{admit: admit, p: p}
}

// TestOverload checks that goodput does not collapse under overload. It also checks that goodput
// collapses without admission, which shows that the load is an overload.
func TestOverload(t *testing.T) {
	for _, factor := range []float64{0.8, 1.5, 3} {
		synctest.Test(t, func(t *testing.T) {
			cost, short := withAdmission(&fakeFleet{slots: 16, rate: 4000}).goodput(t, factor)
			plainCost, plainShort := withoutAdmission(&fakeFleet{slots: 16, rate: 4000}).goodput(t, factor)
			t.Logf("load %.1f: goodput %.3f of capacity, %.3f of interactive requests in time; without admission %.3f, %.3f",
				factor, cost, short, plainCost, plainShort)
			if cost < min(factor, 1)*0.9 || short < 0.99 {
				t.Errorf("load %.1f: goodput %.3f of capacity, %.3f of interactive requests in time", factor, cost, short)
			}
			if factor > 1 && plainCost > 0.5 {
				t.Errorf("load %.1f: goodput without admission is %.3f; the load is not an overload", factor, plainCost)
			}
		})
	}
}
