package placement

import (
	"slices"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/internal/splitmix"
	"github.com/springweir/springweir/loadshare"
)

// rendezvousTop returns the first n engines for a key by rendezvous hashing: the order differs from
// key to key and is the same on all VMs, and adding or removing an engine moves only its own keys.
func rendezvousTop(key uint32, engines []*directory.Endpoint, n int) []*directory.Endpoint {
	type candidate struct {
		engine *directory.Endpoint
		weight uint64
	}
	top := make([]candidate, 0, n+1)
	for _, e := range engines {
		c := candidate{e, splitmix.Mix(uint64(loadshare.Hash(e.ID))<<32 | uint64(key))}
		pos := len(top)
		for pos > 0 && top[pos-1].weight < c.weight {
			pos--
		}
		if pos < n {
			top = slices.Insert(top, pos, c)
			top = top[:min(len(top), n)]
		}
	}
	list := make([]*directory.Endpoint, len(top))
	for i, c := range top {
		list[i] = c.engine
	}
	return list
}
