package placement

import (
	"container/list"
	"time"

	"github.com/springweir/springweir/loadshare"
	"github.com/springweir/springweir/prompt"
)

// chunk is a run of tokens of a prompt, named by a hash.
type chunk struct {
	id     uint32
	tokens int
}

// chunksOf names the parts of a prompt.
func chunksOf(p *prompt.Prompt) []chunk {
	if p == nil {
		return nil
	}
	chunks := make([]chunk, len(p.Parts))
	for i, part := range p.Parts {
		chunks[i] = chunk{id: loadshare.Hash(part.ID), tokens: part.Tokens}
	}
	return chunks
}

// cacheModel follows which parts an engine's KV cache holds, from the prompts
// that it was given: the parts unused longest give way. It is a guess, since
// running requests take memory too; it only orders the choices.
type cacheModel struct {
	capacity int
	used     int
	// order has the part used last in front; parts finds its element.
	order *list.List
	parts map[uint32]*list.Element
}

// part is a chunk that is held, and when the engine should have read it.
type part struct {
	chunk
	ready time.Time
}

func newCacheModel(capacity int) *cacheModel {
	return &cacheModel{capacity: capacity, order: list.New(), parts: map[uint32]*list.Element{}}
}

// cached is the length of the leading parts that are held, or will be by the time
// that the engine begins with what it is given now. A part counts only if every part
// before it does.
func (c *cacheModel) cached(chunks []chunk) int {
	return c.leading(chunks, func(*part) bool { return true })
}

// copyable is the length of the leading parts that another engine can copy now. One
// that is only about to be read would be read by both: in a replay of bursts on unread
// subjects 0.80 to 0.90 came in time with such copies, over 0.90 without.
func (c *cacheModel) copyable(now time.Time, chunks []chunk) int {
	return c.leading(chunks, func(p *part) bool { return !now.Before(p.ready) })
}

func (c *cacheModel) leading(chunks []chunk, counts func(*part) bool) int {
	n := 0
	for _, k := range chunks {
		e := c.parts[k.id]
		if e == nil || !counts(e.Value.(*part)) {
			break
		}
		n += k.tokens
	}
	return n
}

// use notes that a prompt was given to the engine, which holds all its parts from
// ready on.
func (c *cacheModel) use(chunks []chunk, ready time.Time) {
	for i := len(chunks) - 1; i >= 0; i-- {
		c.touch(chunks[i], ready) // the first part is touched last, so it gives way last
	}
	for c.used > c.capacity && c.order.Len() > 0 {
		oldest := c.order.Back()
		k := c.order.Remove(oldest).(*part)
		delete(c.parts, k.id)
		c.used -= k.tokens
	}
}

func (c *cacheModel) touch(k chunk, ready time.Time) {
	if e := c.parts[k.id]; e != nil {
		c.order.MoveToFront(e)
		if held := e.Value.(*part); ready.Before(held.ready) {
			held.ready = ready
		}
		return
	}
	c.parts[k.id] = c.order.PushFront(&part{chunk: k, ready: ready})
	c.used += k.tokens
}
