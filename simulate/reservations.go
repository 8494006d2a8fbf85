package simulate

import (
	"context"
	"fmt"
	"io"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/springweir/springweir/fleet"
)

// ledgers are the ways to compensate for the lag of load reports. The third
// follows "Resource Quota - reservations": used and reserved amounts are
// tracked separately, and a reservation is removed when the work that it stands
// for is observed or when it expires.
var ledgers = []struct {
	name      string
	construct func() fleet.Ledger
}{
	{"none", func() fleet.Ledger { return fleet.NewReportedOnlyLedger() }},
	{"in-flight", func() fleet.Ledger { return fleet.NewInFlightLedger() }},
	{"matched", newMatchedLedger},
}

// Reservations compares the ledgers on the morning and evening traces at
// several report lags and numbers of entry VMs. Roles are fixed, so that only
// routing differs.
func (su Suite) Reservations(ctx context.Context, w io.Writer) error {
	lags := []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, time.Second, 3 * time.Second}
	for _, name := range []string{"kliko-morning", "szallashalo-evening"} {
		for _, seed := range su.Seeds {
			t := findRecipe(name).build(seed)
			for _, lag := range lags {
				for _, entries := range []int{1, 3, 8} {
					if err := su.compareLedgers(ctx, w, t, Options{Seed: seed, Lag: lag, Entries: entries, Prefill: 2, Decode: 1}); err != nil {
						return err
					}
				}
			}
		}
	}
	return nil
}

// compareLedgers runs every ledger with the same options.
func (su Suite) compareLedgers(ctx context.Context, w io.Writer, t *Trace, opt Options) error {
	results := make([]Result, len(ledgers))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(su.Workers)
	for i, b := range ledgers {
		g.Go(func() error {
			if err := ctx.Err(); err != nil {
				return err
			}
			results[i] = newSim(t, newSpringweir(variant{newLedger: b.construct}, opt), opt).run()
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	for i, b := range ledgers {
		r := results[i]
		_, err := fmt.Fprintf(w, "RESERVATIONS trace=%s books=%s lag_ms=%d entries=%d seed=%d goodput=%.4f ttft_p95_ms=%d itl_p95_ms=%d refused=%d late=%d\n",
			t.Name, b.name, opt.Lag.Milliseconds(), opt.Entries, opt.Seed, r.Goodput, r.FirstToken.Milliseconds(), r.BetweenTokens.Milliseconds(), r.Refused, r.Late)
		if err != nil {
			return err
		}
	}
	return nil
}

// findRecipe returns the recipe with the given name, or a zero recipe.
func findRecipe(name string) recipe {
	for _, r := range recipes() {
		if r.name == name {
			return r
		}
	}
	return recipe{}
}
