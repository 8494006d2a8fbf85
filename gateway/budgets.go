package gateway

import (
	"sync"
	"time"

	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/relay"
	"github.com/springweir/springweir/retry"
)

// emptyAfterRestart is for how long new budgets of a VM that was started again are empty, as a multiple of the
// limits' span. By then it would have saved its share of the extra retries.
const emptyAfterRestart = 3

// retryBudgets holds the retry budget of each service: this VM's share of the limits for the whole
// region. It is safe for concurrent use; mu is locked before the lock of a budget.
type retryBudgets struct {
	startedAt time.Time

	mu sync.Mutex
	// regionLimits are the limits over all VMs; vmCount is the number of VMs that share them, zero until
	// that is known. firstStart is set once it is known that this VM has not been started before.
	regionLimits retry.RegionLimits
	vmCount      int
	firstStart   bool
	byService    map[string]*retry.Budget
}

func newRetryBudgets(regionLimits retry.RegionLimits) *retryBudgets {
	return &retryBudgets{startedAt: clock.Now(), regionLimits: regionLimits, byService: map[string]*retry.Budget{}}
}

// localLimits returns this VM's share of the limits. The caller holds mu.
func (b *retryBudgets) localLimits() retry.Limits {
	l := b.regionLimits.PerVM(b.vmCount)
	l.StartsEmpty = !b.firstStart && clock.Since(b.startedAt) < emptyAfterRestart*b.regionLimits.Span
	return l
}

// setVMCount updates the number of VMs, and whether this one is known not to have been started before: it then has its
// share of the extra retries from the beginning.
func (b *retryBudgets) setVMCount(n int, firstStart bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.vmCount = n
	b.applyLimits()
	if firstStart && !b.firstStart {
		b.firstStart = true
		for _, budget := range b.byService {
			budget.Fill()
		}
	}
}

// setLimits updates the limits over all VMs.
func (b *retryBudgets) setLimits(regionLimits retry.RegionLimits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.regionLimits = regionLimits
	b.applyLimits()
}

// applyLimits sets the local limits on every budget. The caller holds mu.
func (b *retryBudgets) applyLimits() {
	limits := b.localLimits()
	for _, budget := range b.byService {
		budget.SetLimits(limits)
	}
}

// forService returns the budget of a service, creating it on first use.
func (b *retryBudgets) forService(service string) relay.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.byService[service]
	if budget == nil {
		budget = retry.NewBudget(b.localLimits(), nil)
		b.byService[service] = budget
	}
	return budget
}
