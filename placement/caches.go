package placement

import (
	"slices"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/loadshare"
	"github.com/springweir/springweir/loadshare/sharepb"
	"github.com/springweir/springweir/prompt"
)

// toldParts is the most parts that are told of at once: a datagram of them is under a
// kilobyte.
const toldParts = 64

// RecordCachedParts takes in what an engine itself says that it holds, to be told to the others.
func (p *Planner) RecordCachedParts(e *directory.Endpoint, parts []prompt.Part) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := p.bookByHash(loadshare.Hash(e.Incarnation()))
	if k == nil {
		return
	}
	for some := range slices.Chunk(parts, toldParts) {
		p.books.place(k, chunksOf(&prompt.Prompt{Parts: some}), p.now())
	}
}

// CacheKnown tells whether anything is known of what an engine holds.
func (p *Planner) CacheKnown(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := p.books.byID[id]
	return k != nil && k.cache != nil && k.cache.used > 0
}

// bookByHash returns the book of an engine, with the model of its cache, or nil if none
// is known by that hash. The caller holds mu.
func (p *Planner) bookByHash(hash uint32) *book {
	if k := p.books.byHash[hash]; k != nil && k.cache != nil {
		return k
	}
	config := p.config()
	if config == nil {
		return nil
	}
	for _, e := range p.directory.Snapshot().All() {
		if loadshare.Hash(e.Incarnation()) != hash {
			continue
		}
		s := config.Service(e.Service)
		if s == nil || s.Engine == nil {
			return nil
		}
		return p.books.engine(e, s.Engine.KVTokens)
	}
	return nil
}

// hear takes in the prompts that another VM has placed.
func (p *Planner) hear(placed []*sharepb.Placed) {
	for _, one := range placed {
		if len(one.Part) != len(one.Tokens) {
			continue
		}
		if k := p.bookByHash(one.Endpoint); k != nil {
			k.cache.use(chunksOfPlaced(one), p.readyAt(k))
		}
	}
}
