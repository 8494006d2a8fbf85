package lease

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/table"
)

// TableName is the table that holds the leases.
const TableName = "lease"

// Identity identifies one process of the system.
type Identity struct {
	// VM is the name of the VM. Names are never reused.
	VM string `json:"vm"`
	// Process is unique for each start of the process.
	Process string `json:"process"`
	// Address is the IP address and port at which peers reach the process.
	Address string `json:"address"`
}

// Record is the value of a lease's row.
type Record struct {
	// WriteID is the id of the write that produced the value.
	WriteID string   `json:"write_id"`
	Holder  Identity `json:"holder"`
	// Fence is the fencing token. It rises at each takeover, also after a release.
	Fence uint64 `json:"fence"`
	// TTLMillis is how long a successor must observe the row unchanged, in milliseconds.
	TTLMillis int64 `json:"ttl_ms"`
	// Epoch is the epoch of the table service in which the row was written, as known to the
	// writer.
	Epoch uint64 `json:"epoch,omitempty"`
	// Released is set by a holder that gave up the lease; a successor need not wait.
	Released bool `json:"released,omitempty"`
}

// Key returns the key of the lease's row.
func Key(pool, zone string) table.Key {
	return table.Key{Table: TableName, Row: pool + "/" + zone}
}

// maxTTL bounds the duration of a lease that a row may state.
const maxTTL = time.Hour

// maxFence bounds the fencing token that a row may state. It leaves room for those of later tenures.
const maxFence = math.MaxUint64 / 2

// Decode decodes the value of a lease's row. The error is *DecodeError.
func Decode(row table.Row) (Record, error) {
	var rec Record
	if err := json.Unmarshal(row.Value, &rec); err != nil {
		return Record{}, &DecodeError{Key: row.Key, Cause: err}
	}
	switch {
	case rec.TTLMillis < 0 || rec.TTLMillis > maxTTL.Milliseconds():
		return Record{}, &DecodeError{Key: row.Key, Cause: &RangeError{Field: "ttl_ms"}}
	case rec.Fence == 0 || rec.Fence > maxFence:
		return Record{}, &DecodeError{Key: row.Key, Cause: &RangeError{Field: "fence"}}
	}
	return rec, nil
}

// recoverRecord returns a record for a row that cannot be decoded. Its holder may still have authority, for the usual duration.
// Each tenure writes the row, so that no fencing token of the epoch is above the number of its version.
func recoverRecord(row table.Row, epoch uint64) Record {
	return Record{Fence: epochFence(epoch) + row.Version.Number(), Epoch: epoch}
}

// RangeError reports a field of a lease's row whose value no holder writes.
type RangeError struct{ Field string }

// Error implements error.
func (e *RangeError) Error() string { return e.Field + " is out of range" }

// Reason implements failure.Coded.
func (e *RangeError) Reason() failure.Reason { return failure.Internal }

// encode cannot fail: a Record holds only strings, numbers and booleans.
func (r Record) encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	return value
}

// writtenBy reports whether row holds the value that the write with the given id produced.
func writtenBy(row table.Row, id string) bool {
	if row.Version == table.Absent {
		return false
	}
	rec, err := Decode(row)
	return err == nil && rec.WriteID == id
}

// DecodeError reports a row that can't be decoded.
type DecodeError struct {
	Key   table.Key
	Cause error
}

// Error implements error.
func (e *DecodeError) Error() string { return fmt.Sprintf("lease row %s: %v", e.Key, e.Cause) }

// Reason implements failure.Coded.
func (e *DecodeError) Reason() failure.Reason { return failure.Internal }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Cause }

// LossCause is the reason why a lease was lost.
type LossCause string

// The causes of a loss.
const (
	// Expired means that the lease was not renewed in time.
	Expired LossCause = "expired"
	// EpochOver means that the table service was restored from a backup after the tenure began.
	EpochOver LossCause = "epoch-over"
	// Superseded means that another process has taken the lease.
	Superseded LossCause = "superseded"
	// Revoked means that a successor requested the holder to drop the lease.
	Revoked LossCause = "revoked"
	// GivenUp means that the holder itself released the lease.
	GivenUp LossCause = "given-up"
)

// LostError is returned for an action that was not taken because the lease is no longer held.
type LostError struct {
	Pool, Zone string
	Fence      uint64
	Cause      LossCause
}

// Error implements error.
func (e *LostError) Error() string {
	return fmt.Sprintf("lease %s/%s at fence %d is lost: %s", e.Pool, e.Zone, e.Fence, e.Cause)
}

// Reason implements failure.Coded.
func (e *LostError) Reason() failure.Reason { return failure.LeaseLost }
