package withhold

import (
	"fmt"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/leaving"
)

// WithheldError reports new work refused because the endpoint is withheld.
type WithheldError struct{ Endpoint string }

// Error implements error.
func (e *WithheldError) Error() string { return fmt.Sprintf("endpoint %s is withheld", e.Endpoint) }

// Reason implements failure.Coded.
func (e *WithheldError) Reason() failure.Reason { return failure.EndpointWithheld }

// LeavingError reports new work refused because the endpoint is about to stop.
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

// WaitingError reports a withholding that is not confirmed yet. The endpoint stays withheld until
// it is restored.
type WaitingError struct {
	Endpoint string
	// VMs names the entries that did not respond or still have work there.
	VMs []string
	// Streams is the number of streams that the endpoint itself reports.
	Streams int
	// Unresponsive is set if the endpoint itself does not respond.
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

// RestoredError reports a withholding that another controller has ended.
type RestoredError struct{ Endpoint string }

// Error implements error.
func (e *RestoredError) Error() string {
	return fmt.Sprintf("endpoint %s was restored by another controller", e.Endpoint)
}

// Reason implements failure.Coded.
func (e *RestoredError) Reason() failure.Reason { return failure.LeaseLost }
