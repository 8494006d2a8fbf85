package gateway

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/memory"
)

// serveChunks starts a server that writes chunks of a response with the given bound on a stall, and returns its
// address and the errors of its responses.
func serveChunks(t *testing.T, chunks int, stall time.Duration) (address string, results chan error) {
	results = make(chan error, 1)
	chunk := make([]byte, writeChunk)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writer := newResponseWriter(w, r, "id", stall)
		defer writer.close()
		err := writer.WriteHead(http.StatusOK, http.Header{}, int64(chunks*len(chunk)))
		for i := 0; i < chunks && err == nil; i++ {
			err = writer.Write(chunk)
		}
		results <- err
	}))
	t.Cleanup(server.CloseClientConnections)
	return server.Listener.Addr().String(), results
}

// dialAndRequest sends a request and returns its connection, of which nothing was read.
func dialAndRequest(t *testing.T, address string) net.Conn {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	return conn
}

// Guards against a caller that reads nothing and keeps the endpoint that answers it busy for ever.
func TestWriteToCallerThatReadsNothingEnds(t *testing.T) {
	const stall = 300 * time.Millisecond
	address, results := serveChunks(t, 1<<10, stall) // 64 MiB, more than the kernel buffers
	dialAndRequest(t, address)
	select {
	case err := <-results:
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("ended with %v", err)
		}
	case <-time.After(10 * time.Second):
		t.Error("the write has not ended")
	}
}

// A caller that reads slowly gets its whole response, and the next one on the same connection.
func TestSlowCallerGetsWholeResponse(t *testing.T) {
	// The kernel accepts more only once a third of its buffer is free, up to a megabyte.
	const stall = 2 * time.Second
	const chunks = 512 // more than the kernel buffers
	address, results := serveChunks(t, chunks, stall)
	conn := dialAndRequest(t, address)
	began := time.Now()
	rest := chunks * writeChunk
	buffer := make([]byte, writeChunk)
	for rest > 0 {
		n, err := conn.Read(buffer)
		if err != nil {
			t.Fatalf("%d bytes missing: %v", rest, err)
		}
		rest -= n
		if time.Since(began) < 2*stall {
			time.Sleep(20 * time.Millisecond)
		}
	}
	if err := <-results; err != nil {
		t.Fatal(err)
	}
	time.Sleep(stall) // a deadline that was left would have passed
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	go func() { _, _ = io.Copy(io.Discard, conn) }()
	if err := <-results; err != nil {
		t.Errorf("the next response: %v", err)
	}
}

// Guards against a caller that sends a part of its request's body and no more: its connection and what is known to be
// on its way on the VM's link were kept for ever.
func TestBodyThatStopsArrivingEnds(t *testing.T) {
	const stall = 300 * time.Millisecond
	results := make(chan *failure.Request, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h := &handler{memory: memory.NewBudget(16<<20, nil), stall: stall}
		_, failed := h.readBody(w, r, 0, h.memory.Open())
		results <- failed
	}))
	t.Cleanup(server.CloseClientConnections)
	for _, tc := range []struct {
		name, request string
		want          failure.Reason
	}{
		{"a body that stops", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nten bytes.", failure.CallerGone},
		{"a whole body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nten bytes.", ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if _, err := io.WriteString(conn, tc.request); err != nil {
				t.Fatal(err)
			}
			select {
			case failed := <-results:
				if codeOf(failed) != tc.want || strings.Contains(causeOf(failed), "for too long") != (tc.want != "") {
					t.Errorf("ended with %v, want %q", failed, tc.want)
				}
			case <-time.After(10 * time.Second):
				t.Error("the read has not ended")
			}
		})
	}
}
