package order

import (
	"encoding/json"
	"slices"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/lease"
	"github.com/springweir/springweir/table"
)

// TableName is the table that holds the journal, with one row for each engine.
const TableName = "order"

// Outcome is the result of an order; it is empty while the order is open.
type Outcome string

// Outcomes of an order.
const (
	// Done means that the engine reported the order done.
	Done Outcome = "done"
	// Failed means that the engine reported the order failed.
	Failed Outcome = "failed"
	// SupersededByCrash means that the engine restarted with a new incarnation. Its current
	// role must be observed.
	SupersededByCrash Outcome = "superseded-by-crash"
	// NotRun means that the order never reached the engine and no longer can.
	NotRun Outcome = "not-run"
	// EngineRemoved means that the engine's VM was removed permanently.
	EngineRemoved Outcome = "engine-gone"
)

// SenderRecord identifies a process that may have sent copies of an order.
type SenderRecord struct {
	lease.Identity
	// Fence is the highest fence under which the process sent the order.
	Fence uint64 `json:"fence"`
	// Dropped is set by the process itself once it has nothing in flight and will never send
	// under Fence again.
	Dropped bool `json:"dropped,omitempty"`
}

// Entry is the value of a journal row.
type Entry struct {
	// WriteID identifies the write that produced this value.
	WriteID string `json:"write_id"`
	Engine  string `json:"engine"`
	// VM is the engine's VM.
	VM   string `json:"vm"`
	Pool string `json:"pool"`
	Zone string `json:"zone"`
	// Order is the order as first written to the journal.
	Order engine.Order `json:"order"`
	// Senders are all processes that may have sent a copy of it.
	Senders []SenderRecord `json:"senders"`
	// Outcome is empty while the order is open.
	Outcome Outcome `json:"outcome,omitempty"`
	// Withheld is set in a closed row while entry VMs may still withhold the engine.
	Withheld bool `json:"withheld,omitempty"`

	// version is the row's version as read or written.
	version table.Version
}

// IsOpen reports whether the order is open.
func (e Entry) IsOpen() bool { return e.version != table.Absent && e.Outcome == "" }

// withSender returns the entry with id among its senders, at fence.
func (e Entry) withSender(id lease.Identity, fence uint64) Entry {
	e.Senders = slices.DeleteFunc(slices.Clone(e.Senders), func(c SenderRecord) bool {
		return c.Process == id.Process
	})
	e.Senders = append(e.Senders, SenderRecord{Identity: id, Fence: fence})
	return e
}

// withDropped returns the entry with id's sender record marked as dropped.
func (e Entry) withDropped(id lease.Identity) Entry {
	e.Senders = slices.Clone(e.Senders)
	for i := range e.Senders {
		if e.Senders[i].Process == id.Process {
			e.Senders[i].Dropped = true
		}
	}
	return e
}

// Key returns the key of an engine's row.
func Key(engineName string) table.Key { return table.Key{Table: TableName, Row: engineName} }

// decode decodes a row; an absent row yields an entry that is not open.
func decode(row table.Row) (Entry, error) {
	entry := Entry{Engine: row.Key.Row}
	if row.Version == table.Absent {
		return entry, nil
	}
	if err := json.Unmarshal(row.Value, &entry); err != nil {
		return Entry{}, &DecodeError{Key: row.Key, Cause: err}
	}
	entry.version = row.Version
	return entry, nil
}

// encode cannot fail: an Entry holds only strings, numbers and booleans.
func (e Entry) encode() []byte {
	value, err := json.Marshal(e)
	if err != nil {
		panic(err)
	}
	return value
}
