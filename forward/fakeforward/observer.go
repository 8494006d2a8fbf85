package fakeforward

import (
	"sync"
	"time"

	"github.com/springweir/springweir/forward"
)

// ObserverCounter counts the observers of plans. Each must receive Finished exactly once, or the
// reservation of its attempt is never released.
type ObserverCounter struct {
	mu         sync.Mutex
	created    int
	unfinished int
	repeated   int
}

// Counts returns how many observers were created, how many of them did not receive Finished, and
// how many repeated calls of Finished there were.
func (c *ObserverCounter) Counts() (created, unfinished, repeated int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.created, c.unfinished, c.repeated
}

func (c *ObserverCounter) observer() forward.Observer {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.created++
	c.unfinished++
	return &observer{counter: c}
}

type observer struct {
	counter  *ObserverCounter
	finished bool
}

// FirstToken implements forward.Observer.
func (*observer) FirstToken(time.Duration) {}

// Finished implements forward.Observer.
func (o *observer) Finished(forward.Result) {
	o.counter.mu.Lock()
	defer o.counter.mu.Unlock()
	if o.finished {
		o.counter.repeated++
		return
	}
	o.finished = true
	o.counter.unfinished--
}
