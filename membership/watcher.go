package membership

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/internal/loop"
)

// Defaults of WatcherConfig.
const (
	DefaultInterval = time.Second
	DefaultTimeout  = 2 * time.Second
)

// maxRemoved bounds the number of removed VMs that are remembered. A forgotten name counts as not
// removed, which delays work that waits for the removal and never lets it start too early.
const maxRemoved = 8192

// WatcherConfig sets the polling of a Watcher. The zero value takes the defaults.
type WatcherConfig struct {
	// Interval is the mean time between polls. Each wait is drawn uniformly from 0.5 to 1.5 times
	// the interval.
	Interval time.Duration
	// Timeout bounds one poll.
	Timeout time.Duration
}

// Snapshot is the list as last read.
type Snapshot struct {
	// VMs is the list without the removed VMs. It must not be modified.
	VMs []VM
	// ReadAt is the time just before the read was sent, on the monotonic clock; zero before the
	// first successful read.
	ReadAt time.Time
}

// Loaded reports whether the list was read at least once.
func (s Snapshot) Loaded() bool { return !s.ReadAt.IsZero() }

// Age returns the age of the list at now, without the platform's own lag.
func (s Snapshot) Age(now time.Time) time.Duration { return now.Sub(s.ReadAt) }

// Watcher polls a List and keeps the last list that was read.
//
// Invariant: while a removed VM is remembered, so that Removed(name) is true, it is in no
// snapshot, even if an older copy of the list shows it again. A VM that was never listed is not
// removed.
type Watcher struct {
	list   List
	config WatcherConfig

	mu       sync.RWMutex
	snapshot Snapshot
	removed  map[string]bool
	// removedOrder holds the keys of removed, oldest first.
	removedOrder []string
	changed      chan struct{}
}

// NewWatcher returns a Watcher of list. Its snapshot is empty until Poll or Run has read the
// list.
func NewWatcher(list List, config WatcherConfig) *Watcher {
	if config.Interval <= 0 {
		config.Interval = DefaultInterval
	}
	if config.Timeout <= 0 {
		config.Timeout = DefaultTimeout
	}
	return &Watcher{
		list:    list,
		config:  config,
		removed: make(map[string]bool),
		changed: make(chan struct{}),
	}
}

// Run polls until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	for failing := false; ; {
		err := w.Poll(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil && !failing {
			klog.Warningf("membership: failed to read the list, keeping the last one: %v", err)
		}
		if err == nil && failing {
			klog.Infof("membership: list is readable again")
		}
		failing = err != nil
		if !loop.Sleep(ctx, loop.Jitter(w.config.Interval)) {
			return
		}
	}
}

// Poll reads the list once. After an error the last list is kept.
func (w *Watcher) Poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, w.config.Timeout)
	defer cancel()
	readAt := clock.Now()
	vms, err := w.list.VMs(ctx)
	if err != nil {
		return err
	}
	w.update(vms, readAt)
	return nil
}

// Snapshot returns the last list.
func (w *Watcher) Snapshot() Snapshot {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.snapshot
}

// Removed reports whether the VM was listed and then dropped. False doesn't prove that the VM is
// running.
func (w *Watcher) Removed(name string) bool {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.removed[name]
}

// Changed returns a channel that is closed at the next change of the list.
func (w *Watcher) Changed() <-chan struct{} {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.changed
}

// update makes vms the last list.
func (w *Watcher) update(vms []VM, readAt time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.snapshot.ReadAt.After(readAt) {
		return // a read that was sent later has already completed
	}
	old := byName(w.snapshot.VMs)
	current := make([]VM, 0, len(vms))
	changed := !w.snapshot.Loaded()
	for _, vm := range vms {
		if w.removed[vm.Name] {
			continue
		}
		current = append(current, vm)
		previous, ok := old[vm.Name]
		changed = changed || !ok || previous != vm
		delete(old, vm.Name)
	}
	for name := range old {
		w.markRemoved(name)
		changed = true
	}
	w.snapshot = Snapshot{VMs: current, ReadAt: readAt}
	if changed {
		close(w.changed)
		w.changed = make(chan struct{})
	}
}

// markRemoved records that a VM was removed. The caller holds w.mu.
func (w *Watcher) markRemoved(name string) {
	klog.Infof("membership: VM %s was removed from the list", name)
	w.removed[name] = true
	w.removedOrder = append(w.removedOrder, name)
	if len(w.removedOrder) > maxRemoved {
		delete(w.removed, w.removedOrder[0])
		w.removedOrder = w.removedOrder[1:]
	}
}

func byName(vms []VM) map[string]VM {
	vmsByName := make(map[string]VM, len(vms))
	for _, vm := range vms {
		vmsByName[vm.Name] = vm
	}
	return vmsByName
}
