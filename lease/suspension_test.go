package lease

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/table/memtable"
)

// A holder whose VM was suspended for longer than the lease has no authority from the moment it
// resumes, as another VM may hold the lease by then. A clock that stops during suspension would
// leave it with the authority that remained when the VM was suspended.
func TestSuspendedHolderHasNoAuthority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var suspended atomic.Int64 // nanoseconds
		defer clock.Simulate(func() time.Duration { return time.Duration(suspended.Load()) })()
		a := start(t, memtable.New(), "a", 0)
		time.Sleep(2 * a.holder.cfg.Poll)
		if !a.holds() {
			t.Fatal("the lease was not acquired")
		}
		suspended.Store(int64(a.holder.cfg.TTL + time.Second))
		if a.holds() {
			t.Error("the holder has authority although its lease expired during the suspension")
		}
		a.stop()
		<-a.done
	})
}
