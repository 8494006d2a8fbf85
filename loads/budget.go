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

// The rows of the budget. A slot is the right to one fetch at a time, at the
// store's rate divided by its concurrency. A wish is the most wanted load that
// a zone has no slot for.
const (
	tableName  = "loads"
	slotPrefix = "slot/"
	wishPrefix = "wish/"
	// maxWishes bounds the zones read.
	maxWishes = 64
)

// Allocation is the value of a slot's row. The zero Allocation is a free slot.
type Allocation struct {
	// ID is the id of the write that claimed it.
	ID string `json:"id,omitempty"`
	// Holder is the planner's process instance, Zone its zone.
	Holder string `json:"holder,omitempty"`
	Zone   string `json:"zone,omitempty"`
	// Engine and Artifact tell what it is for.
	Engine   string               `json:"engine,omitempty"`
	Artifact weightstore.Artifact `json:"artifact"`
	// Beat grows with each renewal, so that the row's version moves.
	Beat uint64 `json:"beat,omitempty"`
}

// wish is the value of a zone's wish row.
type wish struct {
	ID     string  `json:"id"`
	Weight float64 `json:"weight"`
	Beat   uint64  `json:"beat"`
}

// Slot is a slot as last read.
type Slot struct {
	Number     int
	Version    table.Version
	Allocation Allocation
	// Free is set when nobody holds it, or when its holder has not renewed it
	// for the whole expiry.
	Free bool
}

// View is the budget as last read.
type View struct {
	Slots []Slot
	// CompetingDemand are the weights that other zones have posted and renewed lately.
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

// CorruptError is a row that cannot be understood.
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

// Budget keeps the shares in the table. It is used by one goroutine.
//
// Invariants: every write is conditional on the version that was read, so of
// two planners one gets a slot; what is held is read from the rows and never
// assumed from a write's answer, so a write with a lost answer is settled by
// the next Read; a slot is freed by others only after its row stood unchanged
// for Expiry of the observer's own monotonic clock, so a dead holder's share
// comes back and a live holder that renews keeps it. A paused holder may lose
// its share while its engine still fetches: the store's own limit then holds,
// and the engine's fetch is refused and tried again.
type Budget struct {
	table  table.Service
	slots  int
	holder string
	zone   string
	// expiry is how long an unchanged row counts as held.
	expiry time.Duration
	seen   map[table.Key]sighting
	beat   uint64
}

// sighting is when a version of a row was first seen.
type sighting struct {
	version table.Version
	at      time.Duration
}

// DefaultExpiry is how long an unchanged share counts as held; RenewInterval is
// how often a holder renews.
const (
	DefaultExpiry = 30 * time.Second
	RenewInterval = 8 * time.Second
)

// NewBudget returns the budget as the process instance holder sees it.
func NewBudget(t table.Service, limits weightstore.Limits, holder, zone string, expiry time.Duration) *Budget {
	return &Budget{
		table: t, slots: limits.Concurrent, holder: holder, zone: zone, expiry: expiry,
		seen: make(map[table.Key]sighting),
	}
}

// SlotRate is the bytes a second that one slot stands for.
func SlotRate(l weightstore.Limits) float64 {
	return float64(l.BytesPerSecond) / float64(max(1, l.Concurrent))
}

func slotKey(n int) table.Key {
	return table.Key{Table: tableName, Row: slotPrefix + strconv.Itoa(n)}
}

func wishKey(zone string) table.Key { return table.Key{Table: tableName, Row: wishPrefix + zone} }

// Read reads the budget at now: one read of all slots and one scan of wishes.
// Errors are the table's, or *CorruptError.
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
	v.CompetingDemand, err = b.rivals(ctx, now)
	return v, err
}

// rivals reads what other zones wish for.
func (b *Budget) rivals(ctx context.Context, now time.Duration) ([]float64, error) {
	rows, err := b.table.Scan(ctx, tableName, wishPrefix, "", maxWishes)
	if err != nil {
		return nil, eris.Wrap(err, "read the zones' wishes")
	}
	var out []float64
	for _, row := range rows {
		var w wish
		if err := decode(row, &w); err != nil {
			return nil, err
		}
		own := strings.TrimPrefix(row.Key.Row, wishPrefix) == b.zone
		if !own && w.Weight > 0 && !b.expired(now, row) {
			out = append(out, w.Weight)
		}
	}
	sort.Float64s(out)
	return out, nil
}

// decode reads a row's value; an absent row leaves into as it is.
func decode(row table.Row, into any) error {
	if row.Version == table.Absent {
		return nil
	}
	if err := json.Unmarshal(row.Value, into); err != nil {
		return &CorruptError{Key: row.Key, Cause: err}
	}
	return nil
}

// expired tells whether the row has stood unchanged for the expiry.
func (b *Budget) expired(now time.Duration, row table.Row) bool {
	last, known := b.seen[row.Key]
	if !known || last.version != row.Version {
		b.seen[row.Key] = sighting{row.Version, now}
		return false
	}
	return now-last.at >= b.expiry
}

// Claim takes a free slot for w, under the write id. After any error but
// *table.ConflictError the slot may be held: the next Read tells.
func (b *Budget) Claim(ctx context.Context, s Slot, id string, w Load) error {
	return b.write(ctx, s, Allocation{ID: id, Holder: b.holder, Zone: b.zone, Engine: w.Engine, Artifact: w.Artifact})
}

// Renew tells others that an own slot is still in use.
func (b *Budget) Renew(ctx context.Context, s Slot) error {
	share := s.Allocation
	share.Beat++
	return b.write(ctx, s, share)
}

// Release gives an own slot back.
func (b *Budget) Release(ctx context.Context, s Slot) error { return b.write(ctx, s, Allocation{}) }

// Adopt takes over a slot that an earlier planner of the same zone holds, so
// that its load is resumed or undone. The zone's lease allows only one planner.
func (b *Budget) Adopt(ctx context.Context, s Slot) error {
	share := s.Allocation
	share.Holder = b.holder
	share.Beat++
	return b.write(ctx, s, share)
}

// HeldSlots returns the slots that this planner holds, and Orphans those of other
// planners of its zone, whose place it has taken.
func (b *Budget) HeldSlots(v View) (own, orphans []Slot) {
	for _, s := range v.Slots {
		switch {
		case s.Allocation.Holder == b.holder:
			own = append(own, s)
		case s.Allocation.Zone == b.zone && s.Allocation.Holder != "":
			orphans = append(orphans, s)
		}
	}
	return own, orphans
}

func (b *Budget) write(ctx context.Context, s Slot, share Allocation) error {
	return b.commit(ctx, slotKey(s.Number), s.Version, share)
}

// PostDemand posts the weight of the most wanted load that has no slot; zero takes
// it back. It is posted again at each renewal, or it expires.
func (b *Budget) PostDemand(ctx context.Context, id string, weight float64) error {
	rows, err := b.table.Get(ctx, wishKey(b.zone))
	if err != nil {
		return eris.Wrap(err, "read the zone's wish")
	}
	b.beat++
	return b.commit(ctx, rows[0].Key, rows[0].Version, wish{ID: id, Weight: weight, Beat: b.beat})
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
