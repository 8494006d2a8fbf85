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

// Table is the table that holds the sums of windows. A sum is written before it is first reported.
const Table = "springweir-usage"

// maxSumBytes bounds a sum that is decompressed. Sums of the largest number of organisations are well below it.
const maxSumBytes = 4 << 20

// record is the value of a row: JSON, compressed because the counts of thousands of organisations
// would otherwise exceed the size limit of a row.
type record struct {
	// ID identifies the write that created the row.
	ID     string            `json:"id"`
	Counts map[string]uint64 `json:"counts"`
}

// rowKey returns the key of a window's row.
func rowKey(w Window) table.Key { return table.Key{Table: Table, Row: fmt.Sprintf("%012d", uint64(w))} }

// encode returns the compressed record. It panics on errors, which cannot occur: the record holds
// only strings and numbers and is written to memory.
func (r record) encode() []byte {
	var out bytes.Buffer
	z := gzip.NewWriter(&out)
	if err := errors.Join(json.NewEncoder(z).Encode(r), z.Close()); err != nil {
		panic(err)
	}
	return out.Bytes()
}

// decode decodes a row. The error is *table.MalformedRowError.
func decode(row table.Row) (record, error) {
	var r record
	z, err := gzip.NewReader(bytes.NewReader(row.Value))
	if err == nil {
		var text []byte
		text, err = io.ReadAll(io.LimitReader(z, maxSumBytes+1))
		err = errors.Join(err, json.Unmarshal(text, &r))
	}
	if err == nil && r.Counts == nil {
		err = &NoCountsError{}
	}
	if err != nil {
		return record{}, &table.MalformedRowError{Key: row.Key, Version: row.Version, Problem: "row holds no window sum", Cause: err}
	}
	return r, nil
}

// readSum returns the stored sum of a window, or nil if there is none.
func readSum(ctx context.Context, rows table.Service, w Window) (map[string]uint64, error) {
	list, err := rows.Get(ctx, rowKey(w))
	if err != nil || list[0].Version == table.Absent {
		return nil, err
	}
	r, err := decode(list[0])
	return r.Counts, err
}

// isConflict reports whether a write failed because the row already exists.
func isConflict(err error) bool {
	var conflict *table.ConflictError
	return errors.As(err, &conflict)
}
