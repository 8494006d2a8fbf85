package h1

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/springweir/springweir/failure"
)

// CheckHead returns an error for the head of a response that net/http accepts although it is none. Every reader of responses
// calls it before it looks at the head.
func CheckHead(r *http.Response) error {
	if r.StatusCode < http.StatusContinue {
		return headError(&malformedHeadError{text: "malformed HTTP status code " + r.Status})
	}
	for name := range r.Header {
		if strings.Contains(name, " ") { // of the bytes that are invalid in a name, net/http accepts only this one
			return headError(&malformedHeadError{text: "malformed name of a header field: " + strconv.Quote(name)})
		}
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
