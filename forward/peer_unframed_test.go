package forward

import (
	"errors"
	"net/http"
	"testing"

	"github.com/springweir/springweir/caller/wire"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/internal/loopback"
	"github.com/springweir/springweir/service"
)

// Guards against a part of a body that counts as the complete response of another zone's entry: nothing tells the end of
// one without a length or chunks from a reset that reaches the writer of the request first.
func TestUnframedResponseOfPeerIsIncomplete(t *testing.T) {
	address := loopback.Answer(t, "HTTP/1.1 200 OK\r\n"+wire.HeaderAttempt+": r.1\r\n\r\npart")
	transport := NewPeerTransport()
	defer transport.CloseIdleConnections()
	call := service.Call{Method: http.MethodPost, Path: "/x", Header: http.Header{}, Attempt: "r.1", Body: []byte("upload")}
	resp, err := NewPeerTarget(address, transport).Do(t.Context(), &Work{ID: "r", Service: "slots"}, call)
	var failed *failure.Request
	if !errors.As(err, &failed) || failed.Code != failure.AnswerTruncated || failed.Ran != failure.Unknown {
		t.Errorf("got %+v, %v", resp, err)
	}
}
