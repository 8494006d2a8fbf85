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

// maxGone bounds the names remembered as gone. A name forgotten counts as not
// gone, which holds things up rather than letting them pass.
const maxRemoved = 8192

// WatcherConfig says how often a Watcher polls. The zero value takes the defaults.
type WatcherConfig struct {
	// Interval is the mean time between polls. Each wait is drawn evenly
	// between half of it and one and a half times it.
	Interval time.Duration
	// Timeout bounds one poll.
	Timeout time.Duration
}

// Snapshot is the last list that was read.
type Snapshot struct {
	// VMs is the list without the VMs that are gone. It is not to be changed.
	VMs []VM
	// ReadAt is the moment before the read was sent, on the monotonic clock;
	// zero when no read has succeeded yet.
	ReadAt time.Time
}

// Loaded tells whether the list was ever read.
func (s Snapshot) Loaded() bool { return !s.ReadAt.IsZero() }

// Age is how old the list is at now, apart from the platform's own lag.
func (s Snapshot) Age(now time.Time) time.Duration { return now.Sub(s.ReadAt) }

// Watcher polls a List and keeps the last good one.
//
// Invariant: once Removed(name) is true and while it is remembered, the VM is in no
// snapshot, even if an older copy of the list shows it again. A VM that was
// never seen, or is merely missing at first, is not gone.
type Watcher struct {
	list   List
	config WatcherConfig

	mu       sync.RWMutex
	snapshot Snapshot
	removed  map[string]bool
	// goneOrder holds the keys of gone, oldest first.
	removedOrder []string
	changed      chan struct{}
}

// NewWatcher returns a Watcher of list. It knows nothing until Poll or Run.
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
			klog.Warningf("membership: list not read, keeping the last: %v", err)
		}
		if err == nil && failing {
			klog.Infof("membership: list read again")
		}
		failing = err != nil
		if !loop.Sleep(ctx, loop.Jitter(w.config.Interval)) {
			return
		}
	}
}

// Poll reads the list once. After an error the last list stands.
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

// Removed tells whether the VM was listed and then dropped. False means not known.
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

// take makes vms the last list.
func (w *Watcher) update(vms []VM, readAt time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.snapshot.ReadAt.After(readAt) {
		return // A slower read, overtaken by a later one.
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

// drop remembers that a VM is gone, with w.mu held.
func (w *Watcher) markRemoved(name string) {
	klog.Infof("membership: VM %s is gone", name)
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
