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
	at   recent[uint64, time.Time]
}

func newCompletedRequests(seed uint64) *completedRequests {
	return &completedRequests{seed: seed, at: newRecent[uint64, time.Time](maxCompleted)}
}

// fingerprint identifies the same requests as KeyOf within this process. It takes a few
// microseconds for the largest requests and thus can be computed for every one.
func (c *completedRequests) fingerprint(r *relay.Request) uint64 {
	h := xxhash.NewWithSeed(c.seed)
	writeRequest(h, r)
	return h.Sum64()
}

// add records a complete response to a request.
func (c *completedRequests) add(fingerprint uint64, now time.Time) { c.at.put(fingerprint, now) }

// contains reports whether a request had a complete response within completedRetention.
func (c *completedRequests) contains(fingerprint uint64, now time.Time) bool {
	at, known := c.at.get(fingerprint)
	return known && now.Sub(at) <= completedRetention
}
