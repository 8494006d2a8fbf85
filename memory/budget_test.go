package memory

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The reservations must never exceed the budget, whatever is reserved, resized and released in which order, and all of
// it must be available again at the end.
func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.Int64Range(1, 1<<20).Draw(t, "total")
		b := NewBudget(total, nil)
		var open []*Reservation
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			size := rapid.Int64Range(0, total+total/4).Draw(t, "size")
			if len(open) == 0 || rapid.Bool().Draw(t, "reserve") {
				r, err := b.Reserve(size)
				if err == nil {
					open = append(open, r)
				} else if r.Bytes() != 0 {
					t.Fatalf("a refused reservation holds %d bytes", r.Bytes())
				}
			} else {
				i := rapid.IntRange(0, len(open)-1).Draw(t, "which")
				before := open[i].Bytes()
				if err := open[i].Resize(size); err != nil && open[i].Bytes() != before {
					t.Fatalf("a refused change left %d bytes of %d", open[i].Bytes(), before)
				}
			}
			sum := int64(0)
			for _, r := range open {
				sum += r.Bytes()
			}
			if b.Held() != sum || sum > total {
				t.Fatalf("%d bytes held, reservations of %d, budget %d", b.Held(), sum, total)
			}
		}
		for _, r := range open {
			r.Release()
			r.Release()
		}
		if b.Held() != 0 {
			t.Fatalf("%d bytes are held at the end", b.Held())
		}
	})
}

// Few large requests must not make small ones fail, and a large one must be admitted to an empty budget.
func TestLargeLeaveRoomForSmall(t *testing.T) {
	const large, small = 4 << 20, 32 << 10
	for _, total := range []int64{16 << 20, 32 << 20, 96 << 20} {
		b := NewBudget(total, nil)
		admitted := int64(0)
		for range 1000 {
			if _, err := b.Reserve(large); err == nil {
				admitted++
			}
		}
		if admitted == 0 || admitted*large < total/2 {
			t.Errorf("budget of %d: %d large requests admitted", total, admitted)
		}
		for n := range 64 {
			if _, err := b.Reserve(small); err != nil {
				t.Errorf("budget of %d: small request %d refused beside the large ones: %v", total, n, err)
				break
			}
		}
	}
}

// A refused caller must be told when to come back: one after the other, in the time in which memory becomes free.
func TestRetryAfterFollowsReleases(t *testing.T) {
	now := time.Now()
	b := NewBudget(16<<20, func() time.Time { return now })
	held, err := b.Reserve(12 << 20)
	if err != nil {
		t.Fatal(err)
	}
	var last time.Duration
	for n := range 5 {
		_, err := b.Reserve(256 << 10 * 4)
		var full *FullError
		if !errors.As(err, &full) || full.RetryAfter < minRetryAfter || full.RetryAfter > maxRetryAfter {
			t.Fatalf("got %v", err)
		}
		if n > 0 && full.RetryAfter == last {
			t.Errorf("two callers were told to come back after %v", last)
		}
		last = full.RetryAfter
	}
	for range 40 {
		held.Release()
		if err := held.Resize(12 << 20); err != nil {
			t.Fatal(err)
		}
	}
	now = now.Add(10 * time.Millisecond)
	b.retryAt = time.Time{}
	var full *FullError
	if _, err := b.Reserve(1 << 20); !errors.As(err, &full) || full.RetryAfter != minRetryAfter {
		t.Errorf("with many releases a caller was refused with %v", err)
	}
}

// Whatever a VM has, what is held must fit beside the rest of the process.
func TestLimitsOfVMs(t *testing.T) {
	for _, vm := range []int64{0, 100e6, 144e6, 184e6, 284e6, 536e6, 1048e6} {
		l := LimitsOf(vm)
		if vm == 0 {
			vm = DefaultVM
		}
		if l.Requests <= 0 || l.Heads <= 0 || l.Responses <= 0 || l.Heap >= vm || l.Requests+l.Heads+l.Responses > l.Heap-l.Heap/8 {
			t.Errorf("memory of %d: %+v", vm, l)
		}
	}
}
