package memory

import (
	"errors"
	"math"
	"sync"
	"time"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/internal/clock"
)

const (
	// headroomFactor is how many times its own size a reservation must leave free, so that large ones can't take the
	// room of smaller ones. maxHeadroom bounds it, as a fraction of the total, so that large ones are admitted at all.
	headroomFactor = 4
	maxHeadroom    = 0.25
	// RequestOverhead is what a request takes beside its head and body, in bytes: goroutines, buffers of both
	// connections, and the decoded head.
	RequestOverhead = 16 << 10
	// rateMemory is how long released bytes count in the rate of releases.
	rateMemory = 2 * time.Second
	// minReleaseRate is the least rate of releases that is assumed, in bytes per second.
	minReleaseRate = 1 << 20
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller should retry.
	minRetryAfter, maxRetryAfter = 100 * time.Millisecond, 1500 * time.Millisecond
)

// Budget bounds the bytes that a process holds for some purpose. It is safe for concurrent use; mu is a leaf lock.
//
// Invariant: the reservations that are not released add up to held, which is at most total.
type Budget struct {
	total int64
	now   func() time.Time

	mu   sync.Mutex
	held int64
	// released is the sum of released bytes, decayed by rateMemory until releasedAt.
	released   float64
	releasedAt time.Time
	// retryAt is the time that was last given to a refused caller.
	retryAt time.Time
}

// NewBudget returns a budget of total bytes. A nil now is the system's clock.
func NewBudget(total int64, now func() time.Time) *Budget {
	return &Budget{total: total, now: clock.OrSystem(now)}
}

// Reservation is what one request or response holds of a Budget. It is used by one goroutine at a time.
type Reservation struct {
	budget *Budget
	bytes  int64
}

// Open returns a reservation of no bytes yet.
func (b *Budget) Open() *Reservation { return &Reservation{budget: b} }

// Reserve reserves bytes. The error is *FullError.
func (b *Budget) Reserve(bytes int64) (*Reservation, error) {
	r := b.Open()
	return r, r.Resize(bytes)
}

// Total returns the size of the budget in bytes.
func (r *Reservation) Total() int64 { return r.budget.total }

// Bytes returns the size of the reservation.
func (r *Reservation) Bytes() int64 { return r.bytes }

// Resize changes the size of a reservation, which is unchanged if there is no room. The error is *FullError.
func (r *Reservation) Resize(bytes int64) error {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if bytes > r.bytes && !b.fits(bytes, bytes-r.bytes) {
		return &FullError{Bytes: bytes, Held: b.held - r.bytes, Total: b.total, RetryAfter: b.retryAfter(bytes)}
	}
	b.held += bytes - r.bytes
	if bytes < r.bytes {
		b.countReleased(r.bytes - bytes)
	}
	r.bytes = bytes
	return nil
}

// Admit changes the size of the reservation of a request. It returns the failure of the request if there is no room.
func (r *Reservation) Admit(bytes int64) *failure.Request {
	var full *FullError
	if errors.As(r.Resize(bytes), &full) {
		return full.Refusal()
	}
	return nil
}

// Release ends a reservation. Further calls, and those for a nil reservation, do nothing.
func (r *Reservation) Release() {
	if r != nil {
		_ = r.Resize(0) // never fails
	}
}

// Held returns the bytes in use.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Total returns the size of the budget in bytes.
func (b *Budget) Total() int64 { return b.total }

// fits reports whether a request of some size may take more bytes. The caller holds mu.
func (b *Budget) fits(size, more int64) bool {
	headroom := min(headroomFactor*size, int64(maxHeadroom*float64(b.total)))
	return size <= b.total && b.held+more <= b.total-headroom
}

// countReleased adds to the rate of releases. The caller holds mu.
func (b *Budget) countReleased(bytes int64) {
	b.decay()
	b.released += float64(bytes)
}

func (b *Budget) decay() {
	now := b.now()
	b.released *= math.Exp(-now.Sub(b.releasedAt).Seconds() / rateMemory.Seconds())
	b.releasedAt = now
}

// retryAfter returns when a refused caller should retry: each after the one before it, in the time in which its bytes
// are released. Beyond maxRetryAfter the times start again. The caller holds mu.
func (b *Budget) retryAfter(bytes int64) time.Duration {
	b.decay()
	rate := max(minReleaseRate, b.released/rateMemory.Seconds())
	if b.retryAt.Before(b.releasedAt) {
		b.retryAt = b.releasedAt
	}
	b.retryAt = b.retryAt.Add(time.Duration(min(maxRetryAfter.Seconds(), float64(bytes)/rate) * float64(time.Second)))
	after := b.retryAt.Sub(b.releasedAt)
	switch span := maxRetryAfter - minRetryAfter; {
	case after < minRetryAfter:
		after = minRetryAfter
	case after > maxRetryAfter:
		after = minRetryAfter + (after-minRetryAfter)%span
	}
	b.retryAt = b.releasedAt.Add(after)
	return after
}
