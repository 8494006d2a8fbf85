// Package hop hands work to another VM.
//
// A Client sends an attempt, as the HTTP request that it would have sent to an endpoint, to a VM that
// reaches the endpoint. The Server of that VM passes it to the endpoint and the response back. The
// first VM keeps all decisions; the second only transports, after it has checked that the endpoint
// is registered under the same incarnation and not draining. It uses its own connection to the
// endpoint, never a third VM.
//
// Entries of the own API, which forward requests to entries of other zones, use the same headers, the
// same encoding of failures and the same check that a response belongs to the attempt.
package hop

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/springweir/springweir/caller/wire"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/internal/clock"
)

// Addressed reports whether a request is for a Server. It must be asked before the path is looked
// at, which is that of the request to the endpoint, and only on listeners that callers cannot reach:
// a Server asks for no key.
func Addressed(r *http.Request) bool {
	return r.Header.Get(wire.HeaderHop) != "" && r.Header.Get(wire.HeaderEndpoint) != ""
}

// SetHeaders marks a request as one from the VM named from. The attempt must be unique. The time
// left until the deadline of ctx is included.
func SetHeaders(ctx context.Context, h http.Header, from, attempt string) {
	h.Set(wire.HeaderHop, from)
	h.Set(wire.HeaderAttempt, attempt)
	if deadline, ok := ctx.Deadline(); ok {
		remaining := max(clock.Until(deadline).Milliseconds(), 1)
		h.Set(wire.HeaderDeadline, strconv.FormatInt(remaining, 10))
	}
}

// EchoAttempt copies the attempt of a request to its response.
func EchoAttempt(response, request http.Header) {
	if attempt := request.Get(wire.HeaderAttempt); attempt != "" {
		response.Set(wire.HeaderAttempt, attempt)
	}
}

// EchoesAttempt reports whether a response belongs to an attempt.
func EchoesAttempt(response http.Header, attempt string) bool {
	return response.Get(wire.HeaderAttempt) == attempt
}

// maxDeadline caps the time until a deadline so that adding it to a time cannot overflow.
const maxDeadline = 365 * 24 * time.Hour

// ParseDeadline returns the time until the deadline that a request specifies in wire.HeaderDeadline;
// zero means that it specifies none.
func ParseDeadline(h http.Header) (time.Duration, *failure.Request) {
	value := h.Get(wire.HeaderDeadline)
	if value == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms <= 0 {
		return 0, notRun(failure.BadRequest, wire.HeaderDeadline+" must be a positive number of milliseconds", nil)
	}
	return time.Duration(min(ms, maxDeadline.Milliseconds())) * time.Millisecond, nil
}

// connectionHeaders lists the headers that apply to one connection and are not passed on.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// removeConnectionHeaders removes the headers that apply to one connection, including those that the
// Connection header names.
func removeConnectionHeaders(h http.Header) {
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		h.Del(name)
	}
}

// removeOwnHeaders removes all headers of springweir itself, whoever set them.
func removeOwnHeaders(h http.Header) {
	for name := range h {
		if len(name) >= len(wire.HeaderPrefix) && strings.EqualFold(name[:len(wire.HeaderPrefix)], wire.HeaderPrefix) {
			delete(h, name)
		}
	}
}
