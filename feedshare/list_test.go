package feedshare

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/springweir/springweir/feedshare/feedpb"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/internal/network"
	"github.com/springweir/springweir/table"
	"github.com/springweir/springweir/table/memtable"
)

// clientOf returns a client whose queries all go to handler.
func clientOf(handler http.Handler) *Client {
	client := NewClient(network.TCP())
	client.http.Transport = roundTrip(func(r *http.Request) (*http.Response, error) {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		return w.Result(), nil
	})
	return client
}

// commit writes a row of any table.
func commit(t *testing.T, store *memtable.Table, k table.Key) {
	t.Helper()
	if _, err := store.Commit(t.Context(), table.Txn{Writes: []table.Write{{Key: k, Value: []byte("1")}}}); err != nil {
		t.Fatal(err)
	}
}

// emptyPoll queries a source for changes. It must return none, and a later version.
func emptyPoll(t *testing.T, s *Source, after table.Version) table.Version {
	t.Helper()
	changes, next, err := s.Changes(t.Context(), "t", after, time.Second)
	if len(changes) != 0 || next <= after || err != nil {
		t.Fatalf("after version %v: changes %v up to version %v, error %v, want a later version without changes", after, changes, next, err)
	}
	return next
}

// Guards against a VM that knows the present version of a table, reads the table again and gets it
// with an earlier version, which it refuses: it would read the whole table from the store. A table's
// version also grows without changes of its rows.
func TestListAfterEmptyPollComesFromReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := Settings{PropagationLimit: propagationLimit, CoalesceInterval: propagationLimit / 3}
		store := memtable.New()
		reader := NewSource("t", settings, store, nil, func() Position { return Position{First: true} })
		member := NewSource("t", settings, store, clientOf(Handler(reader)), func() Position { return Position{PrecedingPeers: []string{"reader"}} })
		commit(t, store, key("a"))
		var version table.Version
		for _, s := range []*Source{reader, member} {
			var err error
			if _, version, err = s.List(t.Context(), "t"); err != nil {
				t.Fatal(err)
			}
		}
		commit(t, store, table.Key{Table: "other", Row: "a"})
		emptyPoll(t, reader, version)
		version = emptyPoll(t, member, version)

		before := store.Counts().Scans
		rows, listed, err := member.List(t.Context(), "t")
		if len(rows) != 1 || listed != version || err != nil {
			t.Errorf("listed %d rows at version %v, error %v, want 1 at version %v", len(rows), listed, err, version)
		}
		if n := store.Counts().Scans - before; n != 0 {
			t.Errorf("the VM sent %d queries to the store, want 0: its reader has the table", n)
		}
	})
}

// Guards against the rows being encoded again for every VM that asks, and against responses in flight
// that change with the table.
func TestRowsAreEncodedOncePerChange(t *testing.T) {
	c := newCache(time.Minute)
	c.reset([]table.Row{{Key: key("a"), Version: 1}}, 1, clock.Now())
	first := mustEncode(t, c, 1)
	sent := bytes.Clone(first)
	c.apply(1, nil, 5, clock.Now())
	if again := mustEncode(t, c, 5); &again[0] != &first[0] {
		t.Error("the rows were encoded again although none has changed")
	}
	c.apply(5, []table.Change{{Row: table.Row{Key: key("b"), Version: 6}}}, 6, clock.Now())
	if changed := mustEncode(t, c, 6); len(changed) <= len(first) {
		t.Error("the encoded rows lack a change")
	}
	c.reset(nil, 7, clock.Now())
	if rows := mustEncode(t, c, 7); len(rows) != 0 {
		t.Errorf("an empty table has %d bytes of rows", len(rows))
	}
	if !bytes.Equal(first, sent) {
		t.Error("rows that a response may still carry were modified")
	}
}

// mustEncode returns the encoded rows of a cache that must be at a version.
func mustEncode(t *testing.T, c *cache, want table.Version) []byte {
	t.Helper()
	rows, version, err := c.encodedList(t.Context(), "t")
	if version != want || err != nil {
		t.Fatalf("encoded the rows at version %v, error %v, want version %v", version, err, want)
	}
	return rows
}

// discard is an http.ResponseWriter that drops the response.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(p []byte) (int, error) { return len(p), nil }
func (d discard) WriteHeader(int)             {}

// BenchmarkList serves a table of 10,000 rows to one VM after the other. The table's version grows
// without changes in between.
func BenchmarkList(b *testing.B) {
	var rows []table.Row
	for i := range 10_000 {
		rows = append(rows, table.Row{Key: key(fmt.Sprint("row-", i)), Version: 1, Value: make([]byte, 300)})
	}
	source := NewSource("t", Settings{PropagationLimit: time.Hour}, nil, nil, nil)
	source.cache.reset(rows, 1, time.Now())
	handler := Handler(source)
	body, err := proto.Marshal(&feedpb.ListRequest{Table: "t"})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	version := table.Version(1)
	for b.Loop() {
		source.cache.apply(version, nil, version+1, time.Now())
		version++
		request := httptest.NewRequest(http.MethodPost, feedpb.FeedPathPrefix+"List", bytes.NewReader(body))
		handler.ServeHTTP(discard{http.Header{}}, request)
	}
}
