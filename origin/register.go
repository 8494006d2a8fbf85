package origin

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"
	"k8s.io/klog/v2"

	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/internal/loop"
	"github.com/springweir/springweir/table"
)

// Table holds a row for each service: the software versions that it has ever had.
const Table = "springweir-software"

const (
	// maxVersions is how many versions a row names. A third adds nothing: streams without a record then have no known
	// origin.
	maxVersions = 2
	// registerTimeout bounds a call to the store.
	registerTimeout = 200 * time.Millisecond
	// registerRetry is the time after a failed call until the next one.
	registerRetry = time.Second
	// registerMaxAge is the age of a row from which it is read again before something is inferred from it.
	registerMaxAge = 100 * time.Millisecond
)

// registration is what is known of the software versions that a service has ever had. It outlives the VMs, whose own
// history is short, and shows that a stream without a record cannot have begun on another version.
type registration struct {
	// Versions are hashes of versions, sorted, maxVersions at most.
	Versions []uint32 `json:"versions"`
	// Complete is set once a VM has seen no further version for as long as a stream can be taken up: then none was lost
	// that was there before the row.
	Complete bool `json:"complete"`
}

// isEqual reports whether the same follows from both. Which versions there are doesn't matter once there are several.
func (r registration) isEqual(other registration) bool {
	if r.hasSeveral() || other.hasSeveral() {
		return r.hasSeveral() && other.hasSeveral()
	}
	return r.Complete == other.Complete && slices.Equal(r.Versions, other.Versions)
}

func (r registration) hasSeveral() bool { return len(r.Versions) >= maxVersions }

// merge adds what another registration of the service knows.
func (r registration) merge(other registration) registration {
	versions := slices.Concat(r.Versions, other.Versions)
	slices.Sort(versions)
	versions = slices.Compact(versions)
	return registration{Versions: versions[:min(len(versions), maxVersions)], Complete: r.Complete || other.Complete}
}

// register keeps the registrations of the services in the platform's store. It is safe for concurrent use; mu is a leaf
// lock.
//
// Invariant: versions are only added to a registration, also if the store has lost its row.
type register struct {
	rows table.Service
	// epoch returns the epoch of the store, which changes when the store was restored from a backup.
	epoch func() uint64
	// spread returns the time over which the VMs spread their writes.
	spread func() time.Duration
	now    func() time.Time
	reads  singleflight.Group

	mu    sync.Mutex
	known map[string]*knownRow
	// failedAt is when the last call failed that was not followed by a successful one; zero if there is none.
	failedAt time.Time
}

// knownRow is the row of a service as last read or written.
type knownRow struct {
	registration
	version table.Version
	epoch   uint64
	readAt  time.Time
}

func newRegister(c Config) *register {
	r := &register{rows: c.Rows, epoch: c.Epoch, spread: c.WriteSpread, now: c.Now, known: map[string]*knownRow{}}
	if r.epoch == nil {
		r.epoch = func() uint64 { return 0 }
	}
	if r.spread == nil {
		r.spread = func() time.Duration { return 0 }
	}
	return r
}

// get returns what is known of a service, and false if its row was never read.
func (r *register) get(service string) (registration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if row := r.known[service]; row != nil {
		return row.registration, true
	}
	return registration{}, false
}

// refresh reads the row of a service unless it was read a moment ago, and reports whether what is known is that recent
// then. If the store does not respond, what is known stays.
func (r *register) refresh(ctx context.Context, service string) bool {
	earliest := r.now().Add(-registerMaxAge)
	if r.isReadSince(service, earliest) {
		return true
	}
	r.mu.Lock()
	failed := r.failing()
	r.mu.Unlock()
	if failed {
		return false
	}
	_, _ = r.read(ctx, service)
	// A read that others wait for as well may have begun before this VM was suspended.
	return r.isReadSince(service, earliest)
}

// isReadSince reports whether the row of a service was read at a time or later.
func (r *register) isReadSince(service string, earliest time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	row := r.known[service]
	return row != nil && !row.readAt.Before(earliest)
}

// failing reports whether a call failed a moment ago. The caller holds mu.
func (r *register) failing() bool {
	return !r.failedAt.IsZero() && r.now().Sub(r.failedAt) < registerRetry
}

// noteCall records whether the store responded.
func (r *register) noteCall(err error) {
	var conflict *table.ConflictError
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failedAt = time.Time{}
	if err != nil && !errors.As(err, &conflict) {
		r.failedAt = r.now()
	}
}

func registerKey(service string) table.Key { return table.Key{Table: Table, Row: service} }

// read reads the row of a service and returns it merged with what was known.
func (r *register) read(ctx context.Context, service string) (knownRow, error) {
	row, err, _ := r.reads.Do(service, func() (any, error) {
		ctx, cancel := clock.WithTimeout(context.WithoutCancel(ctx), registerTimeout)
		defer cancel()
		epoch, readAt := r.epoch(), r.now()
		rows, err := r.rows.Get(ctx, registerKey(service))
		stored := knownRow{epoch: epoch, readAt: readAt}
		if err == nil {
			stored.version = rows[0].Version
			stored.registration, err = decodeRow(rows[0])
		}
		r.noteCall(err)
		if err == nil {
			r.put(service, stored)
		}
		return stored, err
	})
	return row.(knownRow), err
}

// decodeRow returns the registration in a row, which is empty if the row is absent. The error is *table.MalformedRowError.
func decodeRow(row table.Row) (r registration, err error) {
	if row.Version == table.Absent {
		return r, nil
	}
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return r, &table.MalformedRowError{Key: row.Key, Version: row.Version, Problem: "row holds no software versions", Cause: err}
	}
	return r, nil
}

// put stores a row that was read or written, without forgetting versions.
func (r *register) put(service string, row knownRow) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if old := r.known[service]; old != nil {
		row.registration = old.merge(row.registration)
	}
	r.known[service] = &row
}

// needsUpdate reports whether the row of a service lacks something of seen, or may have been lost. It is false for a moment
// after a call has failed.
func (r *register) needsUpdate(service string, seen registration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	row := r.known[service]
	if r.failing() {
		return false
	}
	return row == nil || row.epoch != r.epoch() || !row.merge(seen).isEqual(row.registration)
}

// update adds what was seen of a service to its row. A row that another VM has written meanwhile is read again by the
// next update.
func (r *register) update(ctx context.Context, service string, seen registration) error {
	before, err := r.read(ctx, service)
	if err != nil {
		return err
	}
	known, _ := r.get(service)
	if known.merge(seen).isEqual(before.registration) {
		return nil
	}
	if delay := r.spread(); delay > 0 {
		loop.Sleep(ctx, rand.N(delay))
		if before, err = r.read(ctx, service); err != nil {
			return err
		}
	}
	known, _ = r.get(service)
	next := known.merge(seen)
	if next.isEqual(before.registration) {
		return nil
	}
	return r.write(ctx, service, before, next)
}

func (r *register) write(ctx context.Context, service string, before knownRow, next registration) error {
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	ctx, cancel := clock.WithTimeout(ctx, registerTimeout)
	defer cancel()
	versions, err := r.rows.Commit(ctx, table.Txn{
		Checks: []table.Check{{Key: registerKey(service), Version: before.version}},
		Writes: []table.Write{{Key: registerKey(service), Value: value}},
	})
	r.noteCall(err)
	if err != nil {
		return err
	}
	klog.InfoS("origin: software versions of a service recorded", "service", service, "versions", next.Versions, "complete", next.Complete)
	r.put(service, knownRow{registration: next, version: versions[0], epoch: before.epoch, readAt: before.readAt})
	return nil
}

// logFailure logs that a row could not be updated, unless another VM was faster.
func logFailure(service string, err error) {
	var conflict *table.ConflictError
	if err != nil && !errors.As(err, &conflict) {
		klog.V(1).InfoS("origin: software versions not recorded, will be tried again", "service", service, "err", err)
	}
}
