// Package membership reads the platform's list of running and leaving VMs. The list lags: a
// failed VM remains listed for some time, and a new one is missing at first. A VM that was listed
// and then dropped never returns.
package membership

import (
	"context"
	"fmt"

	"github.com/springweir/springweir/failure"
)

// Kind is what a VM runs.
type Kind string

// The kinds of VM.
const (
	// Entry is a VM that runs springweir itself.
	Entry Kind = "entry"
	// Endpoint is a VM that runs an engine or a service.
	Endpoint Kind = "endpoint"
)

// VM is an entry of the list.
type VM struct {
	// Name is unique and never reused.
	Name string `json:"name"`
	Kind Kind   `json:"kind"`
	// Zone is the availability zone.
	Zone string `json:"zone"`
	// Address is the host:port of the VM's main process: the peer address of an entry VM, or the
	// endpoint's address.
	Address string `json:"address"`
	// Leaving is set once the platform plans to stop the VM.
	Leaving bool `json:"leaving"`
}

// List reads the platform's list. Implementations are safe for concurrent use.
type List interface {
	// VMs returns the list. The error is *UnavailableError.
	VMs(ctx context.Context) ([]VM, error)
}

// UnavailableError reports that the list couldn't be read.
type UnavailableError struct{ Cause error }

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("membership list unavailable: %v", e.Cause)
}

// Reason implements failure.Coded.
func (e *UnavailableError) Reason() failure.Reason { return failure.MembershipUnavailable }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }
