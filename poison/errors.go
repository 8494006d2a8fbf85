package poison

import "github.com/springweir/springweir/failure"

// RowError reports a row of the store that holds no valid quarantine entry.
type RowError struct {
	Row   string
	Cause error
}

// Error implements error.
func (e *RowError) Error() string {
	text := "row " + e.Row + " holds no valid quarantine entry"
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *RowError) Unwrap() error { return e.Cause }

// Reason implements failure.Coded.
func (e *RowError) Reason() failure.Reason { return failure.TableInvalid }
