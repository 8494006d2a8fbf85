package freshness

import (
	"context"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/internal/loop"
)

// Settings are what a Confirmer works with.
type Settings struct {
	// ConfirmAfter is the age from which the first VM of the region asks the store for a confirmation.
	ConfirmAfter time.Duration
	// Rank is this VM's place among the VMs of the region.
	Rank func() int
	// Query asks the store, takes in what is new, and gives the tracker the confirmation.
	Query func(context.Context) error
}

const (
	// lookInterval is how often the age is looked at.
	lookInterval = 50 * time.Millisecond
	// rankStep is how much later the next VM asks. The confirmation of the one before it reaches
	// all VMs of a large region in less, so that one of them asks for all.
	rankStep = 150 * time.Millisecond
	// maxSteps bounds the steps; the VMs beyond ask at random within that time.
	maxSteps = 10
	// startWait is how long a VM without any confirmation waits for another VM's.
	startWait = 200 * time.Millisecond
	// askTimeout bounds a question. It is dated to its beginning, so that a later answer is of
	// little use.
	askTimeout = time.Second
	// retryMin and retryMax bound the mean pause after questions that got no answer. All VMs ask
	// while the store is away, those beyond maxSteps less often: the others find it back first and
	// tell them.
	retryMin    = 200 * time.Millisecond
	retryMax    = 2 * time.Second
	farRetryMin = 800 * time.Millisecond
	farRetryMax = 8 * time.Second
)

// Confirmer asks the store for a confirmation when nobody else has for a while. The VMs of a region do
// so in the order of their ranks, each a little later than the one before it: one whose way to the
// store or to the others is cut, or that is gone, is thus made up for by the next, and VMs that are
// cut off together keep each other fresh.
type Confirmer struct {
	tracker  *Tracker
	settings Settings
	// waitsSince is since when there is something to confirm and no confirmation, or zero.
	waitsSince time.Time
	// failures counts the questions without an answer since the last one with.
	failures int
}

// NewConfirmer returns an asker for a tracker.
func NewConfirmer(t *Tracker, s Settings) *Confirmer { return &Confirmer{tracker: t, settings: s} }

// Run asks until ctx ends.
func (a *Confirmer) Run(ctx context.Context) {
	for loop.Sleep(ctx, lookInterval) {
		if a.due() {
			a.ask(ctx)
		}
	}
}

// due tells whether it is time for this VM to ask. One that has just started is told by the others.
func (a *Confirmer) due() bool {
	age, known := a.tracker.Age()
	if known {
		a.waitsSince = time.Time{}
		if age < a.settings.ConfirmAfter {
			a.failures = 0
		}
		return age >= a.patience()
	}
	if !a.tracker.Decides() {
		return false
	}
	now := a.tracker.now()
	if a.waitsSince.IsZero() {
		a.waitsSince = now
	}
	return now.Sub(a.waitsSince) >= startWait
}

// patience is the age from which this VM asks.
func (a *Confirmer) patience() time.Duration {
	rank := a.settings.Rank()
	if rank >= maxSteps {
		return a.settings.ConfirmAfter + maxSteps*rankStep + rand.N(maxSteps*rankStep)
	}
	return a.settings.ConfirmAfter + time.Duration(rank)*rankStep
}

func (a *Confirmer) ask(ctx context.Context) {
	asking, cancel := clock.WithTimeout(ctx, askTimeout)
	err := a.settings.Query(asking)
	cancel()
	if err == nil {
		a.failures = 0
		return
	}
	klog.V(1).InfoS("freshness: the store gave no confirmation", "failures", a.failures, "err", err)
	loop.Sleep(ctx, loop.Jitter(a.pause()))
	a.failures++
}

// pause is the mean pause after a question that got no answer.
func (a *Confirmer) pause() time.Duration {
	least, most := retryMin, retryMax
	if a.settings.Rank() >= maxSteps {
		least, most = farRetryMin, farRetryMax
	}
	return min(least<<min(a.failures, 8), most)
}
