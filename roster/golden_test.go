package roster

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/springweir/springweir/table"
	"github.com/springweir/springweir/table/memtable"
)

var goldenVM = VM{Name: "vm-1", Zone: "zone-a", Address: "10.0.0.1:7400", Capacity: 16, Boot: "BOOT1"}

// goldenRow has a VM register, and returns the table, the key and the value of the only row, one
// per line.
func goldenRow(t *testing.T) []byte {
	rows := memtable.New()
	if !New(rows, rows, goldenVM, func([]VM) {}).register(t.Context()) {
		t.Fatal("the row was not written")
	}
	list, _, err := rows.List(t.Context(), "springweir-vms")
	if err != nil || len(list) != 1 {
		t.Fatalf("the table has %d rows, want 1 (%v)", len(list), err)
	}
	return bytes.Join([][]byte{[]byte(list[0].Key.Table), []byte(list[0].Key.Row), list[0].Value}, []byte("\n"))
}

// TestGoldenRow fails if VMs of another build no longer find this one in the table, because the key
// or a JSON name has changed.
func TestGoldenRow(t *testing.T) {
	golden, err := os.ReadFile(filepath.Join("testdata", "vm.golden"))
	if err != nil {
		t.Fatal(err)
	}
	parts := bytes.SplitN(golden, []byte("\n"), 3)
	other := New(nil, nil, VM{Name: "vm-2"}, func([]VM) {})
	other.applyList([]table.Row{{Key: table.Key{Table: string(parts[0]), Row: string(parts[1])}, Value: parts[2], Version: 1}}, false)
	if list := other.Others(); len(list) != 1 || list[0] != goldenVM {
		t.Errorf("the golden row decodes to %+v, want %+v", list, goldenVM)
	}
	if row := goldenRow(t); !bytes.Equal(row, golden) {
		t.Errorf("wrote\n%s\nwant\n%s", row, golden)
	}
}
