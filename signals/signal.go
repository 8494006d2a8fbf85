// Package signals tracks what endpoints report about themselves in their responses: a rate limit
// for all VMs together, a backoff for one VM, a drain.
//
// A signal belongs to one incarnation of an endpoint. An endpoint that has restarted has sent none.
package signals

import (
	"time"

	"github.com/springweir/springweir/directory"
)

// Signal is what one response reports about its endpoint. The zero value reports nothing.
type Signal struct {
	Limit Limit
	// Backoff is how long, from the response on, this VM must not send requests to the endpoint;
	// zero if the response requests no backoff.
	Backoff time.Duration
	// Draining is set by an endpoint that accepts no new work and will exit.
	Draining bool
}

// Limit is what a response reports about the rate limit of its endpoint.
type Limit struct {
	Kind LimitKind
	// PerSecond is the rate of a Limited response, in requests per second from all VMs together.
	PerSecond float64
}

// LimitKind is the kind of rate limit that a response reports.
type LimitKind int

const (
	// Unlimited means that the response reports no limit.
	Unlimited LimitKind = iota
	// Limited means that the response reports a limit.
	Limited
	// Malformed means that the limit could not be parsed. The previous limit stays in force.
	Malformed
)

// Response is the response of an endpoint to one request.
type Response struct {
	Endpoint *directory.Endpoint
	// Request is the ID of the request; empty for internal calls.
	Request string
	// Sent is the time just before the request was written.
	Sent   time.Time
	Signal Signal
}
