package reach

import (
	"context"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/internal/clock"
)

const (
	// sampledEndpoints is the number of endpoints to which a VM connects to learn whether it reaches
	// any. After the loss of a rack most of them may be down.
	sampledEndpoints = 8
	// worksTTL is how long a successful check counts.
	worksTTL = 200 * time.Millisecond
)

// Works reports whether this VM reaches any endpoint apart from e, to which it could not connect. If it
// does not, its failed connections say nothing about the endpoints. It connects to some of them unless
// it has done so recently. A VM that knows no other endpoint takes its way to be open.
func (c *Client) Works(ctx context.Context, e *directory.Endpoint) bool {
	c.working.Lock()
	defer c.working.Unlock()
	if known, works := c.knownToWork(); known {
		return works
	}
	sample := c.sample(e)
	if len(sample) == 0 {
		return true
	}
	if works := c.connectsToAny(ctx, sample); works || ctx.Err() != nil {
		return works
	}
	klog.InfoS("reach: no endpoint is reached directly", "tried", len(sample)+1)
	return false
}

// knownToWork returns the result of the last check if it still counts. A VM that reached nothing is
// cut off until a check in the background succeeds.
func (c *Client) knownToWork() (known, works bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	works = clock.Now().Before(c.worksUntil)
	return c.cutOff || works, works
}

// sample returns some random endpoints other than e.
func (c *Client) sample(e *directory.Endpoint) []*directory.Endpoint {
	all := c.cfg.Endpoints().All()
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	sample := make([]*directory.Endpoint, 0, sampledEndpoints)
	for _, other := range all {
		if other.ID != e.ID && len(sample) < sampledEndpoints {
			sample = append(sample, other)
		}
	}
	return sample
}

// connectsToAny reports whether a connection to one of the endpoints can be opened, and records it.
func (c *Client) connectsToAny(ctx context.Context, endpoints []*directory.Endpoint) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		endpoint *directory.Endpoint
		err      error
	}
	results := make(chan result, len(endpoints))
	for _, e := range endpoints {
		go func() { results <- result{e, c.cfg.Direct.Connect(ctx, e)} }()
	}
	var failed []result
	for range endpoints {
		r := <-results
		if r.err == nil {
			c.recordWorks(true)
			return true
		}
		failed = append(failed, r)
	}
	if ctx.Err() != nil {
		return false
	}
	c.recordWorks(false)
	for _, r := range failed {
		c.recordBroken(r.endpoint, r.err)
	}
	return false
}

func (c *Client) recordWorks(works bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cutOff = !works
	if works {
		c.worksUntil = clock.Now().Add(worksTTL)
	}
}
