package gateway

import (
	"sync"

	"github.com/springweir/springweir/relay"
	"github.com/springweir/springweir/retry"
)

const (
	// extraFraction is the part of its even share of the extra retries that a VM
	// uses. A VM that restarts forgets what it spent in the window, and one that
	// joins takes a share before all others have made theirs smaller.
	extraFraction = 0.5
	// ratioFraction is the part of the ratio that is used, for requests that are
	// counted a little later than their retries.
	ratioFraction = 0.8
	// assumedVMCount shares the extra retries until the other VMs are known.
	assumedVMCount = 16
)

// retryBudgets holds the retry budget of each service: this VM's share of what all
// VMs together may spend. It is safe for concurrent use; mu comes before the
// lock of a budget.
type retryBudgets struct {
	mu sync.Mutex
	// regionLimits are the limits over regionLimits VMs, vms among how many they are shared.
	regionLimits retry.WindowLimits
	vmCount      int
	byService    map[string]*retry.Window
}

func newRetryBudgets(regionLimits retry.WindowLimits) *retryBudgets {
	return &retryBudgets{regionLimits: regionLimits, vmCount: assumedVMCount, byService: map[string]*retry.Window{}}
}

// localLimits is this VM's part of the limits.
func (b *retryBudgets) localLimits() retry.WindowLimits {
	l := b.regionLimits
	l.Ratio *= ratioFraction
	l.Extra *= extraFraction / float64(b.vmCount)
	return l
}

// setVMCount changes the number of VMs.
func (b *retryBudgets) setVMCount(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.vmCount = n
	b.applyLimits()
}

// setLimits changes the limits over all VMs.
func (b *retryBudgets) setLimits(regionLimits retry.WindowLimits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.regionLimits = regionLimits
	b.applyLimits()
}

// applyLimits gives every budget its share. The caller holds mu.
func (b *retryBudgets) applyLimits() {
	limits := b.localLimits()
	for _, w := range b.byService {
		w.SetLimits(limits)
	}
}

// forService returns the budget forService a service.
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
