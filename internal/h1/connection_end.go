package h1

import (
	"errors"
	"fmt"
	"net/http"
	"os"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sys/unix"

	"github.com/springweir/springweir/failure"
)

// A response that only the end of its connection ends is incomplete if the connection ended for another reason:
//   - If a process ends, the kernel closes its connections as if each response had been complete.
//   - A socket reports an error such as a reset once, to the first call that meets it. If that is a write of the request's
//     body, the reader sees an end.

var (
	endedWithServer  = metrics.NewCounter("springweir_responses_ended_with_server_total")
	brokenWhileWrite = metrics.NewCounter("springweir_responses_broken_during_write_total")
)

// ServerEndedError is a response that ended with its connection, as the connections of a process that has ended do.
type ServerEndedError struct{}

// Error implements error.
func (*ServerEndedError) Error() string {
	return "only the end of the connection ended the response, and the server has ended too"
}

// Reason implements failure.Coded.
func (*ServerEndedError) Reason() failure.Reason { return failure.AnswerTruncated }

// IsFramed reports whether something other than the end of the connection ends a response.
func IsFramed(r *http.Response) bool {
	return r.ContentLength >= 0 || len(r.TransferEncoding) > 0 || r.Body == http.NoBody
}

// UnframedError is a response that only the end of its connection ends, of a peer that frames all responses.
type UnframedError struct{}

// Error implements error.
func (*UnframedError) Error() string { return "the response has neither a length nor chunks" }

// Reason implements failure.Coded.
func (*UnframedError) Reason() failure.Reason { return failure.AnswerTruncated }

// BrokenConnectionError is a response whose connection broke while the body of the request was being written.
type BrokenConnectionError struct {
	// Cause is the error of the write.
	Cause error
}

// Error implements error.
func (e *BrokenConnectionError) Error() string {
	return fmt.Sprintf("the connection broke while the request was still being written: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *BrokenConnectionError) Unwrap() error { return e.Cause }

// Reason implements failure.Coded.
func (*BrokenConnectionError) Reason() failure.Reason { return failure.AnswerTruncated }

// checkEnd returns why the end of the connection does not end the response, or nil if it does.
func (ex *exchange) checkEnd() error {
	if err := ex.checkWrite(); err != nil {
		return err
	}
	return ex.checkServer()
}

// checkWrite ends the writing of the body, and returns *BrokenConnectionError if it met an error of the connection.
func (ex *exchange) checkWrite() error {
	if ex.writeDone == nil {
		return nil
	}
	// A write that has met an error reports that in place of the deadline.
	_ = ex.conn.SetWriteDeadline(pastDeadline) // fails only if the connection is closed, which ends the write too
	err := <-ex.writeDone
	ex.writeDone <- err
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, unix.EPIPE) {
		return nil // EPIPE: the peer had ended its side in order before it stopped reading
	}
	brokenWhileWrite.Inc()
	return &BrokenConnectionError{Cause: err}
}

// checkServer returns *ServerEndedError if the server has ended.
func (ex *exchange) checkServer() error {
	if ex.serverEnded == nil || !ex.serverEnded() {
		return nil
	}
	endedWithServer.Inc()
	return &ServerEndedError{}
}
