package placement

import (
	"slices"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/loadshare"
	"github.com/springweir/springweir/loadshare/sharepb"
	"github.com/springweir/springweir/prompt"
)

// maxPartsPerDatagram bounds the parts of one announced placement, so that its datagram stays below
// 1 kB.
const maxPartsPerDatagram = 64

// RecordCachedParts adds the parts that an engine reports as cached, and queues them for the next
// LocalReport.
func (p *Planner) RecordCachedParts(e *directory.Endpoint, parts []prompt.Part) {
	p.mu.Lock()
	defer p.mu.Unlock()
	load := p.engineByHash(loadshare.Hash(e.Incarnation()))
	if load == nil {
		return
	}
	for batch := range slices.Chunk(parts, maxPartsPerDatagram) {
		p.loads.recordPlaced(load, chunksOf(&prompt.Prompt{Parts: batch}), p.now())
	}
}

// CacheKnown reports whether any cached part is recorded for an engine.
func (p *Planner) CacheKnown(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	load := p.loads.byID[id]
	return load != nil && load.cache != nil && load.cache.used > 0
}

// engineByHash returns the tracked load of the engine with this incarnation hash, including its
// cache model, or nil if no such engine is registered. The caller holds mu.
func (p *Planner) engineByHash(hash uint32) *endpointLoad {
	load := p.loads.byHash[hash]
	if load == nil || load.cache != nil {
		return load
	}
	e, config := p.directory.Snapshot().Endpoint(load.id), p.config()
	if e == nil || e.StartedAt != load.startedAt || config == nil {
		return nil
	}
	s := config.Service(e.Service)
	if s == nil || s.Engine == nil {
		return nil
	}
	return p.loads.getEngine(e, s.Engine.KVTokens)
}

// receivePlaced records the prompts that another VM has placed. The caller holds mu.
func (p *Planner) receivePlaced(placed []*sharepb.Placed) {
	for _, entry := range placed {
		if len(entry.Part) != len(entry.Tokens) {
			continue
		}
		if e := p.engineByHash(entry.Endpoint); e != nil {
			e.cache.insert(chunksFromProto(entry), p.readyAt(e))
		}
	}
}
