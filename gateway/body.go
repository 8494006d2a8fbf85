package gateway

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/memory"
)

// readBody reads the complete body so that it can be sent again on a retry, and accounts for it on the VM's link and in
// its memory. A body for which there is no memory is refused before it is read, if its length is known.
func (h *handler) readBody(w http.ResponseWriter, r *http.Request, limit int64, held *memory.Reservation) ([]byte, *failure.Request) {
	if limit > 0 && r.ContentLength > limit {
		return nil, tooLarge(nil)
	}
	if failed := held.Admit(memory.RequestOverhead + headBytes(r) + max(0, r.ContentLength)); failed != nil {
		return nil, failed
	}
	if h.intake != nil {
		defer h.intake.reading(r)()
	}
	source := io.Reader(r.Body)
	if limit > 0 {
		source = http.MaxBytesReader(w, r.Body, limit)
	}
	bounded := &stallReader{body: source, deadline: stallDeadline{stall: h.stall, set: http.NewResponseController(w).SetReadDeadline}}
	defer bounded.deadline.remove()
	if r.ContentLength < 0 {
		body, err := held.ReadAll(bounded, limit)
		if err != nil {
			return nil, readFailure(err)
		}
		return body, nil
	}
	body := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(bounded, body); err != nil {
		return nil, readFailure(err)
	}
	return body, nil
}

// headBytes returns the approximate size of the head of a request in bytes.
func headBytes(r *http.Request) int64 {
	n := len(r.RequestURI)
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value)
		}
	}
	return int64(n)
}

// readFailure returns the failure of a request whose body could not be read.
func readFailure(err error) *failure.Request {
	var large *http.MaxBytesError
	var full *memory.FullError
	switch {
	case errors.As(err, &large):
		return tooLarge(err)
	case errors.As(err, &full):
		return full.Refusal()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &failure.Request{Code: failure.CallerGone, Ran: failure.NotRun, Message: "nothing of the request's body came for too long", Cause: err}
	}
	return &failure.Request{Code: failure.CallerGone, Ran: failure.NotRun, Message: "the request broke off", Cause: err}
}

func tooLarge(err error) *failure.Request {
	return &failure.Request{Code: failure.TooLarge, Ran: failure.NotRun, Message: "the body is over the limit", Cause: err}
}

const (
	// maxDiscard is how long the rest of a refused request is read at most.
	maxDiscard = 5 * time.Second
	// maxDiscardedByServer is the size in bytes up to which net/http itself discards what is left of a body.
	maxDiscardedByServer = 256 << 10
)

// leavesLongBody reports whether net/http would close the connection of a rejected request because of what is left of its
// body. Bodies of unknown length are mostly short.
func leavesLongBody(r *http.Request, failed *failure.Request) bool {
	if r.ContentLength < 0 {
		return failed.Code == failure.MemoryFull || failed.Code == failure.TooLarge
	}
	return r.ContentLength > maxDiscardedByServer
}

// discardBody sends what was written of a refusal, and then reads and discards the body: a caller that first sends the
// whole request would otherwise find its connection reset, without the response.
func discardBody(w http.ResponseWriter, r *http.Request, stall time.Duration) {
	control := http.NewResponseController(w)
	if r.Header.Get("Expect") != "" || control.Flush() != nil || control.SetReadDeadline(time.Now().Add(min(stall, maxDiscard))) != nil {
		return // the body is not sent, or the caller has gone
	}
	_, _ = io.Copy(io.Discard, r.Body) // the response was sent, however the request ends
}
