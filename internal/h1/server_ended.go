package h1

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/springweir/springweir/failure"
)

// If a process ends, the kernel closes its connections as if each response had been complete. A response that only the
// end of its connection ends is therefore incomplete if its server has ended too.

var endedWithServer = metrics.NewCounter("springweir_responses_ended_with_server_total")

// ServerEndedError is a response that ended with its connection, as the connections of a process that has ended do.
type ServerEndedError struct{}

// Error implements error.
func (*ServerEndedError) Error() string {
	return "only the end of the connection ended the response, and the server has ended too"
}

// Reason implements failure.Coded.
func (*ServerEndedError) Reason() failure.Reason { return failure.AnswerTruncated }

// checkServer returns *ServerEndedError if the server has ended.
func (ex *exchange) checkServer() error {
	if ex.serverEnded == nil || !ex.serverEnded() {
		return nil
	}
	endedWithServer.Inc()
	return &ServerEndedError{}
}
