// Package duties lets one VM of the region act for all: order engines, report usage, order
// endpoints. That VM is the holder of a lease in the platform's store.
//
// What two holders send never crosses, for three reasons together: only the lease's holder acts, and
// each call ends, or its connection is reset, before the authority does that it was made under
// (Call); a new holder waits until no call of the one before can count any more; and each tenure has
// a fencing number of its own, higher than all before.
package duties

import (
	"context"
	"fmt"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/internal/loop"
	"github.com/springweir/springweir/lease"
	"github.com/springweir/springweir/table"
)

// Duty is what the holder does.
type Duty interface {
	// Lead acts for one tenure, until ctx ends.
	Lead(ctx context.Context, l *lease.Lease)
}

// Config is what a Runner works with.
type Config struct {
	Rows table.Service
	// Self names this process, and Rank is its VM's place among all: those behind the first few
	// contend less often. Eligible tells whether it may contend now; nil is always.
	Self     lease.Identity
	Rank     func() int
	Eligible func() bool
	// Epoch returns the newest epoch of the store (see table.Version); nil is a store without any.
	Epoch func() uint64
	// HandoverDelay is the time that must lie between calls of two holders.
	HandoverDelay time.Duration
}

const (
	// leasePool and leaseZone name the one lease of the region. The pool's name is of a time when
	// roles were the only duty; another would let VMs of two versions lead at once.
	leasePool, leaseZone = "engine-roles", "region"
	// leaseTTL, leaseRenew and leasePoll bound how long duties are left undone after a holder died:
	// until a contender has read the row, and for the term after that. Shorter times would be more
	// calls to the store.
	leaseTTL   = 3 * time.Second
	leaseRenew = time.Second
	leasePoll  = 1500 * time.Millisecond
	// settleMargin is added to the wait of a new holder for clocks and the network's delay.
	settleMargin = 500 * time.Millisecond
)

// Runner contends for the lease and carries out the duties while it is held.
type Runner struct {
	cfg    Config
	duties []Duty
	holder *lease.Holder
}

// NewRunner returns a keeper that has not begun to contend.
func NewRunner(cfg Config, list ...Duty) *Runner {
	return &Runner{cfg: cfg, duties: list, holder: lease.NewHolder(cfg.Rows, lease.Config{
		Pool: leasePool, Zone: leaseZone, Self: cfg.Self,
		TTL: leaseTTL, Renew: leaseRenew, Poll: leasePoll, Rank: cfg.Rank, Eligible: cfg.Eligible, Epoch: cfg.Epoch,
	})}
}

// Run contends for the lease and acts while it is held, until ctx ends.
func (k *Runner) Run(ctx context.Context) { k.holder.Run(ctx, k.lead) }

// lead acts for one tenure. A tenure that follows another first waits until no call of the one
// before can count any more.
func (k *Runner) lead(ctx context.Context, l *lease.Lease) {
	klog.InfoS("duties: lease taken", "fence", l.Fence())
	defer klog.InfoS("duties: lease left", "fence", l.Fence())
	if !l.First() && !loop.Sleep(ctx, k.cfg.HandoverDelay+settleMargin) {
		return
	}
	var running sync.WaitGroup
	for _, d := range k.duties {
		running.Go(func() { d.Lead(ctx, l) })
	}
	running.Wait()
}

// LeaseTooShortError is a call that was not made because the authority may end before the call does.
type LeaseTooShortError struct{ Remaining, Need time.Duration }

// Error implements error.
func (e *LeaseTooShortError) Error() string {
	return fmt.Sprintf("the lease holds for %v, the call may take %v", e.Remaining, e.Need)
}

// Reason implements failure.Coded.
func (e *LeaseTooShortError) Reason() failure.Reason { return failure.LeaseLost }

// Call makes one call under a lease. The call gets the fencing number and a context that ends after a
// limit, which lies within the authority: whatever it sends must be dropped when that ends. The
// errors are *lease.LostError, *LeaseTooShortError and those of the call.
func Call(ctx context.Context, l *lease.Lease, limit time.Duration, call func(ctx context.Context, fence uint64) error) error {
	ctx, cancel := clock.WithTimeout(ctx, limit)
	defer cancel()
	// The authority is looked at after the time has begun to run.
	authority, err := l.Authority()
	if err != nil {
		return err
	}
	if left := authority.Remaining(); left < limit {
		return &LeaseTooShortError{Remaining: left, Need: limit}
	}
	return call(ctx, authority.Fence)
}
