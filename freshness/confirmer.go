package freshness

import (
	"context"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/internal/loop"
)

// Settings holds the dependencies and settings of a Confirmer.
type Settings struct {
	// ConfirmAfter is the age at which the first VM of the region queries the store for a
	// confirmation.
	ConfirmAfter time.Duration
	// Rank returns the position of this VM among the VMs of the region.
	Rank func() int
	// Query queries the store, applies new versions, and passes the confirmation to the tracker.
	Query func(context.Context) error
}

const (
	// checkInterval is the time between two checks of the age.
	checkInterval = 50 * time.Millisecond
	// rankDelay is the additional time that the VM of the next rank waits. It is longer than a
	// confirmation takes to reach all VMs of a large region, so that one VM queries for all.
	rankDelay = 150 * time.Millisecond
	// maxRankedVMs is the number of VMs that query in the order of their ranks; the others query at
	// random times within a period of the same length after them.
	maxRankedVMs = 10
	// startupWait is how long a VM without any confirmation waits for one from another VM.
	startupWait = 200 * time.Millisecond
	// queryTimeout bounds one query. Its confirmation is dated to the start of the query, so that a
	// later response is of little use.
	queryTimeout = time.Second
	// retryMin and retryMax bound the mean pause after failed queries. During a store outage all
	// VMs query; those beyond maxRankedVMs query less often, since the others detect the recovery
	// first and broadcast a confirmation.
	retryMin        = 200 * time.Millisecond
	retryMax        = 2 * time.Second
	lowRankRetryMin = 800 * time.Millisecond
	lowRankRetryMax = 8 * time.Second
)

// Confirmer queries the store for a confirmation when no other VM has done so recently. The VMs of
// a region query in the order of their ranks, each with an additional delay. If a VM has failed, or
// cannot reach the store or other VMs, the next one takes its place, and the VMs of a network
// partition keep each other up to date.
type Confirmer struct {
	tracker  *Tracker
	settings Settings
	// unconfirmedSince is the time since which a version is in force without any confirmation, or
	// zero.
	unconfirmedSince time.Time
	// failures counts the failed queries since the last successful one.
	failures int
}

// NewConfirmer returns a Confirmer for a tracker.
func NewConfirmer(t *Tracker, s Settings) *Confirmer { return &Confirmer{tracker: t, settings: s} }

// Run queries the store whenever a confirmation is due, until ctx ends.
func (c *Confirmer) Run(ctx context.Context) {
	for loop.Sleep(ctx, checkInterval) {
		if c.due() {
			c.query(ctx)
		}
	}
}

// due reports whether this VM should query the store now. A VM that has just started first waits
// for confirmations from others.
func (c *Confirmer) due() bool {
	age, confirmed := c.tracker.Age()
	if confirmed {
		c.unconfirmedSince = time.Time{}
		if age < c.settings.ConfirmAfter {
			c.failures = 0
		}
		return age >= c.queryAge()
	}
	if !c.tracker.HasVersion() {
		return false
	}
	now := c.tracker.now()
	if c.unconfirmedSince.IsZero() {
		c.unconfirmedSince = now
	}
	return now.Sub(c.unconfirmedSince) >= startupWait
}

// queryAge returns the age of the last confirmation at which this VM queries the store.
func (c *Confirmer) queryAge() time.Duration {
	rank := c.settings.Rank()
	if rank >= maxRankedVMs {
		return c.settings.ConfirmAfter + maxRankedVMs*rankDelay + rand.N(maxRankedVMs*rankDelay)
	}
	return c.settings.ConfirmAfter + time.Duration(rank)*rankDelay
}

func (c *Confirmer) query(ctx context.Context) {
	queryCtx, cancel := clock.WithTimeout(ctx, queryTimeout)
	err := c.settings.Query(queryCtx)
	cancel()
	if err == nil {
		c.failures = 0
		return
	}
	klog.V(1).InfoS("freshness: store query failed", "failures", c.failures, "err", err)
	loop.Sleep(ctx, loop.Jitter(c.retryPause()))
	c.failures++
}

// retryPause returns the mean pause after a failed query.
func (c *Confirmer) retryPause() time.Duration {
	minimum, maximum := retryMin, retryMax
	if c.settings.Rank() >= maxRankedVMs {
		minimum, maximum = lowRankRetryMin, lowRankRetryMax
	}
	return min(minimum<<min(c.failures, 8), maximum)
}
