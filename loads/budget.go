package loads

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/table"
	"github.com/springweir/springweir/weightstore"
)

// The rows of the budget. A slot is the right to one fetch at a time, at the store's rate divided
// by its concurrency. A demand row holds the highest weight among the loads that a zone has no slot
// for.
const (
	tableName    = "loads"
	slotPrefix   = "slot/"
	demandPrefix = "wish/"
	// maxDemandRows bounds the number of zones whose demand is read.
	maxDemandRows = 64
)

// Allocation is the value of a slot's row. The zero Allocation is a free slot.
type Allocation struct {
	// ID is the ID of the write that claimed the slot.
	ID string `json:"id,omitempty"`
	// Holder is the planner's process instance, and Zone its availability zone.
	Holder string `json:"holder,omitempty"`
	Zone   string `json:"zone,omitempty"`
	// Engine and Artifact identify the load.
	Engine   string               `json:"engine,omitempty"`
	Artifact weightstore.Artifact `json:"artifact"`
	// Renewals counts the renewals, each of which thereby changes the row's version.
	Renewals uint64 `json:"beat,omitempty"`
}

// demandRow is the value of a zone's demand row.
type demandRow struct {
	ID       string  `json:"id"`
	Weight   float64 `json:"weight"`
	Renewals uint64  `json:"beat"`
}

// Slot is a slot as last read.
type Slot struct {
	Number     int
	Version    table.Version
	Allocation Allocation
	// Free is set when the slot has no holder, or when another process holds it and has not renewed
	// it for the expiry.
	Free bool
}

// View is the budget as last read.
type View struct {
	Slots []Slot
	// CompetingDemand lists the weights that other zones have posted and that have not expired.
	CompetingDemand []float64
}

// FreeSlots returns the numbers of the free slots.
func (v View) FreeSlots() []int {
	var free []int
	for _, s := range v.Slots {
		if s.Free {
			free = append(free, s.Number)
		}
	}
	return free
}

// CorruptError reports a row whose value cannot be decoded or encoded.
type CorruptError struct {
	Key   table.Key
	Cause error
}

// Error implements error.
func (e *CorruptError) Error() string { return fmt.Sprintf("row %s is corrupt: %v", e.Key, e.Cause) }

// Reason implements failure.Coded.
func (e *CorruptError) Reason() failure.Reason { return failure.Internal }

// Unwrap returns the cause.
func (e *CorruptError) Unwrap() error { return e.Cause }

// Budget stores the allocation of the slots in the table. It is not safe for concurrent use.
//
// Invariants:
//
//   - Every write is conditional on the version that was read, so only one of two planners gets a
//     slot.
//   - Which slots are held is read from the rows and never inferred from the response to a write,
//     so a write with a lost response is resolved by the next Read.
//   - Other planners free a slot only after its row has been unchanged for the expiry, by the
//     observer's monotonic clock. The slot of a failed holder is thus reclaimed, and a live holder
//     keeps its slot by renewing it.
//
// A paused holder may lose its slot while its engine is still fetching. The store's own limit then
// holds: the engine's fetch is refused and retried.
type Budget struct {
	table  table.Service
	slots  int
	holder string
	zone   string
	// expiry is how long an unchanged row counts as held.
	expiry   time.Duration
	seen     map[table.Key]observedVersion
	renewals uint64
}

// observedVersion is a version of a row and when it was first observed.
type observedVersion struct {
	version table.Version
	since   time.Duration
}

// DefaultExpiry is how long an unchanged allocation counts as held; RenewInterval is the time
// between renewals by its holder.
const (
	DefaultExpiry = 30 * time.Second
	RenewInterval = 8 * time.Second
)

// NewBudget returns the budget for the process instance holder of a zone.
func NewBudget(t table.Service, limits weightstore.Limits, holder, zone string, expiry time.Duration) *Budget {
	return &Budget{
		table: t, slots: limits.Concurrent, holder: holder, zone: zone, expiry: expiry,
		seen: make(map[table.Key]observedVersion),
	}
}

// SlotRate returns the fetch rate of one slot in bytes per second.
func SlotRate(l weightstore.Limits) float64 {
	return float64(l.BytesPerSecond) / float64(max(1, l.Concurrent))
}

func slotKey(n int) table.Key {
	return table.Key{Table: tableName, Row: slotPrefix + strconv.Itoa(n)}
}

func demandKey(zone string) table.Key { return table.Key{Table: tableName, Row: demandPrefix + zone} }

// Read reads the budget at now, by one read of all slots and one scan of the demand rows. It
// returns errors of the table or a *CorruptError.
func (b *Budget) Read(ctx context.Context, now time.Duration) (View, error) {
	var v View
	keys := make([]table.Key, b.slots)
	for i := range keys {
		keys[i] = slotKey(i)
	}
	rows, err := b.table.Get(ctx, keys...)
	if err != nil {
		return v, eris.Wrap(err, "read the budget's slots")
	}
	for i, row := range rows {
		slot := Slot{Number: i, Version: row.Version}
		if err := decode(row, &slot.Allocation); err != nil {
			return v, err
		}
		slot.Free = slot.Allocation.Holder == "" || slot.Allocation.Holder != b.holder && b.expired(now, row)
		v.Slots = append(v.Slots, slot)
	}
	v.CompetingDemand, err = b.competingDemand(ctx, now)
	return v, err
}

// competingDemand reads the demand of the other zones.
func (b *Budget) competingDemand(ctx context.Context, now time.Duration) ([]float64, error) {
	rows, err := b.table.Scan(ctx, tableName, demandPrefix, "", maxDemandRows)
	if err != nil {
		return nil, eris.Wrap(err, "read the zones' demand")
	}
	var out []float64
	for _, row := range rows {
		var demand demandRow
		if err := decode(row, &demand); err != nil {
			return nil, err
		}
		sameZone := strings.TrimPrefix(row.Key.Row, demandPrefix) == b.zone
		if !sameZone && demand.Weight > 0 && !b.expired(now, row) {
			out = append(out, demand.Weight)
		}
	}
	sort.Float64s(out)
	return out, nil
}

// decode unmarshals a row's value; an absent row leaves into unchanged.
func decode(row table.Row, into any) error {
	if row.Version == table.Absent {
		return nil
	}
	if err := json.Unmarshal(row.Value, into); err != nil {
		return &CorruptError{Key: row.Key, Cause: err}
	}
	return nil
}

// expired reports whether the row has been unchanged for the expiry.
func (b *Budget) expired(now time.Duration, row table.Row) bool {
	last, known := b.seen[row.Key]
	if !known || last.version != row.Version {
		b.seen[row.Key] = observedVersion{row.Version, now}
		return false
	}
	return now-last.since >= b.expiry
}

// Claim claims a free slot for a load, under the given write ID. After any error except a
// *table.ConflictError the slot may be held; the next Read resolves it.
func (b *Budget) Claim(ctx context.Context, s Slot, id string, load Load) error {
	return b.write(ctx, s, Allocation{ID: id, Holder: b.holder, Zone: b.zone, Engine: load.Engine, Artifact: load.Artifact})
}

// Renew extends the allocation of a slot that this planner holds.
func (b *Budget) Renew(ctx context.Context, s Slot) error {
	allocation := s.Allocation
	allocation.Renewals++
	return b.write(ctx, s, allocation)
}

// Release frees a slot that this planner holds.
func (b *Budget) Release(ctx context.Context, s Slot) error { return b.write(ctx, s, Allocation{}) }

// Adopt takes over a slot that an earlier planner of the same zone holds, so that its load is
// resumed or undone. The zone's lease allows only one planner.
func (b *Budget) Adopt(ctx context.Context, s Slot) error {
	allocation := s.Allocation
	allocation.Holder = b.holder
	allocation.Renewals++
	return b.write(ctx, s, allocation)
}

// HeldSlots returns the slots that this planner holds and, as orphans, those held by earlier
// planners of its zone.
func (b *Budget) HeldSlots(v View) (held, orphans []Slot) {
	for _, s := range v.Slots {
		switch {
		case s.Allocation.Holder == b.holder:
			held = append(held, s)
		case s.Allocation.Zone == b.zone && s.Allocation.Holder != "":
			orphans = append(orphans, s)
		}
	}
	return held, orphans
}

func (b *Budget) write(ctx context.Context, s Slot, allocation Allocation) error {
	return b.commit(ctx, slotKey(s.Number), s.Version, allocation)
}

// PostDemand posts the highest weight among the loads that have no slot; zero withdraws it. It
// expires unless it is posted again at each renewal.
func (b *Budget) PostDemand(ctx context.Context, id string, weight float64) error {
	rows, err := b.table.Get(ctx, demandKey(b.zone))
	if err != nil {
		return eris.Wrap(err, "read the zone's demand")
	}
	b.renewals++
	return b.commit(ctx, rows[0].Key, rows[0].Version, demandRow{ID: id, Weight: weight, Renewals: b.renewals})
}

func (b *Budget) commit(ctx context.Context, key table.Key, version table.Version, value any) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return &CorruptError{Key: key, Cause: err}
	}
	_, err = b.table.Commit(ctx, table.Txn{
		Checks: []table.Check{{Key: key, Version: version}},
		Writes: []table.Write{{Key: key, Value: raw}},
	})
	return eris.Wrap(err, "write "+key.String())
}
