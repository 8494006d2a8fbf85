package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/springweir/springweir/freshness"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/table"
)

// revokeBudget divides the time between the store's acknowledgement that an API key was revoked and
// the last moment at which a request with it may reach an endpoint, regardless of whether the VM
// can reach the store or other VMs. This is the only place that divides it.
type revokeBudget struct {
	// confirmAfter is the age of the last confirmation at which one VM requests a new one from the
	// store on behalf of all. Its response takes about 0.1 s to reach the others.
	confirmAfter time.Duration
	// maxAge is the age of the last confirmation up to which keys are accepted. The difference to
	// confirmAfter is how long an outage may last before keys are refused.
	maxAge time.Duration
}

// confirmDivisor sets confirmAfter as a fraction of the total time: frequent enough that nearly
// four fifths remain for outages.
const confirmDivisor = 5

// newRevokeBudget divides a total time; zero sets no bound. A request sent after the last check of
// its key takes up to deliveryAllowance to arrive.
func newRevokeBudget(within time.Duration) revokeBudget {
	return revokeBudget{confirmAfter: within / confirmDivisor, maxAge: max(0, within-deliveryAllowance)}
}

// bounded reports whether the age of the configuration is bounded.
func (b revokeBudget) bounded() bool { return b.maxAge > 0 }

// acceptsKeys reports whether the configuration was confirmed recently enough to accept API keys.
func (s *state) acceptsKeys() bool {
	if !s.revoke.bounded() {
		return true
	}
	age, known := s.freshness.Age()
	return known && age <= s.revoke.maxAge
}

// runConfirmer requests a confirmation of the configuration from the store whenever no VM has done
// so within confirmAfter.
func (g *Gateway) runConfirmer(ctx context.Context) {
	if !g.state.revoke.bounded() {
		return
	}
	freshness.NewConfirmer(g.freshness, freshness.Settings{ConfirmAfter: g.state.revoke.confirmAfter, Rank: g.exchange.Rank, Query: g.confirmFromStore}).Run(ctx)
}

// confirmFromStore reads the current configuration from the store and records the confirmation. The
// follower may apply the same change at about the same time.
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
