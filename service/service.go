// Package service defines the interface to plain service endpoints, which receive
// HTTP calls that springweir routes but does not interpret. Some calls must not be
// retried.
package service

import (
	"context"
	"io"
	"net/http"
)

// Call is one attempt of a call.
type Call struct {
	// Attempt is unique to each attempt; the endpoint may echo it.
	Attempt string
	Method  string
	// Path is the path below the service's root, including the query.
	Path   string
	Header http.Header
	Body   []byte
}

// Response is a service's response. The caller must close Body.
type Response struct {
	// Attempt is the attempt echoed by the endpoint; empty if the endpoint
	// does not echo it.
	Attempt string
	Status  int
	Header  http.Header
	// Leaving is set if the endpoint reports that it is shutting down.
	Leaving bool
	Body    io.ReadCloser
}

// Endpoint sends calls to one service endpoint. Implementations never retry a
// call and are safe for concurrent use. Errors are *failure.Request; the Outcome is
// NotRun only if no byte of the call was written or the endpoint refused the call
// before starting it.
type Endpoint interface {
	Do(ctx context.Context, call Call) (*Response, error)
}
