package service

import (
	"errors"
	"net/http"
	"testing"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/internal/loopback"
)

// checkNoResponse fails the test unless a call that is answered with bytes fails, with an unknown outcome.
func checkNoResponse(t *testing.T, answer string) {
	t.Helper()
	client := NewClient(Options{Address: loopback.Answer(t, answer)})
	defer client.Close()
	response, err := client.Do(t.Context(), Call{Method: http.MethodPost, Path: "/x", Attempt: "a.1", Body: []byte("body")})
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
