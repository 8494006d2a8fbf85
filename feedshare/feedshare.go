// Package feedshare lets the VMs of a zone read the tables that all of them follow from
// each other: in a large region the first VMs of a zone, in the order that package
// loadshare has for its collectors, ask the platform's store, and the others ask these.
// The calls to the store and the bytes from it then grow with the zones and the changes,
// not with the VMs.
//
// Nothing is agreed on. A VM serves what it has read from the store itself, never what
// another VM told it, and only while the store has answered it lately. A VM that gets
// no such answer from the VMs before it asks the store. What is passed on are rows and
// changes with the store's own versions, so that a VM can go on from its version at
// whichever source.
package feedshare

import (
	"time"

	"github.com/springweir/springweir/table"
)

const (
	// peerWaitMargin is what an answer of another VM may take beyond the wait that was
	// asked for: the way there and back takes 2 ms, and a VM with a fifth of a core may
	// be behind by tens of them.
	peerWaitMargin = 400 * time.Millisecond
	// connectTimeout bounds opening a connection to another VM. One without power says
	// nothing, and the store is asked after that.
	connectTimeout = 300 * time.Millisecond
	// listTimeout bounds reading a whole table from another VM: three thousand endpoints
	// are under a megabyte, which takes a VM's link of 20 Mbit/s 0.4 s.
	listTimeout = 1500 * time.Millisecond
	// PositionInterval is how often a VM that waits for another's answer looks whether that one
	// still has its place.
	PositionInterval = 100 * time.Millisecond
	// doubt is how long a VM that gave no answer is not asked again. The VMs that it
	// served ask the store meanwhile, with a wait that makes this cost a call or two each.
	doubt = 3 * time.Second
	// rest is how long a VM that others serve leaves the store alone after the store gave
	// no answer, while it goes on to ask those others, who have the store's first answer
	// as soon as there is one. Hundreds of VMs that ask a store which is down are calls
	// for nothing.
	rest = 2 * time.Second
	// farRank is the place in the region from which a VM leaves such a store alone for farRest:
	// those before it find the store back first, and tell it.
	farRank = 12
	farRest = 6 * time.Second
	// storeSlack is what an answer of the store may take beyond the wait that was asked
	// for. An older one is not passed on.
	storeSlack = 700 * time.Millisecond
	// startWait is how long a VM waits for its own first answer before it refuses others:
	// after a loss of power all VMs start within 300 ms.
	startWait = 300 * time.Millisecond
	// maxHistory is the number of answers with changes of a table that are kept for VMs
	// that fell behind; one that needs more reads the table anew.
	maxHistory = 256
)

// Settings are what a Source works with.
type Settings struct {
	// PropagationLimit is the time within which a change must be known everywhere. A third of it
	// is how long a question waits on a VM that serves others, or that others serve: a
	// source that fell silent is found in that time, and what is left is for asking
	// the store.
	PropagationLimit time.Duration
	// CoalesceInterval is how long changes are left to gather at the store after some were read.
	CoalesceInterval time.Duration
}

func (s Settings) wait() time.Duration { return s.PropagationLimit / 3 }

// Position is where a VM stands among those of its zone.
type Position struct {
	// PrecedingPeers are the addresses of the VMs that this one may ask, best first: some of those
	// that come before it in the order of the zone.
	PrecedingPeers []string
	// First is set on the VM that the others of the zone ask first.
	First bool
	// Rank is this VM's place among those of the region, from 0.
	Rank int
	// PeersOutsideZone are VMs to ask when neither those before this one nor the store give an answer:
	// the store may have turned away this VM, or its whole zone, and not them.
	PeersOutsideZone []string
}

// Source follows one table, from the store or from a VM that does. It implements
// table.Feed for its table and keeps what it read for the VMs that ask this one.
//
// It belongs to one follower: List and Changes are called one at a time.
type Source struct {
	table    string
	settings Settings
	store    table.Feed
	peers    Peers
	place    func() Position
	cache    *cache

	// The fields below belong to the follower.
	//
	// doubted are the VMs that gave no answer, and until when they are left alone.
	doubted map[string]time.Time
	// restUntil is until when the store is left alone, and away what it last said.
	restUntil time.Time
	away      error
	// gatherUntil is until when changes are left to gather at the store.
	gatherUntil time.Time
	// current is when the last question was asked that the store answered: no change told
	// since is older.
	current time.Time
	// followed is set once the store was asked for changes.
	followed bool
	// from is where the last answer came from, for the log.
	from string
}

// NewSource returns a source of one table.
func NewSource(name string, s Settings, store table.Feed, peers Peers, place func() Position) *Source {
	return &Source{
		table: name, settings: s, store: store, peers: peers, place: place,
		cache: newCache(s.CoalesceInterval + s.wait() + storeSlack), doubted: map[string]time.Time{}, from: fromStore,
	}
}
