package claim

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/internal/history"
	"github.com/springweir/springweir/table"
	"github.com/springweir/springweir/table/memtable"
)

// randomHistory makes several VMs claim the same key repeatedly under table faults.
func randomHistory(seed uint64, wrap func(table.Service) table.Service) *history.ClaimHistory {
	const vms, rounds = 4, 12
	rows := memtable.New()
	rows.SetHook(history.TableFaults(history.NewRandom(seed, 0)))
	h := history.NewClaimHistory()
	var wg sync.WaitGroup
	for vm := range vms {
		dice := history.NewRandom(seed, uint64(vm)+1)
		paused := &history.Pausing{Service: wrap(rows), Random: dice}
		s := NewStore(Config{Table: paused, Owner: fmt.Sprint(vm)})
		wg.Go(func() {
			for round := range rounds {
				time.Sleep(dice.Millis(200))
				runRound(h, s, dice, vm, round)
			}
			s.Wait()
		})
	}
	wg.Wait()
	return h
}

// runRound makes one call. If it gets the claim, it then releases the claim, finishes the call, or
// drops the claim as a crashing VM does.
func runRound(h *history.ClaimHistory, s *Store, dice *history.Random, vm, round int) {
	var c *Claim
	h.Run(vm, history.ClaimInput{Op: history.Begin}, func() history.ClaimOutput {
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		defer cancel()
		claimed, resp, err := s.Begin(ctx, testKey, testDigest)
		c = claimed
		return output(claimed, resp, err)
	})
	if c == nil {
		return
	}
	time.Sleep(dice.Millis(100))
	value := fmt.Sprintf("%d/%d", vm, round)
	switch dice.IntN(20) {
	case 0, 1, 2:
		h.Run(vm, history.ClaimInput{Op: history.Finish, Value: value}, func() history.ClaimOutput {
			c.Finish(context.Background(), Response{Body: []byte(value)})
			return history.ClaimOutput{}
		})
	case 3:
		// The VM crashes between its claim and the response.
	default:
		h.Run(vm, history.ClaimInput{Op: history.Release}, func() history.ClaimOutput {
			c.Release(context.Background())
			return history.ClaimOutput{}
		})
	}
}

func output(c *Claim, resp *Response, err error) history.ClaimOutput {
	out := history.ClaimOutput{Claimed: c != nil}
	if resp != nil {
		out.Stored = string(resp.Body)
	}
	var f *failure.Request
	if errors.As(err, &f) {
		out.Unavailable = f.Code == failure.ClaimUnavailable
	}
	return out
}

func TestClaimsAreLinearizable(t *testing.T) {
	const seeds = 60
	tests := []struct {
		name string
		wrap func(table.Service) table.Service
		// minViolating is the least number of histories that must violate linearizability; zero
		// means that none may.
		minViolating int
	}{
		{"all guards", func(s table.Service) table.Service { return s }, 0},
		{"without conditions", func(s table.Service) table.Service { return history.Unconditional{Service: s} }, seeds / 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			violating, claims := 0, 0
			for seed := range uint64(seeds) {
				synctest.Test(t, func(t *testing.T) {
					h := randomHistory(seed, tt.wrap)
					claims += h.ClaimedCount()
					if !h.Linearizable() {
						violating++
					}
				})
			}
			t.Logf("violations in %d of %d histories with %d claims", violating, seeds, claims)
			if violating < tt.minViolating || tt.minViolating == 0 && violating > 0 || claims < 2*seeds {
				t.Error("want no violation with all safeguards, and violations in at least half of the histories without")
			}
		})
	}
}
