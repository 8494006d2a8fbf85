package fakeforward

import (
	"sync"
	"time"

	"github.com/springweir/springweir/forward"
)

// ObserverCounter counts the observers of plans: each must be told of its attempt's end
// exactly once, or whatever was taken for the attempt is kept for ever.
type ObserverCounter struct {
	mu    sync.Mutex
	given int
	open  int
	twice int
}

// Counts returns how many observers were given out, how many of them were not
// told of the end, and how many were told again.
func (l *ObserverCounter) Counts() (given, open, twice int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.given, l.open, l.twice
}

func (l *ObserverCounter) observer() forward.Observer {
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.given++
	l.open++
	return &observer{ledger: l}
}

type observer struct {
	ledger *ObserverCounter
	ended  bool
}

// FirstToken implements forward.Observer.
func (*observer) FirstToken(time.Duration) {}

// Finished implements forward.Observer.
func (o *observer) Finished(forward.Result) {
	o.ledger.mu.Lock()
	defer o.ledger.mu.Unlock()
	if o.ended {
		o.ledger.twice++
		return
	}
	o.ended = true
	o.ledger.open--
}
