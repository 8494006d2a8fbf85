package feedshare

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
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

// Guards against a VM that is told that nothing has changed by one that has meanwhile not heard from the
// store for too long to know.
func TestNoChangeIsStatedOnlyByFreshCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const ttl, wait = 1600 * time.Millisecond, 600 * time.Millisecond
		c := newCache(ttl)
		c.reset([]table.Row{{Key: key("row"), Version: 1}}, 1, clock.Now())
		query := func() error {
			ctx, cancel := context.WithTimeout(t.Context(), wait)
			defer cancel()
			_, _, err := c.changes(ctx, "t", 1)
			return err
		}
		if err := query(); err != nil {
			t.Errorf("while the store's last response is recent: %v", err)
		}
		time.Sleep(ttl - wait - 100*time.Millisecond)
		var notReader *NotReaderError
		if err := query(); !errors.As(err, &notReader) {
			t.Errorf("the copy became too old while the query waited: %v", err)
		}
	})
}
