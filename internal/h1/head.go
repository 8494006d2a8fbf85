package h1

import (
	"net/http"

	"github.com/springweir/springweir/failure"
)

// CheckHead returns an error for the head of a response that net/http accepts although it is none. Every reader of responses
// calls it before it looks at the head.
func CheckHead(r *http.Response) error {
	if r.StatusCode < http.StatusContinue {
		return &malformedHeadError{text: "malformed HTTP status code " + r.Status}
	}
	return nil
}

// maxErrorText bounds the text of the error for a malformed head, in bytes: net/http quotes the whole line.
const maxErrorText = 256

// malformedHeadError is a head that is no HTTP.
type malformedHeadError struct{ text string }

// Error implements error.
func (e *malformedHeadError) Error() string { return e.text }

// Reason implements failure.Coded.
func (e *malformedHeadError) Reason() failure.Reason { return failure.EndpointBroke }
