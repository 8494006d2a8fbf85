package h1

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/springweir/springweir/failure"
)

// Guards against a response that only the end of its connection ends, and that counts as complete although its server has
// ended in the middle of it.
func TestResponsesThatEndWithTheirServerAreIncomplete(t *testing.T) {
	const unframed, framed = "HTTP/1.1 200 OK\r\n\r\nabc", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 3\r\n\r\nabc"
	for name, tc := range map[string]struct {
		response string
		ended    func() bool
		complete bool
	}{
		"ended":         {response: unframed, ended: func() bool { return true }},
		"serves on":     {response: unframed, ended: func() bool { return false }, complete: true},
		"not known":     {response: unframed, complete: true},
		"framed, ended": {response: framed, ended: func() bool { return true }, complete: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
				if _, _, err := readRequest(r); err == nil {
					_, _ = io.WriteString(c, tc.response) // an error shows in the response
				}
			})
			resp, err := newPool(t, s, Options{}).Do(t.Context(), &Request{Method: http.MethodPost, Target: "/", Host: "h", ServerEnded: tc.ended})
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Close()
			body, err := io.ReadAll(resp)
			var ended *ServerEndedError
			if string(body) != "abc" || (err == nil) != tc.complete || errors.As(err, &ended) == tc.complete {
				t.Errorf("got %q, %v", body, err)
			}
			if ended != nil && failure.ReasonOf(ended) != failure.AnswerTruncated {
				t.Errorf("the reason is %s", failure.ReasonOf(ended))
			}
		})
	}
}
