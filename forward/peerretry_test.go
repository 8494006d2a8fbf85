package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/springweir/springweir/service"
)

// closingServer responds to the first request of each connection and closes the connection after it
// has read the second, as when a keep-alive connection breaks after a request was handled.
func closingServer(t *testing.T) (address string, handled *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	handled = new(atomic.Int64)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveClosing(conn, handled)
		}
	}()
	return listener.Addr().String(), handled
}

func serveClosing(conn net.Conn, handled *atomic.Int64) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for n := 0; n < 2; n++ {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		handled.Add(1)
		if n == 0 {
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nSpringweir-Attempt: r.1\r\nContent-Length: 2\r\n\r\nok"))
		}
	}
}

func TestPeerTargetNeverRetries(t *testing.T) {
	tests := []struct {
		name, method string
		body         []byte
	}{
		{"post with a body", http.MethodPost, []byte("body")},
		{"post without a body", http.MethodPost, nil},
		{"get", http.MethodGet, nil},
		{"delete", http.MethodDelete, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			address, handled := closingServer(t)
			transport := NewPeerTransport()
			defer transport.CloseIdleConnections()
			peer := NewPeerTarget(address, transport)
			f := New(Config{})
			work := &Work{ID: "r", Service: "slots", IdempotencyKey: "k"}
			work.Call = service.Call{Method: tt.method, Path: "/x", Header: http.Header{}, Body: tt.body}
			target := Target{Name: "peer", Peer: peer}
			if _, failed := f.sendOnce(context.Background(), work, target, "r.1"); failed != nil {
				t.Fatalf("first call: %v", failed)
			}
			if _, failed := f.sendOnce(context.Background(), work, target, "r.1"); failed == nil || failed.Ran != "unknown" {
				t.Errorf("second call: %v, want a failure with outcome unknown", failed)
			}
			if got := handled.Load(); got != 2 {
				t.Errorf("server handled %d requests, want the 2 that were sent", got)
			}
		})
	}
}
