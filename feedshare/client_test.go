package feedshare

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/internal/network"
	"github.com/springweir/springweir/table"
	"github.com/springweir/springweir/table/memtable"
)

// startServer starts a VM that reads from the store and serves its table over TCP.
func startServer(t *testing.T) (source *Source, address string) {
	t.Helper()
	store := memtable.New()
	source = NewSource("t", Settings{PropagationLimit: propagationLimit}, store, NewClient(network.TCP()), func() Position { return Position{First: true} })
	server := httptest.NewServer(Handler(source))
	t.Cleanup(server.Close)
	return source, strings.TrimPrefix(server.URL, "http://")
}

// Guards against queries over idle connections that have fallen silent like the one that was noticed.
func TestCloseIdleClosesConnections(t *testing.T) {
	source, _ := startServer(t)
	source.cache.reset(nil, 1, time.Now())
	var opened atomic.Int32
	server := httptest.NewUnstartedServer(Handler(source))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	client := NewClient(network.TCP())
	list := func(wantOpened int32) {
		t.Helper()
		if _, _, err := client.List(t.Context(), strings.TrimPrefix(server.URL, "http://"), "t"); err != nil {
			t.Fatal(err)
		}
		if got := opened.Load(); got != wantOpened {
			t.Errorf("%d connections were opened, want %d", got, wantOpened)
		}
	}
	list(1)
	list(1)
	client.CloseIdle()
	list(2)
}

func TestListAndChangesOverHTTP(t *testing.T) {
	source, address := startServer(t)
	client := NewClient(network.TCP())
	ctx := t.Context()

	var notReadYet *NotReadYetError
	var notReader *NotReaderError
	if _, _, err := client.List(ctx, address, "t"); !errors.As(err, &notReadYet) {
		t.Errorf("before the first read from the store: %v", err)
	}
	row := table.Row{Key: key("a"), Version: 7, Value: []byte("1")}
	source.cache.reset([]table.Row{row}, 40, time.Now())
	rows, version, err := client.List(ctx, address, "t")
	if diff := cmp.Diff([]table.Row{row}, rows); diff != "" || version != 40 || err != nil {
		t.Errorf("version %d, error %v, diff: %s", version, err, diff)
	}

	changes := []table.Change{{Row: table.Row{Key: key("a"), Version: 43}, Deleted: true}}
	time.AfterFunc(50*time.Millisecond, func() { source.cache.apply(40, changes, 43, time.Now()) })
	got, version, err := client.Changes(ctx, address, "t", 40, 5*time.Second)
	if diff := cmp.Diff(changes, got); diff != "" || version != 43 || err != nil {
		t.Errorf("version %d, error %v, diff: %s", version, err, diff)
	}
	if got, version, err := client.Changes(ctx, address, "t", 43, 20*time.Millisecond); len(got) != 0 || version != 43 || err != nil {
		t.Errorf("without a change: got %v at version %d, error %v", got, version, err)
	}
	var historyGone *table.HistoryGoneError
	if _, _, err := client.Changes(ctx, address, "t", 39, time.Second); !errors.As(err, &historyGone) || historyGone.After != 39 {
		t.Errorf("changes older than the history: %v", err)
	}
	var behindErr *BehindError
	if _, _, err := client.Changes(ctx, address, "t", 50, 20*time.Millisecond); !errors.As(err, &behindErr) {
		t.Errorf("a version that the server has not reached: %v", err)
	}
	source.cache.markUnavailable()
	if _, _, err := client.Changes(ctx, address, "t", 43, time.Second); !errors.As(err, &notReader) {
		t.Errorf("after a failure of the store: %v", err)
	}
	var unreachable *UnreachableError
	if _, _, err := client.List(ctx, address, "unknown"); !errors.As(err, &unreachable) {
		t.Errorf("a table that the VM doesn't follow: %v", err)
	}
}

// The greatest possible age of a change is sent with it and includes the time for which the
// serving VM has held it.
func TestChangeAgeOverHTTP(t *testing.T) {
	source, address := startServer(t)
	source.cache.reset(nil, 40, time.Now())
	change := table.Change{Row: table.Row{Key: key("a"), Version: 43}, NotBefore: time.Now().Add(-300 * time.Millisecond)}
	source.cache.apply(40, []table.Change{change}, 43, time.Now())
	time.Sleep(50 * time.Millisecond)
	got, _, err := NewClient(network.TCP()).Changes(t.Context(), address, "t", 40, time.Second)
	if err != nil || len(got) != 1 {
		t.Fatal(got, err)
	}
	if age := time.Since(got[0].NotBefore); age < 350*time.Millisecond || age > 2*time.Second {
		t.Errorf("the greatest possible age of the change is %v, want 350 ms to 2 s", age)
	}
}

// A VM that accepts a connection and never responds must not block beyond the caller's deadline.
func TestUnresponsiveVMTimesOut(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, _, err = NewClient(network.TCP()).List(ctx, listener.Addr().String(), "t")
	var unreachable *UnreachableError
	if !errors.As(err, &unreachable) {
		t.Errorf("got %v", err)
	}
}
