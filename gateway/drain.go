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
	// batching is how long changes of endpoints are left to batching at the store. Where endpoints
	// start, leave or change their roles one after the other, each would be a question.
	batching time.Duration
	// readerFailover is how long a VM that reads the table from another one waits for it when that has just
	// died: until it is known to be silent, and until that is looked at.
	readerFailover time.Duration
	// storeResponse is for the answer of a storeResponse that is slow.
	storeResponse time.Duration
	// delivery is for the way from a VM's last look at the endpoint to the endpoint: its processor's and
	// its link's queue, and the network.
	delivery time.Duration
}

const (
	// slowStoreResponse is what a slow store takes over a question: 60 times the usual 4 ms, and some more.
	slowStoreResponse = 300 * time.Millisecond
	// deliveryAllowance covers a request of a long prompt on a link of 10 Mbit/s, behind some others.
	deliveryAllowance = 200 * time.Millisecond
	// batchingDivisor is the part of the whole time that changes are left to gather at the most.
	batchingDivisor = 3
)

// newDrainBudget divides a time. What the fixed parts leave is for gathering, up to a part of the
// whole; with a time that is too short for them nothing gathers.
func newDrainBudget(within time.Duration) drainBudget {
	b := drainBudget{readerFailover: loadshare.CollectorTimeout + feedshare.PlaceInterval, storeResponse: slowStoreResponse, delivery: deliveryAllowance}
	b.batching = max(0, min(within/batchingDivisor, within-b.readerFailover-b.storeResponse-b.delivery))
	return b
}
