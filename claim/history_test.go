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

// randomHistory lets VMs claim one key again and again.
func randomHistory(seed uint64, wrap func(table.Service) table.Service) *history.Claims {
	const vms, rounds = 4, 12
	rows := memtable.New()
	rows.SetHook(history.TableFaults(history.NewDice(seed, 0)))
	h := history.NewClaims()
	var wg sync.WaitGroup
	for vm := range vms {
		dice := history.NewDice(seed, uint64(vm)+1)
		paused := &history.Pausing{Service: wrap(rows), Dice: dice}
		s := NewStore(Config{Table: paused, Owner: fmt.Sprint(vm)})
		wg.Go(func() {
			for round := range rounds {
				time.Sleep(dice.Millis(200))
				playVM(h, s, dice, vm, round)
			}
			s.Wait()
		})
	}
	wg.Wait()
	return h
}

// playVM is one call: it begins, and if it got the claim it releases it, keeps
// an answer, or dies with it.
func playVM(h *history.Claims, s *Store, dice *history.Dice, vm, round int) {
	var c *Claim
	h.Run(vm, history.ClaimInput{Op: history.Begin}, func() history.ClaimOutput {
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		defer cancel()
		held, answer, err := s.Begin(ctx, testKey, testDigest)
		c = held
		return output(held, answer, err)
	})
	if c == nil {
		return
	}
	time.Sleep(dice.Millis(100))
	value := fmt.Sprintf("%d/%d", vm, round)
	switch dice.Roll(20) {
	case 0, 1, 2:
		h.Run(vm, history.ClaimInput{Op: history.Finish, Value: value}, func() history.ClaimOutput {
			c.Finish(context.Background(), Response{Body: []byte(value)})
			return history.ClaimOutput{}
		})
	case 3:
		// The VM dies between its claim and the answer.
	default:
		h.Run(vm, history.ClaimInput{Op: history.Release}, func() history.ClaimOutput {
			c.Release(context.Background())
			return history.ClaimOutput{}
		})
	}
}

func output(c *Claim, answer *Response, err error) history.ClaimOutput {
	out := history.ClaimOutput{Claimed: c != nil}
	if answer != nil {
		out.Stored = string(answer.Body)
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
		// atLeast histories must be objected to; with all guards, none may be.
		atLeast int
	}{
		{"all guards", func(s table.Service) table.Service { return s }, 0},
		{"without conditions", func(s table.Service) table.Service { return history.Unconditional{Service: s} }, seeds / 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			objections, claims := 0, 0
			for seed := range uint64(seeds) {
				synctest.Test(t, func(t *testing.T) {
					h := randomHistory(seed, tt.wrap)
					claims += h.Held()
					if !h.Linearizable() {
						objections++
					}
				})
			}
			t.Logf("objected to %d of %d histories with %d claims", objections, seeds, claims)
			if objections < tt.atLeast || tt.atLeast == 0 && objections > 0 || claims < 2*seeds {
				t.Error("want no objection with all guards, and more than half without")
			}
		})
	}
}
