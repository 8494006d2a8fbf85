package gateway

import (
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
	limits := retry.WindowLimits{Span: 10 * time.Second, Ratio: 0.2, Extra: 206}
	g := New(Settings{VM: "vm", Zone: "a", Retry: limits}, Platform{Rows: memtable.New(), Feed: unavailableFeed{}}, network.TCP())
	g.setPeers([]roster.VM{{Name: "collector", Zone: "a", Address: "127.0.0.1:1"}})
	if n := extraRetries(g); n > 0 {
		t.Errorf("the VM took %d of %v extra retries, of which all VMs together may take as many", n, limits.Extra)
	}
}
