package fakefleet

import (
	"context"
	"sync/atomic"

	"github.com/springweir/springweir/peer/fakenet"
	"github.com/springweir/springweir/table"
)

// TableView is one VM's connection to the table, which can be partitioned.
type TableView struct {
	table.Service
	partitioned atomic.Bool
}

// SetPartitioned partitions or reconnects the VM and the table.
func (v *TableView) SetPartitioned(partitioned bool) { v.partitioned.Store(partitioned) }

func (v *TableView) err() error {
	if !v.partitioned.Load() {
		return nil
	}
	return &table.UnavailableError{Cause: &fakenet.UnreachableError{To: "table"}}
}

// Get implements table.Service.
func (v *TableView) Get(ctx context.Context, keys ...table.Key) ([]table.Row, error) {
	if err := v.err(); err != nil {
		return nil, err
	}
	return v.Service.Get(ctx, keys...)
}

// Commit implements table.Service.
func (v *TableView) Commit(ctx context.Context, txn table.Txn) ([]table.Version, error) {
	if err := v.err(); err != nil {
		return nil, err
	}
	return v.Service.Commit(ctx, txn)
}
