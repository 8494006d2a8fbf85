package usage

import (
	"fmt"

	"github.com/springweir/springweir/failure"
)

// VanishedError is a sum that was in the store and then was not: the store came back from a copy.
type VanishedError struct{ Window Window }

// Error implements error.
func (e *VanishedError) Error() string {
	return fmt.Sprintf("the sum of window %d is gone from the store", e.Window)
}

// Reason implements failure.Coded.
func (e *VanishedError) Reason() failure.Reason { return failure.TableEpochOver }
