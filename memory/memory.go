// Package memory bounds the bytes of requests and responses that a process holds at a time, whoever sent them. A bound
// for each request or connection is no bound for the process.
//
// Whoever holds such bytes has a reservation of a Budget. What exceeds the budget is refused at once.
package memory

import (
	"fmt"
	"math"
	"runtime/debug"
	"time"

	"github.com/springweir/springweir/failure"
)

const (
	// DefaultVM is the memory of a VM in bytes if it is not known.
	DefaultVM = 256 << 20
	// baseBytes is the memory of a process, in bytes, without requests and responses: the state of the fleet, idle
	// connections and the program itself.
	baseBytes = 64 << 20
	// requestFraction and headFraction are the fractions of the memory above baseBytes for requests, and for heads of
	// requests that arrive. The rest is for responses, buffers of the kernel and garbage.
	requestFraction, headFraction = 0.4, 0.05
	// responseBytes is the memory for responses, in bytes, whatever the VM has: endpoints that send without end fill it,
	// and the collector lets as much garbage grow beside it. The longest response that is accepted (16 MiB) fits beside
	// shorter ones.
	responseBytes = 24 << 20
	// heapFraction is the fraction of a VM's memory at which the garbage collector runs as often as necessary.
	heapFraction = 0.8
	// minRequests and minHeads are the least that is taken for each, in bytes.
	minRequests, minHeads = 16 << 20, 4 << 20
)

// Limits states how the memory of a VM is used, in bytes.
type Limits struct {
	// Requests bounds the requests, Heads the heads of requests that have not arrived completely, and Responses the
	// responses. Heap is the limit of the garbage collector.
	Requests, Heads, Responses, Heap int64
}

// LimitsOf divides the memory of a VM, in bytes. Zero stands for DefaultVM.
func LimitsOf(vm int64) Limits {
	if vm <= 0 {
		vm = DefaultVM
	}
	free := float64(vm - baseBytes)
	return Limits{
		Requests:  max(minRequests, int64(free*requestFraction)),
		Heads:     max(minHeads, int64(free*headFraction)),
		Responses: responseBytes,
		Heap:      int64(float64(vm) * heapFraction),
	}
}

// LimitHeap sets the limit of the garbage collector for a VM with some memory, in bytes; zero sets none. The limit
// alone bounds nothing: the collector would take all processor time once more is in use.
func LimitHeap(vm int64) {
	heap := int64(math.MaxInt64)
	if vm > 0 {
		heap = LimitsOf(vm).Heap
	}
	debug.SetMemoryLimit(heap)
}

// FullError is a request for which there is no memory now.
type FullError struct {
	// Bytes is the size of the request, and Held what others hold of Total.
	Bytes, Held, Total int64
	// RetryAfter is when there is expected to be enough.
	RetryAfter time.Duration
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("no memory for a request of %d bytes, others hold %d of %d", e.Bytes, e.Held, e.Total)
}

// Reason implements failure.Coded.
func (e *FullError) Reason() failure.Reason { return failure.MemoryFull }

// Refusal returns the failure of the request, which has not run.
func (e *FullError) Refusal() *failure.Request {
	return &failure.Request{
		Code: failure.MemoryFull, Ran: failure.NotRun, RetryAfter: e.RetryAfter,
		Message: "this VM has no memory for the request now", Cause: e,
	}
}
