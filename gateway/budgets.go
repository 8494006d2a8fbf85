package gateway

import (
	"sync"

	"github.com/springweir/springweir/relay"
	"github.com/springweir/springweir/retry"
)

const (
	// extraFraction is the fraction of its even share of the extra retries that a VM uses. The rest
	// is a reserve: a VM that restarts forgets what it spent in the window, and one that joins
	// takes a share before all other VMs have reduced theirs.
	extraFraction = 0.5
	// ratioFraction is the fraction of the configured ratio that is used. The rest covers requests
	// that are counted slightly later than their retries.
	ratioFraction = 0.8
)

// retryBudgets holds the retry budget of each service: this VM's share of the limits for the whole
// region. It is safe for concurrent use; mu is locked before the lock of a budget.
type retryBudgets struct {
	mu sync.Mutex
	// regionLimits are the limits over all VMs; vmCount is the number of VMs that share them, zero until
	// that is known.
	regionLimits retry.WindowLimits
	vmCount      int
	byService    map[string]*retry.Window
}

func newRetryBudgets(regionLimits retry.WindowLimits) *retryBudgets {
	return &retryBudgets{regionLimits: regionLimits, byService: map[string]*retry.Window{}}
}

// localLimits returns this VM's share of the limits. It has none of the extra retries until it knows
// how many VMs share them: many VMs may start together.
func (b *retryBudgets) localLimits() retry.WindowLimits {
	l := b.regionLimits
	l.Ratio *= ratioFraction
	if b.vmCount == 0 {
		l.Extra = 0
		return l
	}
	l.Extra *= extraFraction / float64(b.vmCount)
	return l
}

// setVMCount updates the number of VMs.
func (b *retryBudgets) setVMCount(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.vmCount = n
	b.applyLimits()
}

// setLimits updates the limits over all VMs.
func (b *retryBudgets) setLimits(regionLimits retry.WindowLimits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.regionLimits = regionLimits
	b.applyLimits()
}

// applyLimits sets the local limits on every budget. The caller holds mu.
func (b *retryBudgets) applyLimits() {
	limits := b.localLimits()
	for _, w := range b.byService {
		w.SetLimits(limits)
	}
}

// forService returns the budget of a service, creating it on first use.
func (b *retryBudgets) forService(service string) relay.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.byService[service]
	if w == nil {
		w = retry.NewWindow(b.localLimits(), nil)
		b.byService[service] = w
	}
	return w
}
