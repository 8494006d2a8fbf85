package hop

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/springweir/springweir/caller/wire"
	"github.com/springweir/springweir/failure"
)

// maxErrorBody bounds how much of another VM's error body is read, in bytes.
const maxErrorBody = 64 << 10

// UnreadableFailureError is a failure reported by another VM that cannot be decoded.
type UnreadableFailureError struct {
	// Code is the reason in the header.
	Code  failure.Reason
	Cause error
}

// Error implements error.
func (e *UnreadableFailureError) Error() string {
	return fmt.Sprintf("the failure %q cannot be decoded: %v", e.Code, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreadableFailureError) Unwrap() error { return e.Cause }

// Reason implements failure.Coded.
func (e *UnreadableFailureError) Reason() failure.Reason { return failure.EndpointBroke }

// EncodeFailure returns the body of a response that reports f.
func EncodeFailure(f *failure.Request) wire.ErrorBody {
	return wire.ErrorBody{Error: wire.Error{
		Reason:           f.Code,
		Outcome:          f.Ran,
		Message:          f.Message,
		RetryAfterMillis: f.RetryAfter.Milliseconds(),
	}}
}

// WriteFailure writes the response that reports f. Its head must not have been sent.
func WriteFailure(w http.ResponseWriter, f *failure.Request) error {
	w.Header().Set(wire.HeaderReason, string(f.Code))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(f.Status())
	return json.NewEncoder(w).Encode(EncodeFailure(f))
}

// ReportsFailure reports whether a response of another VM is a failure of that VM, as opposed to a
// response that it passes on.
func ReportsFailure(h http.Header) bool { return h.Get(wire.HeaderReason) != "" }

// ReadFailure decodes a response of which ReportsFailure is true. The error is
// *UnreadableFailureError.
func ReadFailure(h http.Header, body io.Reader) (*failure.Request, error) {
	code := failure.Reason(h.Get(wire.HeaderReason))
	var decoded wire.ErrorBody
	err := json.NewDecoder(io.LimitReader(body, maxErrorBody)).Decode(&decoded)
	if err != nil || decoded.Error.Reason != code {
		return nil, &UnreadableFailureError{Code: code, Cause: err}
	}
	return DecodeFailure(decoded.Error), nil
}

// DecodeFailure returns the failure that another VM reported. An outcome that is not known counts as
// failure.Unknown.
func DecodeFailure(e wire.Error) *failure.Request {
	ran := e.Outcome
	if ran != failure.NotRun && ran != failure.Done {
		ran = failure.Unknown
	}
	after := time.Duration(e.RetryAfterMillis) * time.Millisecond
	return &failure.Request{Code: e.Reason, Ran: ran, RetryAfter: after, Message: strings.TrimSpace(e.Message)}
}

// notRun returns the failure of a request that provably did not run.
func notRun(code failure.Reason, message string, cause error) *failure.Request {
	return &failure.Request{Code: code, Ran: failure.NotRun, Message: message, Cause: cause}
}
