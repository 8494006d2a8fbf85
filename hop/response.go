package hop

import (
	"context"
	"io"
	"net/http"

	"github.com/springweir/springweir/caller/wire"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/internal/h1"
)

// copyBufferSize is the most that is read of a response at once, in bytes.
const copyBufferSize = 32 << 10

// passOn writes the endpoint's response to the other VM. When ctx ends, reads and writes fail, so
// that a VM that no longer reads does not hold the request for longer.
func passOn(ctx context.Context, w http.ResponseWriter, response *h1.Response) result {
	control := http.NewResponseController(w)
	stop := context.AfterFunc(ctx, func() { _ = control.SetWriteDeadline(pastDeadline) })
	writeHead(w, response)
	failed := copyBody(w, control, response)
	if failed != nil {
		_ = control.Flush() // what the endpoint sent is passed on; the connection is closed after it
	}
	if ended := !stop(); ended && failed == nil {
		failed = brokenOff(failure.AnswerTruncated, context.Cause(ctx))
	}
	return result{status: response.Status, headSent: true, failed: failed}
}

// writeHead sends the head of the response as the endpoint sent it.
func writeHead(w http.ResponseWriter, response *h1.Response) {
	header := response.Header.Clone()
	removeConnectionHeaders(header)
	removeOwnHeaders(header)
	to := w.Header()
	for name, values := range header {
		to[name] = values
	}
	for _, added := range []string{"Content-Type", "Date"} {
		if _, present := header[added]; !present {
			to[added] = nil // otherwise net/http adds its own value
		}
	}
	if response.UntilClose {
		to.Set(wire.HeaderUntilClose, "1")
	}
	w.WriteHeader(response.Status)
}

// copyBody passes the body on as it comes. That of a response of unknown length is flushed after each
// read.
func copyBody(w http.ResponseWriter, control *http.ResponseController, response *h1.Response) *failure.Request {
	flush := func() error { return nil }
	if response.Length < 0 {
		flush = control.Flush
	}
	if err := flush(); err != nil {
		return brokenOff(failure.CallerGone, err)
	}
	buffer := make([]byte, copyBufferSize)
	for {
		n, readErr := response.Read(buffer)
		if n > 0 {
			if _, err := w.Write(buffer[:n]); err != nil {
				return brokenOff(failure.CallerGone, err)
			}
			if err := flush(); err != nil {
				return brokenOff(failure.CallerGone, err)
			}
		}
		switch {
		case readErr == io.EOF:
			return nil
		case readErr != nil:
			return brokenOff(failure.AnswerTruncated, readErr)
		}
	}
}

// brokenOff returns the failure of a response that was not passed on completely.
func brokenOff(code failure.Reason, cause error) *failure.Request {
	return &failure.Request{Code: code, Ran: failure.Unknown, Message: "the answer broke off", Cause: cause}
}
