// Package duties runs the region-wide duties on one VM, the leader: changing engine roles,
// reporting usage and scaling endpoints. The leader is the holder of a lease in the platform's
// store.
//
// Calls of two leaders never overlap, for three reasons together: only the lease holder makes
// calls, and each call ends, or its connection is reset, before the lease authority under which it
// was made expires (Call); a new holder waits until no call of its predecessor can take effect any
// more; and each tenure has its own fencing token, higher than all earlier ones.
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

// Duty is a task that the lease holder performs for the region.
type Duty interface {
	// Lead performs the duty for one tenure, until ctx ends.
	Lead(ctx context.Context, l *lease.Lease)
}

// Config holds the dependencies and settings of a Runner.
type Config struct {
	Rows table.Service
	// Self identifies this process. Rank returns the position of its VM in the region: VMs beyond
	// the first few contend less often. Eligible reports whether this process may contend now; nil
	// means always.
	Self     lease.Identity
	Rank     func() int
	Eligible func() bool
	// Epoch returns the newest epoch of the store (see table.Version); nil if the store has no
	// epochs.
	Epoch func() uint64
	// SingleProcess states that each VM runs one process at a time.
	SingleProcess bool
	// HandoverDelay is the minimum time between calls of two successive holders.
	HandoverDelay time.Duration
}

const (
	// leasePool and leaseZone name the region's only lease. The pool keeps the name of its first
	// duty, since VMs of two versions with different lease names would lead at the same time.
	leasePool, leaseZone = "engine-roles", "region"
	// leaseTTL, leaseRenew and leasePoll bound how long duties are not performed after a holder
	// dies: until a contender has read the lease row, plus the lease term. Shorter times cost more
	// calls to the store.
	leaseTTL   = 3 * time.Second
	leaseRenew = time.Second
	leasePoll  = 1500 * time.Millisecond
	// handoverMargin is added to HandoverDelay for clock error and network delay.
	handoverMargin = 500 * time.Millisecond
)

// Runner contends for the lease and runs the duties while it holds the lease.
type Runner struct {
	cfg    Config
	duties []Duty
	holder *lease.Holder
}

// NewRunner returns a Runner that does not contend until Run is called.
func NewRunner(cfg Config, duties ...Duty) *Runner {
	return &Runner{cfg: cfg, duties: duties, holder: lease.NewHolder(cfg.Rows, lease.Config{
		Pool: leasePool, Zone: leaseZone, Identity: cfg.Self,
		SingleProcess: cfg.SingleProcess,
		TTL:           leaseTTL, Renew: leaseRenew, Poll: leasePoll, Rank: cfg.Rank, Eligible: cfg.Eligible, Epoch: cfg.Epoch,
	})}
}

// Run contends for the lease and runs the duties while the lease is held, until ctx ends.
func (r *Runner) Run(ctx context.Context) { r.holder.Run(ctx, r.lead) }

// lead runs the duties for one tenure. Unless the tenure is the first, it starts by waiting until
// no call of the previous holder can take effect any more. Calls of one VM need not be HandoverDelay apart.
func (r *Runner) lead(ctx context.Context, l *lease.Lease) {
	klog.InfoS("duties: lease acquired", "fence", l.Fence())
	defer klog.InfoS("duties: lease ended", "fence", l.Fence())
	delay := r.cfg.HandoverDelay + handoverMargin
	if l.SameVM() {
		delay = handoverMargin
	}
	if !l.First() && !loop.Sleep(ctx, delay) {
		return
	}
	var running sync.WaitGroup
	for _, d := range r.duties {
		running.Go(func() { d.Lead(ctx, l) })
	}
	running.Wait()
}

// LeaseTooShortError reports a call that was not made because the lease authority could expire
// before the call ends.
type LeaseTooShortError struct{ Remaining, CallLimit time.Duration }

// Error implements error.
func (e *LeaseTooShortError) Error() string {
	return fmt.Sprintf("lease authority expires in %v, but the call may take %v", e.Remaining, e.CallLimit)
}

// Reason implements failure.Coded.
func (e *LeaseTooShortError) Reason() failure.Reason { return failure.LeaseLost }

// Call makes one call under a lease. The call receives the fencing token and a context that ends
// after limit, within the lease authority: everything that the call has sent must be dropped when
// the context ends. The errors are *lease.LostError, *LeaseTooShortError and those of call.
func Call(ctx context.Context, l *lease.Lease, limit time.Duration, call func(ctx context.Context, fence uint64) error) error {
	ctx, cancel := clock.WithTimeout(ctx, limit)
	defer cancel()
	// The timeout starts before the authority is read, so that it ends within the authority.
	authority, err := l.Authority()
	if err != nil {
		return err
	}
	if remaining := authority.Remaining(); remaining < limit {
		return &LeaseTooShortError{Remaining: remaining, CallLimit: limit}
	}
	return call(ctx, authority.Fence)
}
