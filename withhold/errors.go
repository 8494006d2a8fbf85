package withhold

import (
	"fmt"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/leaving"
)

// WithheldError is new work refused because the endpoint is withheld.
type WithheldError struct{ Endpoint string }

// Error implements error.
func (e *WithheldError) Error() string { return fmt.Sprintf("endpoint %s is withheld", e.Endpoint) }

// Reason implements failure.Coded.
func (e *WithheldError) Reason() failure.Reason { return failure.EndpointWithheld }

// LeavingError is new work refused because the endpoint is about to stop.
type LeavingError struct {
	Endpoint string
	Signal   leaving.Signal
}

// Error implements error.
func (e *LeavingError) Error() string {
	return fmt.Sprintf("endpoint %s is leaving (%s)", e.Endpoint, e.Signal)
}

// Reason implements failure.Coded.
func (e *LeavingError) Reason() failure.Reason { return failure.EndpointLeaving }

// WaitingError is a withholding that was not confirmed in time. The endpoint
// stays withheld until it is restored.
type WaitingError struct {
	Endpoint string
	// VMs names the entries that did not answer or still have work there.
	VMs []string
	// Streams is what the endpoint itself says is still running there.
	Streams int
	// Unresponsive is set when the endpoint itself does not answer.
	Unresponsive bool
}

// Error implements error.
func (e *WaitingError) Error() string {
	if e.Unresponsive {
		return fmt.Sprintf("endpoint %s not drained: it does not answer", e.Endpoint)
	}
	return fmt.Sprintf("endpoint %s not drained: waiting for %v, %d streams", e.Endpoint, e.VMs, e.Streams)
}

// Reason implements failure.Coded.
func (e *WaitingError) Reason() failure.Reason { return failure.EndpointWithheld }

// RestoredError is a withholding that another controller has ended.
type RestoredError struct{ Endpoint string }

// Error implements error.
func (e *RestoredError) Error() string {
	return fmt.Sprintf("endpoint %s was restored by another controller", e.Endpoint)
}

// Reason implements failure.Coded.
func (e *RestoredError) Reason() failure.Reason { return failure.LeaseLost }
