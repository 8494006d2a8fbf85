package rollout

import (
	"sync"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"
)

// maxRecent is the number of documents that an applier keeps, so that it can send a patch to a
// peer that is a few versions behind.
const maxRecent = 4

// Applier applies configurations in one process. It is safe for concurrent use.
//
// Invariant: the version in effect never decreases, and Current returns a version only after
// onApply has returned for it.
type Applier struct {
	onApply func(Document) error

	// applyMu serialises onApply. It is taken before mu.
	applyMu sync.Mutex
	// mu guards recent; nothing is called while it is held.
	mu     sync.Mutex
	recent []Document
}

// NewApplier returns an applier with no configuration in effect. onApply makes a document take
// effect for every request accepted after it returns; if it fails, the earlier version stays in
// effect.
func NewApplier(onApply func(Document) error) *Applier {
	return &Applier{onApply: onApply}
}

// Current returns the document in effect; its version is None if there is none.
func (a *Applier) Current() Document {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.recent) == 0 {
		return Document{}
	}
	return a.recent[len(a.recent)-1]
}

// Apply applies doc unless an equal or newer version is in effect.
func (a *Applier) Apply(doc Document) error {
	a.applyMu.Lock()
	defer a.applyMu.Unlock()
	if doc.Version <= a.Current().Version {
		return nil
	}
	if err := a.onApply(doc); err != nil {
		return eris.Wrapf(err, "apply configuration %d", doc.Version)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.recent = append(a.recent, doc)
	if len(a.recent) > maxRecent {
		a.recent = append([]Document(nil), a.recent[1:]...)
	}
	setVersionMetric(doc.Version)
	klog.Infof("rollout: configuration %d is in effect", doc.Version)
	return nil
}

// ApplyUpdate applies the update's document unless an equal or newer version is in effect. The
// error is *BaseMissingError if the full text is needed.
func (a *Applier) ApplyUpdate(u Update) error {
	if u.Version <= a.Current().Version {
		return nil
	}
	doc, err := u.Document(a.recentDocument(u.Base))
	if err != nil {
		return eris.Wrapf(err, "read update to configuration %d", u.Version)
	}
	return a.Apply(doc)
}

// UpdateFor returns the update from version have to the version in effect. For a peer that
// already has that version, which is the most frequent request, it returns an empty update
// without comparing texts.
func (a *Applier) UpdateFor(have Version) Update {
	current := a.Current()
	if have == current.Version {
		return Update{Version: current.Version, Digest: current.Digest, Base: have, Prefix: len(current.Text)}
	}
	return NewUpdate(a.recentDocument(have), current)
}

func (a *Applier) recentDocument(v Version) Document {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, doc := range a.recent {
		if doc.Version == v {
			return doc
		}
	}
	return Document{}
}
