package forward

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/springweir/springweir/caller/wire"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/service"
)

// Guards against a part of a body that counts as the complete response of another zone's entry: nothing tells the end of
// one without a length or chunks from a reset that reaches the writer of the request first.
func TestUnframedResponseOfPeerIsIncomplete(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+wire.HeaderAttempt+": r.1\r\n\r\npart") // an error shows in the response
		}
	}()
	transport := NewPeerTransport()
	defer transport.CloseIdleConnections()
	call := service.Call{Method: http.MethodPost, Path: "/x", Header: http.Header{}, Attempt: "r.1", Body: []byte("upload")}
	resp, err := NewPeerTarget(l.Addr().String(), transport).Do(t.Context(), &Work{ID: "r", Service: "slots"}, call)
	var failed *failure.Request
	if !errors.As(err, &failed) || failed.Code != failure.AnswerTruncated || failed.Ran != failure.Unknown {
		t.Errorf("got %+v, %v", resp, err)
	}
}
