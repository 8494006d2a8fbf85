package poison

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/springweir/springweir/table"
	"github.com/springweir/springweir/table/memtable"
)

var goldenEntries = map[string]Entry{
	"any-origin": {Subject: Subject{Key: Key([]byte("0123456789abcdef"))}, Crashes: 3, Term: 10 * time.Minute},
	"one-origin": {Subject: Subject{Key: Key([]byte("fedcba9876543210")), Origin: 0x2a}, Crashes: 4, Term: 1500 * time.Millisecond},
}

// goldenRow has a QuarantineStore write an entry, and returns the table, the key and the value of
// the only row, one per line.
func goldenRow(t *testing.T, e Entry) []byte {
	rows := memtable.New()
	ledger := NewLedger(nil, func() time.Duration { return 0 })
	ledger.Add(e)
	if !NewQuarantineStore(ledger, rows, rows).commit(t.Context(), pendingWrite{entry: e}) {
		t.Fatal("the row was not written")
	}
	list, _, err := rows.List(t.Context(), "springweir-poison")
	if err != nil || len(list) != 1 {
		t.Fatalf("the table has %d rows, want 1 (%v)", len(list), err)
	}
	return bytes.Join([][]byte{[]byte(list[0].Key.Table), []byte(list[0].Key.Row), list[0].Value}, []byte("\n"))
}

// TestGoldenRows fails if another build, or this one after an upgrade, no longer reads the stored
// quarantine entries, because a key, a JSON name or a unit has changed.
func TestGoldenRows(t *testing.T) {
	for name, want := range goldenEntries {
		golden, err := os.ReadFile(filepath.Join("testdata", name+".golden"))
		if err != nil {
			t.Fatal(err)
		}
		parts := bytes.SplitN(golden, []byte("\n"), 3)
		e, err := decodeEntry(table.Row{Key: table.Key{Table: string(parts[0]), Row: string(parts[1])}, Value: parts[2]})
		if err != nil || e != want {
			t.Errorf("%s: the golden row decodes to %+v (%v), want %+v", name, e, err, want)
		}
		if row := goldenRow(t, want); !bytes.Equal(row, golden) {
			t.Errorf("%s: wrote\n%s\nwant\n%s", name, row, golden)
		}
	}
}
