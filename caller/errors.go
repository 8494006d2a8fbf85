package caller

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/hop"
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
	f = withRetryAfter(f)
	if f.RetryAfter > 0 {
		x.w.Header().Set("Retry-After", strconv.FormatInt(ceilSeconds(f.RetryAfter), 10))
	}
	x.logWriteError(hop.WriteFailure(x.w, f))
}

// recordFailure counts and logs a failure.
func (x *exchange) recordFailure(f *failure.Request) {
	x.failed = true
	metrics.GetOrCreateCounter(fmt.Sprintf(`springweir_requests_failed_total{reason=%q,outcome=%q}`, f.Code, f.Ran)).Inc()
	klog.V(1).Infof("caller: request %s of %q failed: %v", x.work.ID, x.work.Organisation, f)
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

// withRetryAfter returns f with the delay after which the caller may retry, or zero if a retry is of
// no use.
func withRetryAfter(f *failure.Request) *failure.Request {
	if f.RetryAfter != 0 || f.Ran != failure.NotRun || !transientReasons[f.Code] {
		return f
	}
	delayed := *f
	delayed.RetryAfter = defaultRetryAfter
	return &delayed
}

// ceilSeconds rounds up, because an early retry would be rejected again.
func ceilSeconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}

func (x *exchange) writeJSON(status int, body any) {
	x.w.Header().Set("Content-Type", "application/json")
	x.w.WriteHeader(status)
	x.logWriteError(json.NewEncoder(x.w).Encode(body))
}

// logWriteError logs the error, if any, of writing the response.
func (x *exchange) logWriteError(err error) {
	if err != nil {
		klog.V(1).Infof("caller: request %s: writing the response failed: %v", x.work.ID, err)
	}
}
