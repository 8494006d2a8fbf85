package history

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/springweir/springweir/table"
	"github.com/springweir/springweir/table/memtable"
)

// Random is a source of chance that is safe for concurrent use.
type Random struct {
	mu  sync.Mutex
	rng *rand.Rand
}

// NewRandom returns dice that always fall the same way for a seed and a use.
func NewRandom(seed, use uint64) *Random { return &Random{rng: rand.New(rand.NewPCG(seed, use))} }

// IntN returns a number from zero up to, not including, n.
func (d *Random) IntN(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rng.IntN(n)
}

// Millis returns a time of less than n milliseconds.
func (d *Random) Millis(n int) time.Duration { return time.Duration(d.IntN(n)) * time.Millisecond }

// TableFaults makes a table lose answers, apply late, refuse and lag.
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

// Pausing is a VM's table service whose VM is stopped now and then for up to
// two seconds, just before or just after a commit.
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
// transaction. It is for showing that a checker objects.
type Unconditional struct{ table.Service }

// Commit implements table.Service.
func (u Unconditional) Commit(ctx context.Context, txn table.Txn) ([]table.Version, error) {
	txn.Checks = nil
	return u.Service.Commit(ctx, txn)
}
