package table

import (
	"fmt"

	"github.com/springweir/springweir/failure"
)

// Limits of one request to the table service.
const (
	// MaxTxnRows is the maximum number of checks and writes of one transaction.
	MaxTxnRows = 256
	// MaxTxnBytes is the maximum total size of the values that one transaction writes.
	MaxTxnBytes = 4 << 20
	// MaxGetRows is the maximum number of rows that one Get or Scan reads.
	MaxGetRows = 1000
	// MaxValueBytes is the maximum size of a row's value.
	MaxValueBytes = 256 << 10
	// MaxNameBytes is the maximum length of the name of a table or a row.
	MaxNameBytes = 1024
)

// InvalidError reports a request that exceeds a limit or is malformed. It had no effect, and
// repeating it doesn't help.
type InvalidError struct {
	// Key is the invalid row, or empty.
	Key Key
	// Problem describes the error in a short sentence.
	Problem string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("invalid table request (%s): %s", e.Key, e.Problem)
}

// Reason implements failure.Coded.
func (e *InvalidError) Reason() failure.Reason { return failure.TableInvalid }

// Validate returns an *InvalidError unless t is within the limits and writes each row at most
// once.
func (t Txn) Validate() error {
	if t.rows() > MaxTxnRows {
		return &InvalidError{Problem: fmt.Sprintf("more than %d rows", MaxTxnRows)}
	}
	for _, c := range t.Checks {
		if err := c.Key.validate(); err != nil {
			return err
		}
	}
	if t.bytes() > MaxTxnBytes {
		return &InvalidError{Problem: fmt.Sprintf("values over %d bytes together", MaxTxnBytes)}
	}
	seen := make(map[Key]bool, len(t.Writes))
	for _, w := range t.Writes {
		if err := w.validate(); err != nil {
			return err
		}
		if seen[w.Key] {
			return &InvalidError{Key: w.Key, Problem: "row written twice"}
		}
		seen[w.Key] = true
	}
	return nil
}

// ValidateKeys returns an *InvalidError unless the keys are valid arguments of one Get.
func ValidateKeys(keys []Key) error {
	if len(keys) > MaxGetRows {
		return &InvalidError{Problem: fmt.Sprintf("more than %d rows", MaxGetRows)}
	}
	for _, k := range keys {
		if err := k.validate(); err != nil {
			return err
		}
	}
	return nil
}

// rows returns the number of t's checks and writes.
func (t Txn) rows() int { return len(t.Checks) + len(t.Writes) }

// bytes returns the total size of the values that t writes.
func (t Txn) bytes() int {
	n := 0
	for _, w := range t.Writes {
		n += len(w.Value)
	}
	return n
}

func (w Write) validate() error {
	if len(w.Value) > MaxValueBytes {
		return &InvalidError{Key: w.Key, Problem: fmt.Sprintf("value over %d bytes", MaxValueBytes)}
	}
	if w.Delete && w.Value != nil {
		return &InvalidError{Key: w.Key, Problem: "delete with a value"}
	}
	return w.Key.validate()
}

func (k Key) validate() error {
	if k.Table == "" || k.Row == "" {
		return &InvalidError{Key: k, Problem: "empty name"}
	}
	if len(k.Table) > MaxNameBytes || len(k.Row) > MaxNameBytes {
		return &InvalidError{Key: Key{Table: "..."}, Problem: fmt.Sprintf("name over %d bytes", MaxNameBytes)}
	}
	return nil
}
