package simulate

import (
	"context"
	"fmt"
	"io"

	"github.com/springweir/springweir/failure"
)

// Experiments that Main runs.
const (
	Policies     = "policies"
	Reservations = "reservations"
)

// ExperimentError reports an unknown experiment name.
type ExperimentError struct{ Name string }

// Error implements error.
func (e *ExperimentError) Error() string {
	return fmt.Sprintf("no experiment %q: want %s or %s", e.Name, Policies, Reservations)
}

// Reason implements failure.Coded.
func (e *ExperimentError) Reason() failure.Reason { return failure.BadRequest }

// Main runs an experiment and writes its result lines to w. For the policy
// comparison it also writes plots to the directory plots, unless that is empty.
func Main(ctx context.Context, w io.Writer, su Suite, experiment, plots string) error {
	switch experiment {
	case Policies:
		all, err := su.Run(ctx, w)
		if err != nil || plots == "" {
			return err
		}
		return Plot(plots, all)
	case Reservations:
		return su.Reservations(ctx, w)
	default:
		return &ExperimentError{Name: experiment}
	}
}
