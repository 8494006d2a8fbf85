package history

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/springweir/springweir/table"
	"github.com/springweir/springweir/table/memtable"
)

// Random is a random source that is safe for concurrent use.
type Random struct {
	mu  sync.Mutex
	rng *rand.Rand
}

// NewRandom returns a source whose sequence is determined by seed and use; use selects an
// independent stream of the same seed.
func NewRandom(seed, use uint64) *Random { return &Random{rng: rand.New(rand.NewPCG(seed, use))} }

// IntN returns a random number in [0, n).
func (d *Random) IntN(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rng.IntN(n)
}

// Millis returns a random whole number of milliseconds in [0, n).
func (d *Random) Millis(n int) time.Duration { return time.Duration(d.IntN(n)) * time.Millisecond }

// TableFaults returns a hook that makes a table randomly lose responses, apply writes late,
// fail and respond slowly.
func TableFaults(d *Random) func(memtable.Call) memtable.Fault {
	return func(memtable.Call) memtable.Fault {
		f := memtable.Fault{Delay: d.Millis(10)}
		switch d.IntN(10) {
		case 0:
			f.LoseResponse = true
		case 1:
			f.ApplyAfter = d.Millis(1000)
		case 2:
			f.Fail = true
		case 3:
			f.Delay = d.Millis(400)
		}
		return f
	}
}

// Pausing is the table service of a VM that is randomly paused for up to two seconds
// just before or after a commit.
type Pausing struct {
	table.Service
	Random *Random
}

// Commit implements table.Service.
func (p *Pausing) Commit(ctx context.Context, txn table.Txn) ([]table.Version, error) {
	p.pause()
	defer p.pause()
	return p.Service.Commit(ctx, txn)
}

func (p *Pausing) pause() {
	if p.Random.IntN(6) == 0 {
		time.Sleep(p.Random.Millis(2000))
	}
}

// Unconditional is a table service that drops the conditions of every
// transaction. It serves to show that a checker
// detects violations.
type Unconditional struct{ table.Service }

// Commit implements table.Service.
func (u Unconditional) Commit(ctx context.Context, txn table.Txn) ([]table.Version, error) {
	txn.Checks = nil
	return u.Service.Commit(ctx, txn)
}
