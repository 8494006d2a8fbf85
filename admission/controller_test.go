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

// plant is a stand-in for a fleet: slots that each work off cost at a rate.
type plant struct {
	mu    sync.Mutex
	slots int
	busy  int
	rate  float64
	err   error
}

func (p *plant) service(w *Work) time.Duration {
	cfg := DefaultConfig()
	return seconds(w.cost(&cfg) / p.rate)
}

func (p *plant) predict(_ time.Duration, w *Work) (Prediction, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Prediction{Ready: p.busy < p.slots, ServiceTime: p.service(w), Plan: p.busy}, p.err
}

func (p *plant) commit(time.Duration, *Work, any) { p.add(1) }

func (p *plant) add(n int) { p.change(func() { p.busy += n }) }

func (p *plant) change(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
}

func newController(p *plant) *Controller {
	start := time.Now()
	now := func() time.Duration { return time.Since(start) }
	cfg := DefaultConfig()
	cfg.InitialRate = p.rate * float64(max(1, p.slots))
	return NewController(cfg, NewLimits(DefaultLimits(), unlimited), p.predict, p.commit, now)
}

func TestGivenUpIsAnsweredAtOnce(t *testing.T) {
	tests := []struct {
		name string
		do   func(c *Controller, p *plant, cancel func())
		want failure.Reason
		at   time.Duration
	}{
		{"latest start passes", func(*Controller, *plant, func()) {}, failure.DeadlineUnreachable, 1900 * time.Millisecond},
		{"caller goes", func(_ *Controller, _ *plant, cancel func()) { cancel() }, failure.CallerGone, time.Second},
		{"VM stops", func(c *Controller, _ *plant, _ func()) { c.Stop() }, failure.Stopping, time.Second},
		{"no endpoint left", func(c *Controller, p *plant, _ func()) {
			p.change(func() { p.err = refuse(failure.NoEndpoint, 0, "") })
			c.Kick()
		}, failure.NoEndpoint, time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &plant{rate: 1000}
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
					t.Errorf("answered after %v, want %v", got, test.at)
				}
				if c.Waiting() != 0 {
					t.Error("still waiting")
				}
			})
		})
	}
}

// TestGrantAtTheMomentOfGoing checks that a grant which crosses the caller's
// going is handed out, so that what was committed is released.
func TestGrantAtTheMomentOfGoing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &plant{rate: 1000}
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
		c.Kick()
		group.Wait()
		if p.busy != 0 {
			t.Errorf("%d commits were never released", p.busy)
		}
	})
}

// load is one run at a multiple of the plant's capacity.
type load struct {
	admit func(ctx context.Context, w Work) (release func(), err error)
	p     *plant
}

// goodput returns the cost answered within its deadline, as a part of capacity,
// and the part of short questions answered in time.
func (l *load) goodput(t *testing.T, factor float64) (cost, short float64) {
	const length = 40 * time.Second
	random := rand.New(rand.NewPCG(7, 7))
	capacity := l.p.rate * float64(l.p.slots)
	start := time.Now()
	var mu sync.Mutex
	var group sync.WaitGroup
	done, asked, answered := 0.0, 0.0, 0.0
	for time.Since(start) < length {
		w := Work{Organisation: "a", Priority: engine.Interactive, PromptTokens: 100, OutputTokens: 25}
		if random.IntN(3) == 0 {
			w = Work{Organisation: "b", Priority: engine.Standard, PromptTokens: 4000, OutputTokens: 100}
		}
		const meanCost = (2.0*200 + 4400) / 3
		w.Deadline = time.Since(start) + 3*time.Second
		group.Go(func() {
			release, err := l.admit(t.Context(), w)
			if err == nil {
				time.Sleep(l.p.service(&w))
				l.p.add(-1)
				release()
			}
			mu.Lock()
			defer mu.Unlock()
			cfg := DefaultConfig()
			inTime := err == nil && time.Since(start) <= w.Deadline
			if w.Priority == engine.Interactive {
				asked++
				if inTime {
					answered++
				}
			}
			if inTime {
				done += w.cost(&cfg)
			}
		})
		time.Sleep(seconds(random.ExpFloat64() * meanCost / (capacity * factor)))
	}
	group.Wait()
	return done / (capacity * length.Seconds()), answered / asked
}

// firstComeFirstServed is what admission is compared with.
func firstComeFirstServed(p *plant) *load {
	places := make(chan struct{}, p.slots)
	admit := func(context.Context, Work) (func(), error) {
		places <- struct{}{}
		p.add(1)
		return func() { <-places }, nil
	}
	return &load{admit: admit, p: p}
}

func withAdmission(p *plant) *load {
	c := newController(p)
	admit := func(ctx context.Context, w Work) (func(), error) {
		g, err := c.Admit(ctx, w)
		if err != nil {
			return nil, err
		}
		return g.Release, nil
	}
	return &load{admit: admit, p: p}
}

// TestOverload checks that goodput does not collapse, and, so that the check can
// be seen to fail, that it does without admission.
func TestOverload(t *testing.T) {
	for _, factor := range []float64{0.8, 1.5, 3} {
		synctest.Test(t, func(t *testing.T) {
			cost, short := withAdmission(&plant{slots: 16, rate: 4000}).goodput(t, factor)
			plainCost, plainShort := firstComeFirstServed(&plant{slots: 16, rate: 4000}).goodput(t, factor)
			t.Logf("load %.1f: goodput %.3f of capacity, short questions %.3f in time; first come first served %.3f, %.3f",
				factor, cost, short, plainCost, plainShort)
			if cost < min(factor, 1)*0.9 || short < 0.99 {
				t.Errorf("load %.1f: goodput %.3f of capacity, short questions %.3f", factor, cost, short)
			}
			if factor > 1 && plainCost > 0.5 {
				t.Errorf("load %.1f: first come first served reached %.3f; the load is no overload", factor, plainCost)
			}
		})
	}
}
