package rollout

import (
	"sync"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"
)

// keptVersions is how many documents an applier keeps, so that it can send a
// patch to a peer that is a few versions behind.
const maxRecent = 4

// Applier puts configurations in force in one process. It is safe for
// concurrent use.
//
// Invariant: the version in force never goes down, and Current tells of a
// version only after put has returned for it.
type Applier struct {
	onApply func(Document) error

	// applying serialises put. It is taken before mu.
	applyMu sync.Mutex
	// mu guards kept; nothing is called while it is held.
	mu     sync.Mutex
	recent []Document
}

// NewApplier returns an applier with nothing in force. put makes a document
// take effect for every request taken after it returns; when it fails, the
// earlier version stays in force.
func NewApplier(onApply func(Document) error) *Applier {
	return &Applier{onApply: onApply}
}

// Current returns the document in force; its version is None when there is none.
func (a *Applier) Current() Document {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.recent) == 0 {
		return Document{}
	}
	return a.recent[len(a.recent)-1]
}

// Apply puts doc in force unless an equal or newer version is.
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
	klog.Infof("rollout: configuration %d is in force", doc.Version)
	return nil
}

// ApplyUpdate puts the update's document in force unless an equal or newer
// version is. The error is *BaseMissingError when the whole text is needed.
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

// UpdateFor returns the update to the version in force for one who holds have.
// It is empty for one who holds that version, who asks often: the text is not
// gone through.
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
