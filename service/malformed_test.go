package service

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/springweir/springweir/failure"
)

// answerWith returns the response of an endpoint that answers a call with bytes.
func answerWith(t *testing.T, answer string) (*Response, error) {
	t.Helper()
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
			_, _ = io.WriteString(c, answer) // an error shows in the response
		}
	}()
	client := NewClient(Options{Address: l.Addr().String()})
	defer client.Close()
	return client.Do(t.Context(), Call{Method: http.MethodPost, Path: "/x", Attempt: "a.1", Body: []byte("body")})
}

// checkNoResponse fails the test if a call got a response, or may not have run according to its failure.
func checkNoResponse(t *testing.T, answer string) {
	t.Helper()
	response, err := answerWith(t, answer)
	var failed *failure.Request
	if !errors.As(err, &failed) || failed.Code != failure.EndpointBroke || failed.Ran != failure.Unknown {
		t.Errorf("%q gave %+v, %v", answer, response, err)
	}
}

// Guards against a response with a status below 100, which panics where it is passed on to a caller.
func TestStatusBelow100IsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "099", "-00", "+20"} {
		checkNoResponse(t, "HTTP/1.1 "+status+" In Trouble\r\nContent-Length: 3\r\n\r\nabc")
	}
}

// Guards against a response that is passed on although a field name of its head is malformed, with a body that is framed
// otherwise than the endpoint meant.
func TestMalformedFieldNamesAreNoResponse(t *testing.T) {
	for _, line := range []string{
		"X Field: 1", "X-Field : 1", "X-Field\t: 1", "X-\x00Field: 1", "X-\x01Field: 1", "X-\x7fField: 1", ": 1", "Transfer-Encoding : chunked", "Content-Length : 4",
	} {
		checkNoResponse(t, "HTTP/1.1 200 OK\r\n"+line+"\r\nContent-Length: 3\r\n\r\nabc")
	}
}
