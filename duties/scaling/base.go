package scaling

import (
	"context"
	"encoding/json"

	"github.com/springweir/springweir/table"
)

// Table is the table that holds the base of each service, by its name.
const Table = "springweir-scaling"

// baseRow is a row of the table.
type baseRow struct {
	// Base is the number of endpoints that the service had at first.
	Base int `json:"base"`
}

func baseKey(service string) table.Key { return table.Key{Table: Table, Row: service} }

// readBase returns the base of a service, if the store holds one.
func readBase(ctx context.Context, rows table.Service, service string) (base int, known bool, err error) {
	list, err := rows.Get(ctx, baseKey(service))
	if err != nil || list[0].Version == table.Absent {
		return 0, false, err
	}
	var row baseRow
	if err := json.Unmarshal(list[0].Value, &row); err != nil {
		return 0, false, &table.MalformedRowError{Key: baseKey(service), Version: list[0].Version, Problem: "no base of a service", Cause: err}
	}
	return row.Base, true, nil
}

// writeBase makes the store hold a base, if it holds none.
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
