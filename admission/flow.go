package admission

import (
	"container/heap"
	"time"
)

// flowKey identifies a flow: the requests of one organisation and priority class.
type flowKey struct {
	organisation string
	class        int
}

// flow holds the waiting requests of a flowKey, ordered by sort key: cheaper ones first, except
// that a request moves ahead as it waits (see Config.DelayPerCost).
type flow struct {
	key    flowKey
	weight float64
	items  itemHeap
	// cost is the sum of the costs of the items.
	cost float64
	// start is the virtual start time of the first item: the virtual finish time of the last item
	// sent, or the virtual time at which the flow became active if that was later. It does not
	// advance while the flow waits; otherwise the flow would never be selected.
	start float64
}

// finish returns the virtual finish time of the first item of the flow if it is sent next.
func (f *flow) finish() float64 { return f.start + f.items[0].cost/f.weight }

// ahead returns the total cost of the items sorted before an item with the given key.
func (f *flow) ahead(key time.Duration) float64 {
	cost := 0.0
	for _, it := range f.items {
		if it.sortKey <= key {
			cost += it.cost
		}
	}
	return cost
}

// Item is a waiting request.
type Item struct {
	Work Work
	// Arrived is the time at which the request was offered.
	Arrived time.Duration
	// LatestStart is the latest time at which the request can be sent to meet its deadline, or
	// MaxWait after its arrival if it has none.
	LatestStart time.Duration
	// Waiter is for use by the caller of the Queue.
	Waiter any

	cost     float64
	sortKey  time.Duration
	sequence uint64
	flow     *flow
	index    int
}

// waiting reports whether the item is still in its flow.
func (it *Item) waiting() bool { return it.index >= 0 }

// itemHeap orders items by sort key, then by arrival.
type itemHeap []*Item

// Len implements heap.Interface.
func (h itemHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h itemHeap) Less(i, j int) bool {
	if h[i].sortKey != h[j].sortKey {
		return h[i].sortKey < h[j].sortKey
	}
	return h[i].sequence < h[j].sequence
}

// Swap implements heap.Interface.
func (h itemHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *itemHeap) Push(x any) {
	it := x.(*Item)
	it.index = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface.
func (h *itemHeap) Pop() any {
	last := len(*h) - 1
	it := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	it.index = -1
	return it
}

func (f *flow) push(it *Item) {
	heap.Push(&f.items, it)
	f.cost += it.cost
}

func (f *flow) remove(it *Item) {
	heap.Remove(&f.items, it.index)
	f.cost -= it.cost
	if len(f.items) == 0 {
		f.cost = 0
	}
}
