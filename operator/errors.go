package operator

import (
	"fmt"
	"strings"

	"github.com/springweir/springweir/failure"
	pb "github.com/springweir/springweir/operator/operatorpb"
	"github.com/springweir/springweir/settings"
)

// ConflictError reports that another edit was committed on the same base first.
type ConflictError struct {
	Base uint64
	// Newest is the newest version, without its text.
	Newest *pb.Config
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("edit of version %d: version %d by %s came first", e.Base, e.Newest.GetVersion(), e.Newest.GetAuthor())
}

// Reason implements failure.Coded.
func (e *ConflictError) Reason() failure.Reason { return failure.ConfigConflict }

// NoSuchVersionError reports a version that is not in the history.
type NoSuchVersionError struct{ Version uint64 }

// Error implements error.
func (e *NoSuchVersionError) Error() string { return fmt.Sprintf("no version %d", e.Version) }

// Reason implements failure.Coded.
func (e *NoSuchVersionError) Reason() failure.Reason { return failure.NoSuchVersion }

// NoSuchEndpointError reports an endpoint that the settings tree doesn't contain.
type NoSuchEndpointError struct{ Name string }

// Error implements error.
func (e *NoSuchEndpointError) Error() string {
	return fmt.Sprintf("the tree names no endpoint %q", e.Name)
}

// Reason implements failure.Coded.
func (e *NoSuchEndpointError) Reason() failure.Reason { return failure.NoSuchEndpoint }

// PlanError reports a plan that is invalid or blocked.
type PlanError struct {
	Endpoint string
	Text     string
}

// Error implements error.
func (e *PlanError) Error() string { return fmt.Sprintf("endpoint %s: %s", e.Endpoint, e.Text) }

// Reason implements failure.Coded.
func (e *PlanError) Reason() failure.Reason { return failure.BadPlan }

// RequestError reports a call with invalid arguments.
type RequestError struct{ Text string }

// Error implements error.
func (e *RequestError) Error() string { return e.Text }

// Reason implements failure.Coded.
func (e *RequestError) Reason() failure.Reason { return failure.BadRequest }

// RemoteError is a failure returned by a controller.
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

// UnreachableError reports a call that no controller completed: those tried were unreachable or
// couldn't reach the platform. A write may have taken effect; repeating it with the same write id
// is safe.
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

// PendingError reports that a version was not yet active in all zones when the wait ended.
type PendingError struct{ State *pb.ConfigState }

// Error implements error.
func (e *PendingError) Error() string {
	return fmt.Sprintf("version %d is committed but pending%s", e.State.GetVersion(), DescribePending(e.State))
}

// Reason implements failure.Coded.
func (e *PendingError) Reason() failure.Reason { return failure.ConfigPending }

// DescribePending lists the zones and VMs that have not confirmed a version, as a phrase that
// starts with ": ". It is empty if there are none.
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
