package gateway

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"golang.org/x/sys/unix"

	"github.com/springweir/springweir/memory"
)

// Guards against a response that looks whole to a caller of HTTP/1.0 because its connection was closed before its end.
func TestClosedConnectionsOfIncompleteResponsesAreReset(t *testing.T) {
	for name, tc := range map[string]struct {
		complete bool
		length   int64
		want     error
	}{
		"incomplete":              {length: -1, want: unix.ECONNRESET},
		"complete":                {length: -1, complete: true},
		"complete, with a length": {length: 3, complete: true},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			begun, closed := make(chan struct{}), make(chan struct{})
			server := &http.Server{ConnContext: connContext, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				writer := newResponseWriter(w, r, "id", callerStall)
				if err := errors.Join(writer.WriteHead(http.StatusOK, http.Header{}, tc.length), writer.Write([]byte("abc"))); err != nil {
					t.Error(err)
				}
				if tc.complete {
					writer.complete()
					return
				}
				close(begun)
				<-closed
			})}
			go func() { _ = server.Serve(&headListener{Listener: l, memory: memory.NewBudget(1<<20, nil)}) }() // ends with Close
			defer server.Close()
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			if _, err := io.WriteString(c, "GET / HTTP/1.0\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			if !tc.complete {
				<-begun
				_ = server.Close()
				close(closed)
			}
			if _, err := io.ReadAll(c); !errors.Is(err, tc.want) {
				t.Errorf("the response ended with %v, want %v", err, tc.want)
			}
		})
	}
}
