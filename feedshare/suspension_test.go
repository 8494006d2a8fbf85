package feedshare

import (
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/table"
)

// A VM that was suspended doesn't serve its cached table until the store has responded to it
// again.
func TestSuspendedReaderServesNothing(t *testing.T) {
	var suspended atomic.Int64 // nanoseconds
	defer clock.Simulate(func() time.Duration { return time.Duration(suspended.Load()) })()
	c := newCache(2 * time.Second)
	c.reset([]table.Row{{Key: table.Key{Table: "t", Row: "r"}, Version: 1}}, 1, clock.Now())
	if _, _, err := c.encodedList(t.Context(), "t"); err != nil {
		t.Fatalf("before the suspension: %v", err)
	}
	suspended.Store(int64(5 * time.Second))
	var notReader *NotReaderError
	if _, _, err := c.encodedList(t.Context(), "t"); !errors.As(err, &notReader) {
		t.Errorf("after a suspension of 5 s the table is still served: %v", err)
	}
}
