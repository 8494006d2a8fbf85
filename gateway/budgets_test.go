package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/springweir/springweir/internal/network"
	"github.com/springweir/springweir/retry"
	"github.com/springweir/springweir/roster"
	"github.com/springweir/springweir/table/memtable"
)

// extraRetries returns how many retries a VM takes without any first attempt.
func extraRetries(g *Gateway) int {
	n := 0
	for g.budgets.forService("s").Take() {
		n++
	}
	return n
}

// Guards against VMs that start while the store is unavailable and know the few VMs only that have sent them
// datagrams: each would take the share of a VM among these few.
func TestVMWithoutRosterTakesNoShareOfExtraRetries(t *testing.T) {
	limits := retry.RegionLimits{Span: 10 * time.Second, Ratio: 0.2, Extra: 206}
	g := New(Settings{VM: "vm", Zone: "a", Retry: limits}, Platform{Rows: memtable.New(), Feed: unavailableFeed{}}, network.TCP())
	g.setPeers([]roster.VM{{Name: "collector", Zone: "a", Address: "127.0.0.1:1"}})
	if n := extraRetries(g); n > 0 {
		t.Errorf("the VM took %d of %v extra retries, of which all VMs together may take as many", n, limits.Extra)
	}
}

// Guards against VMs that cannot retry the first requests of a new region, and against VMs that are started again and
// take their share of the extra retries a second time.
func TestOnlyTheFirstStartTakesTheShareOfExtraRetries(t *testing.T) {
	limits := retry.RegionLimits{Span: 10 * time.Second, Ratio: 0.2, Extra: 206}
	rows := memtable.New()
	for _, first := range []bool{true, false} {
		ctx, stop := context.WithCancel(t.Context())
		g := New(Settings{VM: "vm", Zone: "a", Retry: limits}, Platform{Rows: rows, Feed: rows}, network.TCP())
		ended := make(chan struct{})
		go func() {
			g.roster.Run(ctx)
			close(ended)
		}()
		<-g.roster.Listed()
		if first {
			waitUntil(t, func() bool { return extraRetries(g) > 0 })
		} else if n := extraRetries(g); n > 0 {
			t.Errorf("the VM took %d extra retries after it was started again", n)
		}
		stop()
		<-ended
	}
}

// waitUntil waits until a condition holds.
func waitUntil(t *testing.T, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the condition does not hold after 10 s")
		}
	}
}
