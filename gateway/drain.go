package gateway

import (
	"time"

	"github.com/springweir/springweir/feedshare"
	"github.com/springweir/springweir/loadshare"
)

// drainBudget divides the time between the store's acknowledgement that an endpoint is leaving and
// the last moment at which a new request may reach it. Every delay between the two must have its
// share in this struct.
type drainBudget struct {
	// batching is the pause after reading endpoint changes, during which further changes collect at
	// the store. Without it, endpoints that start, leave or change roles one after the other would
	// cost one request each.
	batching time.Duration
	// readerFailover is how long a VM that reads the table through another VM keeps waiting after
	// that VM died: until it counts as unresponsive and the next check notices.
	readerFailover time.Duration
	// storeResponse is the time allowed for the response of a slow store.
	storeResponse time.Duration
	// delivery is the time between a VM's last check of the endpoint and the arrival of the
	// request: processor and link queues, and the network.
	delivery time.Duration
}

const (
	// slowStoreResponse is the response time of a slow store: 60 times the usual 4 ms, with some
	// margin.
	slowStoreResponse = 300 * time.Millisecond
	// deliveryAllowance covers a request with a long prompt on a link of 10 Mbit/s, queued behind a
	// few others.
	deliveryAllowance = 200 * time.Millisecond
	// batchingDivisor limits batching to this fraction (1/3) of the total time.
	batchingDivisor = 3
)

// newDrainBudget divides a total time. What the fixed parts leave is used for batching, up to
// 1/batchingDivisor of the total; if the total is too short for the fixed parts, nothing is
// batched.
func newDrainBudget(within time.Duration) drainBudget {
	b := drainBudget{readerFailover: loadshare.CollectorTimeout + feedshare.PositionInterval, storeResponse: slowStoreResponse, delivery: deliveryAllowance}
	b.batching = max(0, min(within/batchingDivisor, within-b.readerFailover-b.storeResponse-b.delivery))
	return b
}
