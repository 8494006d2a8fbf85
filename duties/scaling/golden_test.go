package scaling

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/springweir/springweir/table"
	"github.com/springweir/springweir/table/memtable"
)

// goldenRow writes the base of a service, and returns the table, the key and the value of the only
// row, one per line.
func goldenRow(t *testing.T) []byte {
	rows := memtable.New()
	if err := writeBase(t.Context(), rows, "slots", table.Absent, 12); err != nil {
		t.Fatal(err)
	}
	list, _, err := rows.List(t.Context(), "springweir-scaling")
	if err != nil || len(list) != 1 {
		t.Fatalf("the table has %d rows, want 1 (%v)", len(list), err)
	}
	return bytes.Join([][]byte{[]byte(list[0].Key.Table), []byte(list[0].Key.Row), list[0].Value}, []byte("\n"))
}

// TestGoldenRow fails if another build no longer finds or reads the stored base of a service,
// because the key or the JSON name has changed.
func TestGoldenRow(t *testing.T) {
	golden, err := os.ReadFile(filepath.Join("testdata", "base.golden"))
	if err != nil {
		t.Fatal(err)
	}
	parts := bytes.SplitN(golden, []byte("\n"), 3)
	rows := memtable.New()
	write := table.Write{Key: table.Key{Table: string(parts[0]), Row: string(parts[1])}, Value: parts[2]}
	if _, err := rows.Commit(t.Context(), table.Txn{Writes: []table.Write{write}}); err != nil {
		t.Fatal(err)
	}
	if base, version, err := readBase(t.Context(), rows, "slots"); base != 12 || version == table.Absent || err != nil {
		t.Errorf("the golden row decodes to %d, version %v (%v), want 12", base, version, err)
	}
	if row := goldenRow(t); !bytes.Equal(row, golden) {
		t.Errorf("wrote\n%s\nwant\n%s", row, golden)
	}
}
