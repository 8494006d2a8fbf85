package usage

import (
	"bytes"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/springweir/springweir/duties/usage/usagepb"
	"github.com/springweir/springweir/table"
)

const goldenWindow Window = 480001

var (
	goldenSum    = record{ID: "WRITE1", Counts: map[string]uint64{"org-a": 7, "org-b": 1 << 40}}
	goldenRemote = &usagepb.Account{Vm: "vm-2", Zone: "zone-b", Boot: 0xb008, Window: uint64(goldenWindow), Organisation: []uint64{0xabc, 0xdef}, Count: []uint32{7, 300}, Sealed: 479999, SilentMs: 40}
	goldenLocal  = &usagepb.Account{Vm: "vm-1", Zone: "zone-a", Boot: 0xb007, Window: uint64(goldenWindow), Organisation: []uint64{Hash("org-a")}, Count: []uint32{2}, Sealed: 480000}
)

// goldenRow returns the table, the key and the value of a window's row, one per line.
func goldenRow() []byte {
	key := rowKey(goldenWindow)
	return bytes.Join([][]byte{[]byte(key.Table), []byte(key.Row), goldenSum.encode()}, []byte("\n"))
}

// TestGoldenRow fails if another build no longer finds or reads the stored sum of a window, because
// the key, a JSON name or the compression has changed: it could then report a different sum. The
// compressed bytes also depend on the Go release.
func TestGoldenRow(t *testing.T) {
	golden := readGolden(t, "window")
	parts := bytes.SplitN(golden, []byte("\n"), 3)
	r, err := decode(table.Row{Key: table.Key{Table: string(parts[0]), Row: string(parts[1])}, Value: parts[2]})
	if err != nil || r.ID != goldenSum.ID || !maps.Equal(r.Counts, goldenSum.Counts) {
		t.Errorf("the golden row decodes to %+v (%v), want %+v", r, err, goldenSum)
	}
	if row := goldenRow(); !bytes.Equal(row, golden) {
		t.Errorf("encoded\n%q\nwant\n%q", row, golden)
	}
}

// goldenLedger returns a ledger with fixed clocks that has counted two requests and received the
// account of another process.
func goldenLedger() *Ledger {
	now := func() time.Time { return goldenWindow.end(time.Minute).Add(-time.Second) }
	l := NewLedger(Identity{VM: "vm-1", Zone: "zone-a"}, time.Minute, now, now)
	l.local.boot = 0xb007
	l.RequestStarted("org-a")
	l.RequestStarted("org-a")
	l.Take(goldenRemote)
	return l
}

// roundTrip is an http.RoundTripper.
type roundTrip func(*http.Request) (*http.Response, error)

func (f roundTrip) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// goldenMessages has a Client read the accounts of a ledger, and returns the messages by file name:
// the request with its path, the response, and the change that the ledger sends in datagrams.
func goldenMessages(t *testing.T) map[string][]byte {
	ledger, messages := goldenLedger(), map[string][]byte{}
	transport := roundTrip(func(r *http.Request) (*http.Response, error) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return nil, err
		}
		messages["read-request"] = append([]byte(r.Method+" "+r.URL.Path+" "+r.Header.Get("Content-Type")+"\n"), body...)
		r.Body = io.NopCloser(bytes.NewReader(body))
		w := httptest.NewRecorder()
		Handler(ledger).ServeHTTP(w, r)
		messages["read-response"] = bytes.Clone(w.Body.Bytes())
		return w.Result(), nil
	})
	client := &Client{http: &http.Client{Transport: transport}, addresses: func() []string { return []string{"vm"} }}
	if list := client.Read(t.Context(), goldenWindow); len(list) != 1 || len(list[0]) != 2 {
		t.Fatalf("read %v, want two accounts", list)
	}
	due, err := proto.MarshalOptions{Deterministic: true}.Marshal(&usagepb.ReadResponse{Accounts: ledger.Due(false)})
	if err != nil {
		t.Fatal(err)
	}
	messages["due"] = due
	return messages
}

// TestGoldenMessages fails if VMs of another build no longer understand the messages of the ledger,
// because a path, or the number or meaning of a field, has changed.
func TestGoldenMessages(t *testing.T) {
	for name, data := range goldenMessages(t) {
		if golden := readGolden(t, name); !bytes.Equal(data, golden) {
			t.Errorf("%s: sent\n%q, want\n%q", name, data, golden)
		}
	}
	_, body, _ := bytes.Cut(readGolden(t, "read-request"), []byte("\n"))
	decodesTo(t, body, &usagepb.ReadRequest{Window: uint64(goldenWindow)})
	decodesTo(t, readGolden(t, "read-response"), &usagepb.ReadResponse{Accounts: []*usagepb.Account{goldenLocal, goldenRemote}})
	decodesTo(t, readGolden(t, "due"), &usagepb.ReadResponse{Accounts: []*usagepb.Account{goldenLocal}})
}

func decodesTo(t *testing.T, data []byte, want proto.Message) {
	t.Helper()
	got := want.ProtoReflect().New().Interface()
	if err := proto.Unmarshal(data, got); err != nil || !proto.Equal(got, want) {
		t.Errorf("the golden message decodes to\n%v (%v), want\n%v", got, err, want)
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
