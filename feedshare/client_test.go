package feedshare

import (
	"context"
	"errors"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/internal/network"
	"github.com/springweir/springweir/table"
	"github.com/springweir/springweir/table/memtable"
)

// serving is a VM that follows the store and serves others over TCP.
func serving(t *testing.T) (source *Source, address string) {
	t.Helper()
	store := memtable.New()
	source = NewSource("t", Settings{PropagationLimit: within}, store, NewClient(network.TCP()), func() Position { return Position{First: true} })
	server := httptest.NewServer(Handler(source))
	t.Cleanup(server.Close)
	return source, strings.TrimPrefix(server.URL, "http://")
}

func TestTablesOverTheWire(t *testing.T) {
	source, address := serving(t)
	client := NewClient(network.TCP())
	ctx := t.Context()

	var reader *NotReaderError
	if _, _, err := client.List(ctx, address, "t"); !errors.As(err, &reader) {
		t.Errorf("a VM that has read nothing: %v", err)
	}
	row := table.Row{Key: key("a"), Version: 7, Value: []byte("1")}
	source.cache.reset([]table.Row{row}, 40, time.Now())
	rows, at, err := client.List(ctx, address, "t")
	if diff := cmp.Diff([]table.Row{row}, rows); diff != "" || at != 40 || err != nil {
		t.Errorf("at %d, %v: %s", at, err, diff)
	}

	changes := []table.Change{{Row: table.Row{Key: key("a"), Version: 43}, Deleted: true}}
	time.AfterFunc(50*time.Millisecond, func() { source.cache.apply(40, changes, 43, time.Now()) })
	got, at, err := client.Changes(ctx, address, "t", 40, 5*time.Second)
	if diff := cmp.Diff(changes, got); diff != "" || at != 43 || err != nil {
		t.Errorf("at %d, %v: %s", at, err, diff)
	}
	if got, at, err := client.Changes(ctx, address, "t", 43, 20*time.Millisecond); len(got) != 0 || at != 43 || err != nil {
		t.Errorf("no change: %v at %d, %v", got, at, err)
	}
	var gone *table.HistoryGoneError
	if _, _, err := client.Changes(ctx, address, "t", 39, time.Second); !errors.As(err, &gone) || gone.After != 39 {
		t.Errorf("changes that are not kept: %v", err)
	}
	var behind *BehindError
	if _, _, err := client.Changes(ctx, address, "t", 50, 20*time.Millisecond); !errors.As(err, &behind) {
		t.Errorf("a version that is not known yet: %v", err)
	}
	source.cache.lost()
	if _, _, err := client.Changes(ctx, address, "t", 43, time.Second); !errors.As(err, &reader) {
		t.Errorf("a VM without news: %v", err)
	}
	var silent *UnreachableError
	if _, _, err := client.List(ctx, address, "unknown"); !errors.As(err, &silent) {
		t.Errorf("a table that is not followed: %v", err)
	}
}

// How old a change may be is passed on with it, and the time that it lay at a VM counts.
func TestAgeOfAChangeOverTheWire(t *testing.T) {
	source, address := serving(t)
	source.cache.reset(nil, 40, time.Now())
	told := table.Change{Row: table.Row{Key: key("a"), Version: 43}, NotBefore: time.Now().Add(-300 * time.Millisecond)}
	source.cache.apply(40, []table.Change{told}, 43, time.Now())
	time.Sleep(50 * time.Millisecond)
	got, _, err := NewClient(network.TCP()).Changes(t.Context(), address, "t", 40, time.Second)
	if err != nil || len(got) != 1 {
		t.Fatal(got, err)
	}
	if age := time.Since(got[0].NotBefore); age < 350*time.Millisecond || age > 2*time.Second {
		t.Errorf("the change is told to be %v old at the most", age)
	}
}

// A VM that takes a connection and says nothing costs no more than the wait.
func TestSilentVMIsGivenUp(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, _, err = NewClient(network.TCP()).List(ctx, l.Addr().String(), "t")
	var silent *UnreachableError
	if !errors.As(err, &silent) {
		t.Errorf("got %v", err)
	}
}
