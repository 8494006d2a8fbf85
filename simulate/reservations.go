package simulate

import (
	"context"
	"fmt"
	"io"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/springweir/springweir/fleet"
)

// books are the ways to make up for reports that lag. The third follows the
// idea of "Resource Quota - reservations" (used and reserved kept apart, a
// reservation removed when what it stands for is observed, or on expiry).
var books = []struct {
	name string
	make func() fleet.Ledger
}{
	{"none", func() fleet.Ledger { return fleet.NewReportedOnlyLedger() }},
	{"in-flight", func() fleet.Ledger { return fleet.NewInFlightLedger() }},
	{"matched", matched},
}

// Reservations compares the books at several report lags and numbers of entry
// VMs on the swing trace, roles fixed, so that only routing differs.
func (su Suite) Reservations(ctx context.Context, w io.Writer) error {
	lags := []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, time.Second, 3 * time.Second}
	for _, name := range []string{"kliko-morning", "szallashalo-evening"} {
		for _, seed := range su.Seeds {
			t := recipeNamed(name).make(seed)
			for _, lag := range lags {
				for _, entries := range []int{1, 3, 8} {
					if err := su.compareBooks(ctx, w, t, Options{Seed: seed, Lag: lag, Entries: entries, Prefill: 2, Decode: 1}); err != nil {
						return err
					}
				}
			}
		}
	}
	return nil
}

// compareBooks runs each kind of book under the same circumstances.
func (su Suite) compareBooks(ctx context.Context, w io.Writer, t *Trace, opt Options) error {
	results := make([]Result, len(books))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(su.Workers)
	for i, b := range books {
		g.Go(func() error {
			if err := ctx.Err(); err != nil {
				return err
			}
			results[i] = newSim(t, newSpringweir(variant{ledger: b.make}, opt), opt).run()
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	for i, b := range books {
		r := results[i]
		_, err := fmt.Fprintf(w, "RESERVATIONS trace=%s books=%s lag_ms=%d entries=%d seed=%d goodput=%.4f ttft_p95_ms=%d itl_p95_ms=%d refused=%d late=%d\n",
			t.Name, b.name, opt.Lag.Milliseconds(), opt.Entries, opt.Seed, r.Goodput, r.FirstToken.Milliseconds(), r.BetweenTokens.Milliseconds(), r.Refused, r.Late)
		if err != nil {
			return err
		}
	}
	return nil
}

// recipeNamed returns a recipe by its name.
func recipeNamed(name string) recipe {
	for _, r := range recipes() {
		if r.name == name {
			return r
		}
	}
	return recipe{}
}
