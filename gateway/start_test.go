package gateway

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/internal/network"
	"github.com/springweir/springweir/table"
	"github.com/springweir/springweir/table/memtable"
)

// unavailableFeed is the feed of an unavailable store.
type unavailableFeed struct{}

var errStoreUnavailable = errors.New("the store is unavailable")

func (unavailableFeed) List(context.Context, string) ([]table.Row, table.Version, error) {
	return nil, 0, errStoreUnavailable
}

func (unavailableFeed) Changes(context.Context, string, table.Version, time.Duration) ([]table.Change, table.Version, error) {
	return nil, 0, errStoreUnavailable
}

// recordingListener records the addresses listened on, in order. Listening on slowAddress takes 50
// ms.
type recordingListener struct {
	slowAddress string

	mu        sync.Mutex
	addresses []string
}

func (o *recordingListener) Listen(address string) (net.Listener, error) {
	if address == o.slowAddress {
		time.Sleep(50 * time.Millisecond)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	o.mu.Lock()
	defer o.mu.Unlock()
	o.addresses = append(o.addresses, address)
	return l, err
}

// A VM that reports ready must accept connections of callers, so its caller port opens before the
// readiness check can be answered.
func TestCallersCanConnectBeforeTheVMIsReady(t *testing.T) {
	listener := &recordingListener{slowAddress: "callers"}
	g := New(Settings{VM: "vm", Zone: "a", Callers: "callers", Readiness: "readiness", Peers: "127.0.0.1:0"}, Platform{
		Rows: memtable.New(), Feed: unavailableFeed{}, CloseStaleConnections: func(*directory.Snapshot) {},
	}, network.Network{Listen: listener.Listen})
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	if err := g.Run(ctx); err != nil {
		t.Fatal(err)
	}
	listener.mu.Lock()
	defer listener.mu.Unlock()
	callers, readiness := slices.Index(listener.addresses, "callers"), slices.Index(listener.addresses, "readiness")
	if callers != 0 || readiness < 0 || len(listener.addresses) != 3 {
		t.Errorf("listened on %v", listener.addresses)
	}
}

// Endpoints that are missing after an outage are kept until a live one has registered again, but not for longer
// than the VM may be out of date.
func TestMissingGrace(t *testing.T) {
	now := time.Now()
	for _, tc := range []struct {
		name         string
		unansweredAt time.Time
		want         time.Duration
	}{
		{"the store has always responded", time.Time{}, expiryGrace},
		{"the outage may have ended just now", now.Add(-100 * time.Millisecond), expiryGrace},
		{"the outage may have ended some time ago", now.Add(-1100 * time.Millisecond), 1700 * time.Millisecond},
		{"the outage may have ended long ago", now.Add(-5 * time.Second), 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := missingGrace(now, tc.unansweredAt, 3*time.Second); got != tc.want {
				t.Errorf("kept for %v, want %v", got, tc.want)
			}
		})
	}
}
