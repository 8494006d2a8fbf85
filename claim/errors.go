package claim

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/table"
)

// CorruptError reports a claim row that cannot be decoded. The call is not run, since it might have
// run before.
type CorruptError struct {
	Key   table.Key
	Cause error
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("claim row %s is corrupt: %v", e.Key, e.Cause)
}

// Reason implements failure.Coded.
func (e *CorruptError) Reason() failure.Reason { return failure.Internal }

// Unwrap returns the cause.
func (e *CorruptError) Unwrap() error { return e.Cause }

const (
	// unavailableRetryAfter is sent to callers while the table is unavailable.
	unavailableRetryAfter = 2 * time.Second
	// inProgressRetryAfter is sent for a repeat of a call that is still running.
	inProgressRetryAfter = time.Second
)

// newFailure builds a failure for the caller and counts it.
func newFailure(code failure.Reason, ran failure.Outcome, retryAfter time.Duration, msg string, cause error) *failure.Request {
	metrics.GetOrCreateCounter(fmt.Sprintf(`springweir_claims_refused_total{reason=%q}`, code)).Inc()
	return &failure.Request{Code: code, Ran: ran, RetryAfter: retryAfter, Message: msg, Cause: cause}
}

func unavailable(cause error) *failure.Request {
	return newFailure(failure.ClaimUnavailable, failure.NotRun, unavailableRetryAfter, "the call could not be claimed and was not sent", cause)
}

func keyReused() *failure.Request {
	return newFailure(failure.KeyReused, failure.NotRun, 0, "the idempotency key was used with a different request", nil)
}

func inProgress() *failure.Request {
	return newFailure(failure.ClaimInProgress, failure.Unknown, inProgressRetryAfter, "a call with this idempotency key is running", nil)
}

func resultLost() *failure.Request {
	return newFailure(failure.ClaimUnknown, failure.Unknown, 0, "a call with this idempotency key may have run and its result is lost", nil)
}

func responseLost(cause error) *failure.Request {
	return newFailure(failure.ClaimUnknown, failure.Done, 0, "the call ran, but its answer cannot be read back", cause)
}
