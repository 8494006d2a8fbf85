package lease

import (
	"encoding/json"
	"fmt"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/table"
)

// TableName is the table that holds the leases.
const TableName = "lease"

// Identity names one process of the system.
type Identity struct {
	// VM is the name of the VM, which is never used again.
	VM string `json:"vm"`
	// Process is unique for each start of the process.
	Process string `json:"process"`
	// Address is the IP and port that the process has bound for its peers.
	Address string `json:"address"`
}

// Record is the value of a lease's row.
type Record struct {
	// WriteID is the id of the write that made the value.
	WriteID string   `json:"write_id"`
	Holder  Identity `json:"holder"`
	// Fence is the fencing number. It rises at each takeover, also after a release.
	Fence uint64 `json:"fence"`
	// TTLMillis is how long a successor must see the row unchanged, in milliseconds.
	TTLMillis int64 `json:"ttl_ms"`
	// Epoch is that of the table service in which the row was written, as its writer knew it.
	Epoch uint64 `json:"epoch,omitempty"`
	// Released is set by a holder that gave the lease up; no waiting is needed.
	Released bool `json:"released,omitempty"`
}

// Key returns the key of the lease's row.
func Key(pool, zone string) table.Key {
	return table.Key{Table: TableName, Row: pool + "/" + zone}
}

// Decode reads the value of a lease's row. The error is *DecodeError.
func Decode(row table.Row) (Record, error) {
	var rec Record
	if err := json.Unmarshal(row.Value, &rec); err != nil {
		return Record{}, &DecodeError{Key: row.Key, Cause: err}
	}
	return rec, nil
}

// encode cannot fail: a Record holds only strings, numbers and booleans.
func (r Record) encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	return value
}

// wroteBy tells whether row holds the value that the write id made.
func writtenBy(row table.Row, id string) bool {
	if row.Version == table.Absent {
		return false
	}
	rec, err := Decode(row)
	return err == nil && rec.WriteID == id
}

// DecodeError is a row that cannot be understood.
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

// LossCause tells why a lease is no longer held.
type LossCause string

// The causes of a loss.
const (
	// Expired is a lease that could not be renewed in time.
	Expired LossCause = "expired"
	// EpochOver is a lease of a time before the table service came back from a copy.
	EpochOver LossCause = "epoch-over"
	// Superseded is a lease that another process has taken.
	Superseded LossCause = "superseded"
	// Revoked is a lease that a successor asked the holder to drop.
	Revoked LossCause = "revoked"
	// GivenUp is a lease that the holder itself gave up.
	GivenUp LossCause = "given-up"
)

// LostError is an action not taken because the lease is not held.
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
