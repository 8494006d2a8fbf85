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

// awayFeed is a store that cannot be followed.
type awayFeed struct{}

var errAway = errors.New("the store is away")

func (awayFeed) List(context.Context, string) ([]table.Row, table.Version, error) {
	return nil, 0, errAway
}

func (awayFeed) Changes(context.Context, string, table.Version, time.Duration) ([]table.Change, table.Version, error) {
	return nil, 0, errAway
}

// opened notes the addresses that are listened on, in order. Opening the slow one takes
// a while.
type opened struct {
	slow string

	mu   sync.Mutex
	list []string
}

func (o *opened) Listen(address string) (net.Listener, error) {
	if address == o.slow {
		time.Sleep(50 * time.Millisecond)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	o.mu.Lock()
	defer o.mu.Unlock()
	o.list = append(o.list, address)
	return l, err
}

// A VM that says it is ready takes connections of callers: these can connect before the
// readiness check can be answered.
func TestCallersCanConnectBeforeTheVMIsReady(t *testing.T) {
	o := &opened{slow: "callers"}
	g := New(Settings{VM: "vm", Zone: "a", Callers: "callers", Readiness: "readiness", Peers: "127.0.0.1:0"}, Platform{
		Rows: memtable.New(), Feed: awayFeed{}, CloseStaleConnections: func(*directory.Snapshot) {},
	}, network.Network{Listen: o.Listen})
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	if err := g.Run(ctx); err != nil {
		t.Fatal(err)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	callers, readiness := slices.Index(o.list, "callers"), slices.Index(o.list, "readiness")
	if callers != 0 || readiness < 0 || len(o.list) != 3 {
		t.Errorf("listened on %v", o.list)
	}
}
