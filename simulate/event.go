package simulate

import "time"

// eventKind is the type of an event in the event loop.
type eventKind uint8

const (
	arrival eventKind = iota
	wakeEngine
	retryDispatch
	deadline
	expire
	callback
	poll
	deliver
	tick
	faultStart
	faultEnd
)

// event is an action scheduled for a point in virtual time. Its kind determines
// which of the other fields are used.
type event struct {
	at         time.Duration
	seq        uint64
	kind       eventKind
	index      int
	generation uint64
	request    *activeRequest
	report     *report
	action     func()
}

// eventHeap orders events by time and, at equal times, by insertion order,
// which makes runs deterministic.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}
