package order

import (
	"encoding/json"
	"slices"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/lease"
	"github.com/springweir/springweir/table"
)

// TableName is the table that holds the journal, one row an engine.
const TableName = "order"

// Outcome tells how an order ended; it is empty while the order is open.
type Outcome string

// The outcomes.
const (
	// Done is an order that the engine reported done.
	Done Outcome = "done"
	// Failed is an order that the engine reported failed.
	Failed Outcome = "failed"
	// SupersededByCrash is an order whose engine came back with a new
	// incarnation. What the engine is now has to be observed.
	SupersededByCrash Outcome = "superseded-by-crash"
	// NotRun is an order that never reached the engine and no longer can.
	NotRun Outcome = "not-run"
	// EngineRemoved is an order whose engine's VM is gone for good.
	EngineRemoved Outcome = "engine-gone"
)

// SenderRecord is a process that may have sent copies of an order.
type SenderRecord struct {
	lease.Identity
	// Fence is the highest fencing number that the process sent it under.
	Fence uint64 `json:"fence"`
	// Dropped is set by the process itself once it has nothing in flight and
	// never sends under Fence again.
	Dropped bool `json:"dropped,omitempty"`
}

// Entry is the value of a journal row.
type Entry struct {
	// WriteID is the id of the write that made the value.
	WriteID string `json:"write_id"`
	Engine  string `json:"engine"`
	// VM is the engine's VM.
	VM   string `json:"vm"`
	Pool string `json:"pool"`
	Zone string `json:"zone"`
	// Order is the order as first journaled.
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

// IsOpen tells whether the order is open.
func (e Entry) IsOpen() bool { return e.version != table.Absent && e.Outcome == "" }

// sentBy returns the entry with id among its senders, at fence.
func (e Entry) sentBy(id lease.Identity, fence uint64) Entry {
	e.Senders = slices.DeleteFunc(slices.Clone(e.Senders), func(c SenderRecord) bool {
		return c.Process == id.Process
	})
	e.Senders = append(e.Senders, SenderRecord{Identity: id, Fence: fence})
	return e
}

// droppedBy returns the entry with the mark that id has dropped it.
func (e Entry) droppedBy(id lease.Identity) Entry {
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

// decode reads a row; an absent one gives an entry that is not open.
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
