package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/springweir/springweir/freshness"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/table"
)

// revokeBudget divides the time from the store's acknowledgement that an API key was taken away to
// the last moment at which a request with it may reach an endpoint, whatever has become of the VM's
// way to the store and to other VMs. This is the one place that does so.
type revokeBudget struct {
	// confirmAfter is the age of what is known from which one VM asks the store whether it still holds, for
	// all. Its answer takes some 0.1 s to reach the others.
	confirmAfter time.Duration
	// maxAge is the age up to which a key is accepted. What lies between the two is how long an
	// outage may last before keys are refused.
	maxAge time.Duration
}

// confirmDivisor is the part of the time after which the store is asked again: often enough that nearly
// four fifths are left for outages.
const confirmDivisor = 5

// newRevokeBudget divides a time; zero bounds nothing. What is sent after the last look at the key
// takes lastWrite.
func newRevokeBudget(within time.Duration) revokeBudget {
	return revokeBudget{confirmAfter: within / confirmDivisor, maxAge: max(0, within-deliveryAllowance)}
}

// bounded tells whether there is a bound.
func (b revokeBudget) bounded() bool { return b.maxAge > 0 }

// acceptsKeys tells whether this VM can show that what it knows of keys is recent enough.
func (s *state) acceptsKeys() bool {
	if !s.revoke.bounded() {
		return true
	}
	age, known := s.freshness.Age()
	return known && age <= s.revoke.maxAge
}

// runConfirmer asks the store whether the configuration still holds when nobody has for a while.
func (g *Gateway) runConfirmer(ctx context.Context) {
	if !g.state.revoke.bounded() {
		return
	}
	freshness.NewAsker(g.freshness, freshness.Settings{Ask: g.state.revoke.confirmAfter, Rank: g.exchange.Rank, Store: g.confirmFromStore}).Run(ctx)
}

// confirmFromStore asks the store for the configuration as it is now. The follower may take the same change
// in as well, at about the same time.
func (g *Gateway) confirmFromStore(ctx context.Context) error {
	requestedAt := clock.Now()
	stored := g.stored.Load()
	if stored == nil {
		return g.confirmFromList(ctx, requestedAt)
	}
	changes, _, err := g.platform.Feed.Changes(ctx, g.platform.Config.Table, stored.tableVersion, 0)
	var historyGone *table.HistoryGoneError
	switch {
	case errors.As(err, &historyGone):
		return g.confirmFromList(ctx, requestedAt)
	case err != nil:
		return err
	}
	version := stored.version
	for _, c := range changes {
		version = g.applyConfigChange(c, version)
	}
	g.confirmConfig(version, requestedAt)
	return nil
}

func (g *Gateway) confirmFromList(ctx context.Context, requestedAt time.Time) error {
	rows, _, err := g.platform.Feed.List(ctx, g.platform.Config.Table)
	if err != nil {
		return err
	}
	version := uint64(0)
	for _, row := range rows {
		version = g.applyConfigChange(table.Change{Row: row}, version)
	}
	g.confirmConfig(version, requestedAt)
	return nil
}
