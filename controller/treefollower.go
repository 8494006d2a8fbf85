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
	// treePoll is how often this VM's entry is asked for the tree in force. It
	// stays on the VM, so it costs the platform and the network nothing.
	treePoll = 500 * time.Millisecond
	// tableAfter is how long the entry may be silent before the table is read.
	tableAfter = 10 * time.Second
)

// trees follows the operators' tree for this process: from the VM's entry, or
// from the table while the entry does not answer. It is safe for concurrent use.
type trees struct {
	store   *rollout.Store
	peers   *peer.Client
	entry   contact.VM
	applier *rollout.Applier
	current atomic.Pointer[settings.Tree]
	changed chan struct{}
}

func newTrees(store *rollout.Store, peers *peer.Client, entry string) *trees {
	t := &trees{store: store, peers: peers, entry: contact.VM{Address: entry}, changed: make(chan struct{}, 1)}
	t.applier = rollout.NewApplier(t.put)
	return t
}

func (t *trees) put(doc rollout.Document) error {
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

// tree returns the newest tree, or nil while none is known.
func (t *trees) tree() *settings.Tree { return t.current.Load() }

// Run follows the tree until ctx ends.
func (t *trees) Run(ctx context.Context) {
	heard := clock.Now()
	for ctx.Err() == nil {
		err := t.fromEntry(ctx)
		if err == nil {
			heard = clock.Now()
		}
		if clock.Since(heard) >= tableAfter {
			heard = clock.Now()
			err = t.fromTable(ctx)
		}
		if err != nil {
			klog.V(1).Infof("controller: tree not read: %v", err)
		}
		loop.Sleep(ctx, treePoll)
	}
}

func (t *trees) fromEntry(ctx context.Context) error {
	u, err := t.peers.FetchConfig(ctx, t.entry, t.applier.Current().Version)
	if err != nil {
		return err
	}
	return t.applier.OfferUpdate(u)
}

func (t *trees) fromTable(ctx context.Context) error {
	head, err := t.store.Head(ctx)
	if err != nil || head <= t.applier.Current().Version {
		return err
	}
	doc, err := t.store.Load(ctx, head)
	if err != nil {
		return err
	}
	return t.applier.Offer(doc)
}
