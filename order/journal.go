package order

import (
	"context"
	"crypto/rand"
	"slices"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/lease"
	"github.com/springweir/springweir/table"
)

// scanPage is the number of rows requested by one Scan.
const scanPage = 500

// Journal stores the orders in the table service. Every write checks the lease's row and the
// engine's row in the same transaction, so a process that lost its lease writes nothing, and
// two writes never start from the same row version. Rows are never deleted.
type Journal struct{ svc table.Service }

// NewJournal returns the journal stored in svc.
func NewJournal(svc table.Service) *Journal { return &Journal{svc: svc} }

// Read returns the entry of an engine. If there is none, the returned entry is not open.
func (j *Journal) Read(ctx context.Context, engineName string) (Entry, error) {
	rows, err := j.svc.Get(ctx, Key(engineName))
	if err != nil {
		return Entry{}, err
	}
	return decode(rows[0])
}

// List returns the entries of pool and zone that need work: open entries, and closed ones whose
// engine may still be withheld.
func (j *Journal) List(ctx context.Context, pool, zone string) ([]Entry, error) {
	var found []Entry
	after := ""
	for {
		rows, err := j.svc.Scan(ctx, TableName, "", after, scanPage)
		if err != nil {
			return nil, err
		}
		// A short page is not the last one: the service may return fewer rows than requested.
		if len(rows) == 0 {
			return found, nil
		}
		for _, row := range rows {
			entry, err := decode(row)
			if err != nil {
				return nil, err
			}
			owned := entry.Pool == pool && entry.Zone == zone
			if owned && (entry.IsOpen() || entry.Withheld) {
				found = append(found, entry)
			}
			after = row.Key.Row
		}
	}
}

// Open writes a new order over prev, which must not be open. Callers send the order only after
// Open has returned without an error.
func (j *Journal) Open(ctx context.Context, l *lease.Lease, prev Entry, vm string, o engine.Order) (Entry, error) {
	if prev.IsOpen() {
		return Entry{}, &OpenError{Engine: prev.Engine, OrderID: prev.Order.ID, Pool: prev.Pool, Zone: prev.Zone}
	}
	next := Entry{
		Engine:  prev.Engine,
		VM:      vm,
		Pool:    l.Pool(),
		Zone:    l.Zone(),
		Order:   o,
		version: prev.version,
	}
	return j.put(ctx, l, next.withSender(l.Holder(), l.Fence()))
}

// Adopt adds the holder of l to the senders of an open order. It must come before the holder's
// first copy, so that a successor also asks this holder for confirmation.
func (j *Journal) Adopt(ctx context.Context, l *lease.Lease, e Entry) (Entry, error) {
	if e.Pool != l.Pool() || e.Zone != l.Zone() {
		return Entry{}, &OpenError{Engine: e.Engine, OrderID: e.Order.ID, Pool: e.Pool, Zone: e.Zone}
	}
	if slices.Contains(e.Senders, SenderRecord{Identity: l.Holder(), Fence: l.Fence()}) {
		return e, nil
	}
	return j.put(ctx, l, e.withSender(l.Holder(), l.Fence()))
}

// Close closes an order with an outcome. withheld means that entry VMs may still withhold the
// engine.
func (j *Journal) Close(ctx context.Context, l *lease.Lease, e Entry, outcome Outcome, withheld bool) (Entry, error) {
	e.Outcome = outcome
	e.Withheld = withheld
	return j.put(ctx, l, e)
}

// Drop records that the holder of l has nothing of the open order in flight and will never send
// it again.
func (j *Journal) Drop(ctx context.Context, l *lease.Lease, e Entry) (Entry, error) {
	return j.put(ctx, l, e.withDropped(l.Holder()))
}

func (j *Journal) put(ctx context.Context, l *lease.Lease, e Entry) (Entry, error) {
	e.WriteID = rand.Text()
	key := Key(e.Engine)
	txn := table.Txn{
		Checks: []table.Check{{Key: key, Version: e.version}},
		Writes: []table.Write{{Key: key, Value: e.encode()}},
	}
	isOwnWrite := func(row table.Row) bool {
		stored, err := decode(row)
		return err == nil && stored.WriteID == e.WriteID
	}
	versions, err := l.Commit(ctx, txn, isOwnWrite)
	if err != nil {
		return Entry{}, err
	}
	e.version = versions[0]
	return e, nil
}
