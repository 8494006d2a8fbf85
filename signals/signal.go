// Package signals keeps what endpoints say of their own state in the responses that they give: a rate
// limit that holds for all VMs together, a backoff that one VM has to keep, a drain.
//
// A signal belongs to one incarnation of an endpoint. An endpoint that has started again has sent
// none.
package signals

import (
	"time"

	"github.com/springweir/springweir/directory"
)

// Signal is what one response says of its endpoint. The zero value says that there is nothing.
type Signal struct {
	Limit Limit
	// Backoff is for how long, from the response on, the endpoint wants nothing from this VM.
	Backoff time.Duration
	// Draining is set by an endpoint that takes no new work and will end.
	Draining bool
}

// Limit is what a response says of the rate limit of its endpoint.
type Limit struct {
	Kind LimitKind
	// PerSecond is the rate of a limit that is Limited, in requests a second from all VMs together.
	PerSecond float64
}

// LimitKind tells what a response says of a rate limit.
type LimitKind int

const (
	// Unlimited is a response that names none.
	Unlimited LimitKind = iota
	// Limited is a response that names one.
	Limited
	// Malformed is a response whose limit cannot be understood. What was known stands.
	Malformed
)

// Response is one response of an endpoint.
type Response struct {
	Endpoint *directory.Endpoint
	// Request is the ID of the request that was answered; empty for a call of the system itself.
	Request string
	// Sent is when the request was about to be written.
	Sent   time.Time
	Signal Signal
}
