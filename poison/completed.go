package poison

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/springweir/springweir/relay"
)

const (
	// completedRetention is how long a complete response exonerates a request. A request that
	// crashes endpoints has none, so one that many callers send, such as a polling page's, is not
	// suspected because it happened to be at work on an endpoint that crashed.
	completedRetention = 10 * time.Second
	// maxCompleted bounds the completed requests that are remembered; the oldest are dropped first.
	maxCompleted = 2048
)

// completedRequests remembers the requests that ended with a complete response. It is not safe for
// concurrent use.
type completedRequests struct {
	// seed makes the fingerprints unpredictable to callers.
	seed uint64
	at   map[uint64]time.Time
	// order holds the fingerprints as they were added; next is the position of the oldest once the
	// list is full.
	order []uint64
	next  int
}

func newCompletedRequests(seed uint64) *completedRequests {
	return &completedRequests{seed: seed, at: map[uint64]time.Time{}}
}

// fingerprint identifies the same requests as KeyOf within this process. It takes a few
// microseconds for the largest requests and thus can be computed for every one.
func (c *completedRequests) fingerprint(r *relay.Request) uint64 {
	h := xxhash.NewWithSeed(c.seed)
	writeRequest(h, r)
	return h.Sum64()
}

// add records a complete response to a request.
func (c *completedRequests) add(fingerprint uint64, now time.Time) {
	_, known := c.at[fingerprint]
	c.at[fingerprint] = now
	if known {
		return
	}
	if len(c.order) < maxCompleted {
		c.order = append(c.order, fingerprint)
		return
	}
	delete(c.at, c.order[c.next])
	c.order[c.next] = fingerprint
	c.next = (c.next + 1) % maxCompleted
}

// contains reports whether a request had a complete response within completedRetention.
func (c *completedRequests) contains(fingerprint uint64, now time.Time) bool {
	at, known := c.at[fingerprint]
	return known && now.Sub(at) <= completedRetention
}
