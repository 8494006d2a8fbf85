package scaling

import (
	"context"
	"encoding/json"

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

// readBase returns the base of a service; found is false if the store holds none.
func readBase(ctx context.Context, rows table.Service, service string) (base int, found bool, err error) {
	list, err := rows.Get(ctx, baseKey(service))
	if err != nil || list[0].Version == table.Absent {
		return 0, false, err
	}
	var row baseRow
	if err := json.Unmarshal(list[0].Value, &row); err != nil {
		return 0, false, &table.MalformedRowError{Key: baseKey(service), Version: list[0].Version, Problem: "row holds no base endpoint count", Cause: err}
	}
	return row.Base, true, nil
}

// writeBase stores the base of a service. It fails if the store already holds one.
func writeBase(ctx context.Context, rows table.Service, service string, base int) error {
	value, err := json.Marshal(baseRow{Base: base})
	if err != nil {
		return err
	}
	_, err = rows.Commit(ctx, table.Txn{
		Checks: []table.Check{{Key: baseKey(service)}},
		Writes: []table.Write{{Key: baseKey(service), Value: value}},
	})
	return err
}
