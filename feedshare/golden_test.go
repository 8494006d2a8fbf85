package feedshare

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"github.com/springweir/springweir/feedshare/feedpb"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/internal/network"
	"github.com/springweir/springweir/table"
)

const goldenTable = "springweir-vms"

func goldenRow(row string, version table.Version, value string) table.Row {
	r := table.Row{Key: table.Key{Table: goldenTable, Row: row}, Version: version}
	if value != "" {
		r.Value = []byte(value)
	}
	return r
}

// goldenRows are the rows of a table at version 41: a single one, because a listing has no order.
func goldenRows() []table.Row { return []table.Row{goldenRow("vm-1", 40, "first")} }

// goldenChanges are the changes from version 41 to 44.
func goldenChanges() []table.Change {
	return []table.Change{
		{Row: goldenRow("vm-2", 43, "third"), NotBefore: clock.Now().Add(-299 * time.Millisecond)},
		{Row: goldenRow("vm-1", 44, ""), Deleted: true},
	}
}

// roundTrip is an http.RoundTripper.
type roundTrip func(*http.Request) (*http.Response, error)

func (f roundTrip) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// goldenServer returns a handler that serves the rows and, if set, the changes, as read from a store.
func goldenServer(changes []table.Change) http.Handler {
	s := NewSource(goldenTable, Settings{}, nil, nil, nil)
	s.cache.reset(goldenRows(), 41, clock.Now())
	if changes != nil {
		s.cache.apply(41, changes, 44, clock.Now())
	}
	return Handler(s)
}

// exchange has a Client query a handler, and returns the request with its path, and the response.
func exchange(handler http.Handler, query func(*Client)) (request, response []byte) {
	client := NewClient(network.TCP())
	client.http.Transport = roundTrip(func(r *http.Request) (*http.Response, error) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return nil, err
		}
		request = append([]byte(r.Method+" "+r.URL.Path+" "+r.Header.Get("Content-Type")+"\n"), body...)
		r.Body = io.NopCloser(bytes.NewReader(body))
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		response = bytes.Clone(w.Body.Bytes())
		return w.Result(), nil
	})
	query(client)
	return request, response
}

// goldenMessages returns the messages by file name. It checks that the client reads the rows and
// changes from the responses of the handlers.
func goldenMessages(t *testing.T, list, changes http.Handler) map[string][]byte {
	messages := map[string][]byte{}
	messages["list-request"], messages["list-response"] = exchange(list, func(c *Client) {
		rows, version, err := c.List(t.Context(), "vm", goldenTable)
		if diff := cmp.Diff(goldenRows(), rows); diff != "" || version != 41 || err != nil {
			t.Errorf("listed version %d, want 41 (%v), rows differ (-want +got):\n%s", version, err, diff)
		}
	})
	messages["changes-request"], messages["changes-response"] = exchange(changes, func(c *Client) {
		got, version, err := c.Changes(t.Context(), "vm", goldenTable, 41, 700*time.Millisecond)
		want := goldenChanges()
		want[0].NotBefore = want[0].NotBefore.Add(-time.Millisecond) // ages are rounded up
		if diff := cmp.Diff(want, got); diff != "" || version != 44 || err != nil {
			t.Errorf("read up to version %d, want 44 (%v), changes differ (-want +got):\n%s", version, err, diff)
		}
	})
	return messages
}

// TestGoldenMessages fails if a VM of another build no longer understands the queries or responses,
// because a path, or the number or meaning of a field, has changed.
func TestGoldenMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for name, data := range goldenMessages(t, goldenServer(nil), goldenServer(goldenChanges())) {
			if golden := readGolden(t, name); !bytes.Equal(data, golden) {
				t.Errorf("%s: sent\n%q, want\n%q", name, data, golden)
			}
		}
		goldenMessages(t, replay(t, "list-response"), replay(t, "changes-response"))
		decodesTo(t, "list-request", &feedpb.ListRequest{Table: goldenTable})
		decodesTo(t, "changes-request", &feedpb.ChangesRequest{Table: goldenTable, After: 41, WaitMs: 700})
	})
}

// replay returns a handler that responds with a golden file.
func replay(t *testing.T, name string) http.Handler {
	data := readGolden(t, name)
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/protobuf")
		_, _ = w.Write(data)
	})
}

// decodesTo checks the body of a golden request.
func decodesTo(t *testing.T, name string, want proto.Message) {
	t.Helper()
	_, body, _ := bytes.Cut(readGolden(t, name), []byte("\n"))
	got := want.ProtoReflect().New().Interface()
	if err := proto.Unmarshal(body, got); err != nil || !proto.Equal(got, want) {
		t.Errorf("%s decodes to\n%v (%v), want\n%v", name, got, err, want)
	}
}

func readGolden(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", name+".golden"))
	if err != nil {
		t.Fatal(err)
	}
	return data
}
