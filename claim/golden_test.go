package claim

import (
	"bytes"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/table"
)

var goldenRecords = map[string]record{
	"claimed":  {Write: "WRITE1", State: claimed, Owner: "vm-1", Digest: goldenDigest, At: 1700000000123, Until: 1700000005123},
	"released": {Write: "WRITE2", State: released, Owner: "vm-1", Digest: goldenDigest, At: 1700000001123},
	"done": {
		Write: "WRITE3", State: done, Owner: "vm-1", Digest: goldenDigest, At: 1700000002123,
		Response: &goldenResponse,
	},
	"done-object": {Write: "WRITE4", State: done, Owner: "vm-1", Digest: goldenDigest, At: 1700000003123, Object: "OBJECT1"},
}

var (
	goldenDigest   = DigestOf("POST", "/s/slots/confirm?day=3", []byte(`{"slot":7}`))
	goldenResponse = Response{Status: 201, Header: http.Header{"Content-Type": {"application/json"}}, Body: []byte(`{"slot":7}`)}
)

// goldenRow returns the table, the key and the value of a record's row, one per line.
func goldenRow(r record) []byte {
	key := Key{Organisation: "org a", Service: "slots/1", IdempotencyKey: "slot-7"}.row()
	return bytes.Join([][]byte{[]byte(key.Table), []byte(key.Row), r.encode()}, []byte("\n"))
}

// TestGoldenRows fails if another build no longer finds or reads the stored claims, because the key,
// the digest, a JSON name or a state has changed: it could then run a call twice.
func TestGoldenRows(t *testing.T) {
	for name, want := range goldenRecords {
		golden, err := os.ReadFile(filepath.Join("testdata", name+".golden"))
		if err != nil {
			t.Fatal(err)
		}
		parts := bytes.SplitN(golden, []byte("\n"), 3)
		key := table.Key{Table: string(parts[0]), Row: string(parts[1])}
		r, err := decode(table.Row{Key: key, Value: parts[2]})
		if diff := cmp.Diff(want, r); diff != "" || err != nil {
			t.Errorf("%s: the golden row decodes to another record (%v) (-want +got):\n%s", name, err, diff)
		}
		if service := serviceOf(key); service != "slots/1" {
			t.Errorf("%s: the golden key has service %q", name, service)
		}
		if row := goldenRow(want); !bytes.Equal(row, golden) {
			t.Errorf("%s: encoded\n%s\nwant\n%s", name, row, golden)
		}
	}
}

// TestGoldenObject fails if another build no longer reads the response that a done call stored as an
// object, because a JSON name has changed.
func TestGoldenObject(t *testing.T) {
	golden, err := os.ReadFile(filepath.Join("testdata", "object.golden"))
	if err != nil {
		t.Fatal(err)
	}
	var r Response
	err = json.Unmarshal(golden, &r)
	if diff := cmp.Diff(goldenResponse, r); diff != "" || err != nil {
		t.Errorf("the golden object decodes to another response (%v) (-want +got):\n%s", err, diff)
	}
	if data := goldenResponse.encode(); !bytes.Equal(data, golden) {
		t.Errorf("encoded\n%s\nwant\n%s", data, golden)
	}
}
