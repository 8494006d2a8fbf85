package caller

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/springweir/springweir/caller/wire"
	"github.com/springweir/springweir/failure"
)

// reject returns the failure of a request that was rejected before it was forwarded.
func reject(code failure.Reason, msg string) *failure.Request {
	return &failure.Request{Code: code, Ran: failure.NotRun, Message: msg}
}

// asFailure converts err to the failure reported to the caller. An error that is not a
// *failure.Request is a bug in springweir and is reported with an unknown outcome.
func asFailure(err error) *failure.Request {
	if err == nil {
		return nil
	}
	var f *failure.Request
	if errors.As(err, &f) {
		return f
	}
	return &failure.Request{Code: failure.Internal, Ran: failure.Unknown, Message: "internal failure", Cause: err}
}

// fail writes an error response. The response must not have been started.
func (x *exchange) fail(f *failure.Request) {
	x.recordFailure(f)
	header := x.w.Header()
	header.Set(wire.HeaderReason, string(f.Code))
	if delay := retryAfter(f); delay > 0 {
		header.Set("Retry-After", strconv.FormatInt(ceilSeconds(delay), 10))
	}
	x.writeJSON(f.Status(), errorBody(f))
}

// recordFailure counts and logs a failure.
func (x *exchange) recordFailure(f *failure.Request) {
	x.failed = true
	metrics.GetOrCreateCounter(fmt.Sprintf(`springweir_requests_failed_total{reason=%q,outcome=%q}`, f.Code, f.Ran)).Inc()
	klog.V(1).Infof("caller: request %s of %q failed: %v", x.work.ID, x.work.Organisation, f)
}

func errorBody(f *failure.Request) wire.ErrorBody {
	return wire.ErrorBody{Error: wire.Error{
		Reason:           f.Code,
		Outcome:          f.Ran,
		Message:          f.Message,
		RetryAfterMillis: retryAfter(f).Milliseconds(),
	}}
}

// transientReasons are the failures for which a retry after a short delay may succeed.
var transientReasons = map[failure.Reason]bool{
	failure.EndpointRefused:     true,
	failure.EndpointUnreachable: true,
	failure.NoEndpoint:          true,
	failure.QueueFull:           true,
	failure.OrganisationLimit:   true,
	failure.ConfigUnconfirmed:   true,
	failure.Stopping:            true,
}

// defaultRetryAfter is sent for a transient failure without its own retry delay.
const defaultRetryAfter = time.Second

// retryAfter returns the delay after which the caller may retry, or zero if a retry is of no use.
func retryAfter(f *failure.Request) time.Duration {
	if f.RetryAfter == 0 && f.Ran == failure.NotRun && transientReasons[f.Code] {
		return defaultRetryAfter
	}
	return f.RetryAfter
}

// ceilSeconds rounds up, because an early retry would be rejected again.
func ceilSeconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}

func (x *exchange) writeJSON(status int, body any) {
	x.w.Header().Set("Content-Type", "application/json")
	x.w.WriteHeader(status)
	if err := json.NewEncoder(x.w).Encode(body); err != nil {
		klog.V(1).Infof("caller: request %s: writing the response failed: %v", x.work.ID, err)
	}
}
