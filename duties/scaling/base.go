package scaling

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/table"
)

// Table is the table that holds the base endpoint count of each service, keyed by service name.
const Table = "springweir-scaling"

// baseRow is the value of a row in Table.
type baseRow struct {
	// Base is the number of endpoints with which the service was installed.
	Base int `json:"base"`
}

func baseKey(service string) table.Key { return table.Key{Table: Table, Row: service} }

// readBase returns the base of a service and the version of its row; the base is zero if the store holds none. A row that
// holds no base is to be replaced. Such a row gives an error of type *table.MalformedRowError with its version.
func readBase(ctx context.Context, rows table.Service, service string) (base int, version table.Version, err error) {
	list, err := rows.Get(ctx, baseKey(service))
	if err != nil || list[0].Version == table.Absent {
		return 0, table.Absent, err
	}
	var row baseRow
	err = json.Unmarshal(list[0].Value, &row)
	if err == nil && row.Base <= 0 {
		err = &BaseRangeError{Base: row.Base}
	}
	if err != nil {
		return 0, list[0].Version, &table.MalformedRowError{Key: baseKey(service), Version: list[0].Version, Problem: "row holds no base endpoint count", Cause: err}
	}
	return row.Base, list[0].Version, nil
}

// BaseRangeError reports a stored base that no holder writes.
type BaseRangeError struct{ Base int }

// Error implements error.
func (e *BaseRangeError) Error() string { return fmt.Sprintf("base of %d endpoints", e.Base) }

// Reason implements failure.Coded.
func (e *BaseRangeError) Reason() failure.Reason { return failure.Internal }

// writeBase stores the base of a service. It fails if the row is no longer at version.
func writeBase(ctx context.Context, rows table.Service, service string, version table.Version, base int) error {
	value, err := json.Marshal(baseRow{Base: base})
	if err != nil {
		return err
	}
	_, err = rows.Commit(ctx, table.Txn{
		Checks: []table.Check{{Key: baseKey(service), Version: version}},
		Writes: []table.Write{{Key: baseKey(service), Value: value}},
	})
	return err
}
