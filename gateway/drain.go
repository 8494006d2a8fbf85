package gateway

import (
	"time"

	"github.com/springweir/springweir/feedshare"
	"github.com/springweir/springweir/loadshare"
)

// drainBudget divides the time from the store's acknowledgement that an endpoint leaves to the last
// moment at which something new may reach it. This is the one place that does so: what comes to lie
// between the two gets a part here.
type drainBudget struct {
	// gather is how long changes of endpoints are left to gather at the store. Where endpoints
	// start, leave or change their roles one after the other, each would be a question.
	gather time.Duration
	// reader is how long a VM that reads the table from another one waits for it when that has just
	// died: until it is known to be silent, and until that is looked at.
	reader time.Duration
	// store is for the answer of a store that is slow.
	store time.Duration
	// write is for the way from a VM's last look at the endpoint to the endpoint: its processor's and
	// its link's queue, and the network.
	write time.Duration
}

const (
	// slowStore is what a slow store takes over a question: 60 times the usual 4 ms, and some more.
	slowStore = 300 * time.Millisecond
	// lastWrite covers a request of a long prompt on a link of 10 Mbit/s, behind some others.
	lastWrite = 200 * time.Millisecond
	// gatherPart is the part of the whole time that changes are left to gather at the most.
	gatherPart = 3
)

// newDrainBudget divides a time. What the fixed parts leave is for gathering, up to a part of the
// whole; with a time that is too short for them nothing gathers.
func newDrainBudget(within time.Duration) drainBudget {
	b := drainBudget{reader: loadshare.CollectorTimeout + feedshare.PositionInterval, store: slowStore, write: lastWrite}
	b.gather = max(0, min(within/gatherPart, within-b.reader-b.store-b.write))
	return b
}
