package operator

import (
	"fmt"
	"strings"

	"github.com/springweir/springweir/failure"
	pb "github.com/springweir/springweir/operator/operatorpb"
	"github.com/springweir/springweir/settings"
)

// ConflictError is an edit that lost to another one.
type ConflictError struct {
	Base uint64
	// Newest is the version in the way, without its text.
	Newest *pb.Config
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("edit of version %d: version %d by %s came first", e.Base, e.Newest.GetVersion(), e.Newest.GetAuthor())
}

// Reason implements failure.Coded.
func (e *ConflictError) Reason() failure.Reason { return failure.ConfigConflict }

// NoSuchVersionError is a version that is not in the history.
type NoSuchVersionError struct{ Version uint64 }

// Error implements error.
func (e *NoSuchVersionError) Error() string { return fmt.Sprintf("no version %d", e.Version) }

// Reason implements failure.Coded.
func (e *NoSuchVersionError) Reason() failure.Reason { return failure.NoSuchVersion }

// NoSuchEndpointError is an endpoint that the tree does not name.
type NoSuchEndpointError struct{ Name string }

// Error implements error.
func (e *NoSuchEndpointError) Error() string {
	return fmt.Sprintf("the tree names no endpoint %q", e.Name)
}

// Reason implements failure.Coded.
func (e *NoSuchEndpointError) Reason() failure.Reason { return failure.NoSuchEndpoint }

// PlanError is a planned change that cannot be made.
type PlanError struct {
	Endpoint string
	Text     string
}

// Error implements error.
func (e *PlanError) Error() string { return fmt.Sprintf("endpoint %s: %s", e.Endpoint, e.Text) }

// Reason implements failure.Coded.
func (e *PlanError) Reason() failure.Reason { return failure.BadPlan }

// RequestError is a call whose arguments make no sense.
type RequestError struct{ Text string }

// Error implements error.
func (e *RequestError) Error() string { return e.Text }

// Reason implements failure.Coded.
func (e *RequestError) Reason() failure.Reason { return failure.BadRequest }

// RemoteError is a failure that a controller answered with.
type RemoteError struct {
	Server string
	Code   failure.Reason
	Text   string
	// Problems are set for failure.BadSettings.
	Problems []settings.Problem
}

// Error implements error.
func (e *RemoteError) Error() string {
	if len(e.Problems) > 0 {
		return (&settings.InvalidError{Problems: e.Problems}).Error()
	}
	return fmt.Sprintf("%s (%s, from %s)", e.Text, e.Code, e.Server)
}

// Reason implements failure.Coded.
func (e *RemoteError) Reason() failure.Reason { return e.Code }

// UnreachableError is a call that no controller answered. A write may have
// taken effect; repeating it with the same write id is safe.
type UnreachableError struct {
	// Errors holds one error per server, in the order of the attempts.
	Errors []error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	lines := []string{"no controller answered"}
	for _, err := range e.Errors {
		lines = append(lines, err.Error())
	}
	return strings.Join(lines, "\n  ")
}

// Reason implements failure.Coded.
func (e *UnreachableError) Reason() failure.Reason { return failure.OperatorUnreachable }

// Unwrap returns the failures of the servers.
func (e *UnreachableError) Unwrap() []error { return e.Errors }

// PendingError is a version not in force everywhere when waiting ended.
type PendingError struct{ State *pb.ConfigState }

// Error implements error.
func (e *PendingError) Error() string {
	return fmt.Sprintf("version %d is committed but pending%s", e.State.GetVersion(), DescribePending(e.State))
}

// Reason implements failure.Coded.
func (e *PendingError) Reason() failure.Reason { return failure.ConfigPending }

// DescribePending lists the zones and VMs that a version waits for, as a
// phrase that starts with ": ", or is empty where none is known.
func DescribePending(s *pb.ConfigState) string {
	var zones []string
	for _, z := range s.GetPending() {
		if z.Zone == "" {
			zones = append(zones, "no VM has joined")
			continue
		}
		text := fmt.Sprintf("zone %s is at version %d", z.Zone, z.Confirmed)
		if len(z.Missing) > 0 {
			text += ", missing on " + strings.Join(z.Missing, " ")
		}
		zones = append(zones, text)
	}
	if s.GetConfirmationUnknown() {
		zones = append(zones, "how far it has come could not be read")
	}
	if len(zones) == 0 {
		return ""
	}
	return ": " + strings.Join(zones, "; ")
}
