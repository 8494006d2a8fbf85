// Package feedshare lets the VMs of a zone share their reads of the tables that all of them
// follow. In a large region the first VMs of each zone, in the order of package loadshare's
// collectors, read from the platform's store (the readers), and the other VMs read from these.
// The load on the store then grows with the number of zones and changes, not with the number of
// VMs.
//
// The VMs don't coordinate. A VM serves only what it read from the store itself, never what it
// received from a peer, and only while the store's last response is recent. A VM that none of the
// preceding peers serves reads from the store. Rows and changes carry the store's own versions,
// so a VM can continue from its version at any source.
package feedshare

import (
	"sync/atomic"
	"time"

	"github.com/springweir/springweir/table"
)

const (
	// peerResponseMargin is the time allowed for a peer's response beyond the requested wait. The
	// round trip takes 2 ms, and a VM with a fifth of a core may lag by tens of milliseconds.
	peerResponseMargin = 400 * time.Millisecond
	// connectTimeout bounds opening a connection to another VM. A VM without power doesn't refuse
	// the connection, and the store is read only after the timeout.
	connectTimeout = 300 * time.Millisecond
	// listTimeout bounds the time without progress while a whole table is read from another VM, and
	// maxListTime all of it: many VMs share that VM's link when they start together.
	listTimeout = 1500 * time.Millisecond
	maxListTime = 10 * time.Second
	// PositionInterval is how often a VM that waits for a peer's response checks whether that
	// peer still precedes it.
	PositionInterval = 100 * time.Millisecond
	// peerBackoff is the mean time for which a VM that failed to respond is not queried again.
	// The VMs that it served read from the store meanwhile, with a wait that limits this to one
	// or two calls each.
	peerBackoff = 3 * time.Second
	// storeBackoff is the mean time for which a VM that has preceding peers doesn't query the
	// store after it failed. It continues to query the peers, which receive the store's first
	// response after the outage. This keeps hundreds of VMs from querying a store that is down.
	storeBackoff = 2 * time.Second
	// distantRank is the rank in the region from which on a VM uses distantStoreBackoff instead
	// of storeBackoff: VMs of a lower rank detect the store's recovery first and serve the
	// others.
	distantRank         = 12
	distantStoreBackoff = 6 * time.Second
	// maxStoreRetry is the longest time between two queries of a VM that reads from the store while that does
	// not respond: the time until a query without a wait is given up, and the pause of table.Follower.
	maxStoreRetry = 1400 * time.Millisecond
	// storeResponseMargin is the time allowed for the store's response beyond the requested wait.
	// A response that took longer counts from when it was due, and a table without a more recent
	// response is not served.
	storeResponseMargin = 700 * time.Millisecond
	// startupWait is how long a query by a peer waits for this VM's first response from the store
	// before it is refused. After a power failure all VMs start within 300 ms.
	startupWait = 300 * time.Millisecond
	// startupPatience is how long a VM that starts waits for one that is still reading the table. Reading
	// some ten thousand rows from the store takes a second while all VMs of a fleet start.
	startupPatience = 3 * time.Second
	// maxHistoryBatches is the number of responses with changes that are kept for each table. A
	// peer that is further behind reads the whole table again.
	maxHistoryBatches = 256
)

// Settings configures a Source.
type Settings struct {
	// PropagationLimit is the time within which a change must reach every VM. It bounds the wait of
	// every query: a source that became unresponsive is detected when a query to it times out, and
	// the rest is left for reading from another one.
	PropagationLimit time.Duration
	// CoalesceInterval is the pause before the next query of the store after a response with
	// changes, so that the changes made meanwhile arrive in one response.
	CoalesceInterval time.Duration
}

// pollWait is the longest wait of a query that other VMs depend on, or that another VM answers.
func (s Settings) pollWait() time.Duration { return s.PropagationLimit / 3 }

// storeWait is the longest wait of any other query of the store. The last third of the limit is for
// the timeout of a query that gets no response, and for the next query.
func (s Settings) storeWait() time.Duration { return 2 * s.PropagationLimit / 3 }

// Position is the position of a VM in the order of its zone.
type Position struct {
	// PrecedingPeers are the addresses of some of the VMs that precede this one in the order of
	// its zone, in the order in which to query them.
	PrecedingPeers []string
	// First is set on the VM that the others of the zone query first.
	First bool
	// Rank is this VM's position among those of the region, from 0.
	Rank int
	// PeersOutsideZone returns the addresses of VMs in other zones, queried when both the preceding
	// peers and the store fail: the store may be unreachable from this VM or its zone only. Finding
	// them takes a look at all VMs, and the position is looked up many times a second.
	PeersOutsideZone func() []string
}

// Source follows one table, either at the store or at a VM that reads from the store. It
// implements table.Feed for its table and caches the table for the VMs that query this one.
//
// A Source belongs to one follower: List, Changes, ConfirmedAt and UnansweredAt must not be called
// concurrently.
type Source struct {
	table    string
	settings Settings
	store    table.Feed
	peers    Peers
	position func() Position
	cache    *cache

	// The fields below belong to the follower.
	//
	// peerBackoffUntil holds the VMs that failed to respond and the end of their backoff.
	peerBackoffUntil map[string]time.Time
	// storeBackoffUntil is the end of the store's backoff, and storeErr its last error.
	storeBackoffUntil time.Time
	storeErr          error
	// changedAt is when the store last responded with changes.
	changedAt time.Time
	// confirmedAt is the time at which the last successful query was sent to the store. Changes
	// received later were made after it.
	confirmedAt time.Time
	// unansweredAt is when the last query was sent that the store did not answer, by this VM or, at the
	// earliest, by one that reports that the store does not respond to it.
	unansweredAt time.Time
	// storePolled is set once the store was queried for changes.
	storePolled bool
	// lastSource is the source of the last response, for the log.
	lastSource string
	// storeFailing is set if the last query of the store failed.
	storeFailing bool

	// expedite holds when expedited queries end, and expedited wakes the follower from a pause.
	expedite  atomic.Pointer[time.Time]
	expedited chan struct{}
}

// NewSource returns a source of one table. It calls position, which returns the VM's present
// position, often and also concurrently.
func NewSource(name string, s Settings, store table.Feed, peers Peers, position func() Position) *Source {
	return &Source{
		table: name, settings: s, store: store, peers: peers, position: position,
		cache: newCache(s.CoalesceInterval + s.pollWait() + storeResponseMargin), peerBackoffUntil: map[string]time.Time{}, lastSource: fromStore,
		expedited: make(chan struct{}, 1),
	}
}
