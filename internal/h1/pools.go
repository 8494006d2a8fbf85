package h1

import (
	"sync"

	"github.com/springweir/springweir/internal/clock"
)

// Pools holds a pool of connections for each address. It is safe for concurrent use; mu is a leaf lock.
type Pools struct {
	opts Options

	mu        sync.Mutex
	byAddress map[string]*Pool
}

// NewPools returns pools without connections, which apply the options to new ones.
func NewPools(o Options) *Pools { return &Pools{opts: o, byAddress: map[string]*Pool{}} }

// Get returns the pool of an address.
func (s *Pools) Get(address string) *Pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.byAddress[address]
	if p == nil {
		p = NewPool(address, s.opts)
		s.byAddress[address] = p
	}
	return p
}

// Retain closes the idle connections to addresses that are not to be kept, and those idle for too long.
func (s *Pools) Retain(keep func(address string) bool) {
	now := clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, p := range s.byAddress {
		if keep(address) {
			p.Prune(now)
			continue
		}
		p.Close()
		delete(s.byAddress, address)
	}
}
