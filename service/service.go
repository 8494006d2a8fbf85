// Package service is the system's view of a plain service endpoint: HTTP calls
// that springweir routes but does not interpret. Some may not be repeated.
package service

import (
	"context"
	"io"
	"net/http"
)

// Call is one call, bound to one attempt.
type Call struct {
	// Attempt is unique for each try and is echoed by the endpoint.
	Attempt string
	Method  string
	// Path is the path below the service's root, with its query.
	Path   string
	Header http.Header
	Body   []byte
}

// Response is a service's answer. The caller closes Body.
type Response struct {
	// Attempt is the attempt that the endpoint says it answers; empty when
	// the endpoint does not echo it.
	Attempt string
	Status  int
	Header  http.Header
	// Leaving is set when the endpoint says that it leaves.
	Leaving bool
	Body    io.ReadCloser
}

// Endpoint sends calls to one service endpoint. Implementations never repeat a
// call by themselves and are safe for concurrent use. Errors are
// *failure.Request with an honest Outcome: NotRun only if nothing of the call
// was written or the endpoint refused before it started.
type Endpoint interface {
	Do(ctx context.Context, call Call) (*Response, error)
}
