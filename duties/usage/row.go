package usage

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/springweir/springweir/table"
)

// Table is the table that holds the sums of windows, from before they are first reported.
const Table = "springweir-usage"

// record is a sum as a row of the table holds it: JSON, compressed, since that of thousands of
// organisations would not fit.
type record struct {
	// ID is of the write that made the row.
	ID     string            `json:"id"`
	Counts map[string]uint64 `json:"counts"`
}

// rowKey names a window's row.
func rowKey(w Window) table.Key { return table.Key{Table: Table, Row: fmt.Sprintf("%012d", uint64(w))} }

// encode cannot fail: the record holds only strings and numbers, and goes to memory.
func (r record) encode() []byte {
	var out bytes.Buffer
	z := gzip.NewWriter(&out)
	if err := errors.Join(json.NewEncoder(z).Encode(r), z.Close()); err != nil {
		panic(err)
	}
	return out.Bytes()
}

// decode reads a row. The error is *table.MalformedRowError.
func decode(row table.Row) (record, error) {
	var r record
	z, err := gzip.NewReader(bytes.NewReader(row.Value))
	if err == nil {
		var text []byte
		text, err = io.ReadAll(z)
		err = errors.Join(err, json.Unmarshal(text, &r))
	}
	if err != nil {
		return record{}, &table.MalformedRowError{Key: row.Key, Version: row.Version, Problem: "no sum of a window", Cause: err}
	}
	return r, nil
}

// read returns the sum of a window as the store holds it, or nil if it holds none.
func read(ctx context.Context, rows table.Service, w Window) (map[string]uint64, error) {
	list, err := rows.Get(ctx, rowKey(w))
	if err != nil || list[0].Version == table.Absent {
		return nil, err
	}
	r, err := decode(list[0])
	return r.Counts, err
}

// isConflict tells whether a write met a row that was there already.
func isConflict(err error) bool {
	var conflict *table.ConflictError
	return errors.As(err, &conflict)
}
