package lease

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/table/memtable"
)

// A holder whose VM was suspended for longer than the lease has no authority from its first
// moment on: another VM holds the lease by then. On a clock that stands still meanwhile, it
// would have given orders for as long as was left when the VM was suspended.
func TestSuspendedHolderHasNoAuthority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var suspended atomic.Int64 // nanoseconds
		defer clock.Simulate(func() time.Duration { return time.Duration(suspended.Load()) })()
		a := start(t, memtable.New(), "a", 0)
		time.Sleep(2 * a.holder.cfg.Poll)
		if !a.holds() {
			t.Fatal("the lease is not taken")
		}
		suspended.Store(int64(a.holder.cfg.TTL + time.Second))
		if a.holds() {
			t.Error("the holder may act although its lease has run out while it was suspended")
		}
		a.stop()
		<-a.done
	})
}
