package lease

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/springweir/springweir/table"
)

var goldenRecords = map[string]Record{
	"released": {
		WriteID: "WRITE1", Holder: Identity{VM: "vm-1", Process: "PROCESS1", Address: "10.0.0.1:7400"},
		Fence: 42, TTLMillis: 6000, Epoch: 3, Released: true,
	},
	"held": {WriteID: "WRITE2", Holder: Identity{VM: "vm-2", Process: "PROCESS2", Address: "10.0.0.2:7400"}, Fence: 43, TTLMillis: 6000},
}

// goldenRow returns the table, the key and the value of a record's row, one per line.
func goldenRow(r Record) []byte {
	key := Key("pool-a", "zone-a")
	return bytes.Join([][]byte{[]byte(key.Table), []byte(key.Row), r.encode()}, []byte("\n"))
}

// TestGoldenRows fails if another build no longer finds or reads the stored leases, because a key or
// a JSON name has changed: two builds could then hold the same lease.
func TestGoldenRows(t *testing.T) {
	for name, want := range goldenRecords {
		golden, err := os.ReadFile(filepath.Join("testdata", name+".golden"))
		if err != nil {
			t.Fatal(err)
		}
		parts := bytes.SplitN(golden, []byte("\n"), 3)
		r, err := Decode(table.Row{Key: table.Key{Table: string(parts[0]), Row: string(parts[1])}, Value: parts[2]})
		if err != nil || r != want {
			t.Errorf("%s: the golden row decodes to %+v (%v), want %+v", name, r, err, want)
		}
		if row := goldenRow(want); !bytes.Equal(row, golden) {
			t.Errorf("%s: encoded\n%s\nwant\n%s", name, row, golden)
		}
	}
}
