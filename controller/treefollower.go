package controller

import (
	"context"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/springweir/springweir/contact"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/internal/loop"
	"github.com/springweir/springweir/peer"
	"github.com/springweir/springweir/rollout"
	"github.com/springweir/springweir/settings"
)

const (
	// treePollInterval is the interval at which this VM's entry is polled for the active tree. The
	// polls stay on the VM and put no load on the platform or the network.
	treePollInterval = 500 * time.Millisecond
	// tableFallbackAfter is the time without a response from the entry after which the table is
	// read.
	tableFallbackAfter = 10 * time.Second
)

// treeFollower tracks the operators' settings tree: it reads new versions from the VM's entry, or
// from the table while the entry is unresponsive. It is safe for concurrent use.
type treeFollower struct {
	store   *rollout.Store
	peers   *peer.Client
	entry   contact.VM
	applier *rollout.Applier
	current atomic.Pointer[settings.Tree]
	changed chan struct{}
}

func newTreeFollower(store *rollout.Store, peers *peer.Client, entry string) *treeFollower {
	t := &treeFollower{store: store, peers: peers, entry: contact.VM{Address: entry}, changed: make(chan struct{}, 1)}
	t.applier = rollout.NewApplier(t.apply)
	return t
}

// apply parses a version, makes it current and signals changed.
func (t *treeFollower) apply(doc rollout.Document) error {
	tree, err := settings.ParseTree("version", doc.Text)
	if err != nil {
		return err
	}
	t.current.Store(tree)
	select {
	case t.changed <- struct{}{}:
	default:
	}
	return nil
}

// tree returns the newest tree, or nil if none has been received.
func (t *treeFollower) tree() *settings.Tree { return t.current.Load() }

// Run tracks the tree until ctx ends.
func (t *treeFollower) Run(ctx context.Context) {
	lastUpdate := clock.Now()
	for ctx.Err() == nil {
		err := t.fetchFromEntry(ctx)
		if err == nil {
			lastUpdate = clock.Now()
		}
		if clock.Since(lastUpdate) >= tableFallbackAfter {
			lastUpdate = clock.Now()
			err = t.loadFromTable(ctx)
		}
		if err != nil {
			klog.V(1).Infof("controller: reading the settings tree failed: %v", err)
		}
		loop.Sleep(ctx, treePollInterval)
	}
}

func (t *treeFollower) fetchFromEntry(ctx context.Context) error {
	u, err := t.peers.FetchConfig(ctx, t.entry, t.applier.Current().Version)
	if err != nil {
		return err
	}
	return t.applier.ApplyUpdate(u)
}

func (t *treeFollower) loadFromTable(ctx context.Context) error {
	head, err := t.store.Head(ctx)
	if err != nil || head <= t.applier.Current().Version {
		return err
	}
	doc, err := t.store.Load(ctx, head)
	if err != nil {
		return err
	}
	return t.applier.Apply(doc)
}
