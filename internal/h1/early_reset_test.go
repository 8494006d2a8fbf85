package h1

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/springweir/springweir/internal/network"
)

// longUpload does not fit the buffers of a connection on loopback.
const longUpload = 32 << 20

// errorAtWrite is a connection whose error is reported to the writer of the body: a socket reports an error once, to the
// first call that meets it, and an end to all later ones.
type errorAtWrite struct {
	net.Conn
	// failed is closed once the writer has met the error, and ended once the reader has met the end, which the writer awaits.
	failed, ended chan struct{}
	read          int
}

func dialErrorAtWrite(ctx context.Context, kind, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, kind, address)
	return &errorAtWrite{Conn: c, failed: make(chan struct{}), ended: make(chan struct{})}, err
}

// Write implements net.Conn.
func (c *errorAtWrite) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if err != nil {
		close(c.failed)
		<-c.ended
	}
	return n, err
}

// Read implements net.Conn.
func (c *errorAtWrite) Read(b []byte) (int, error) {
	if c.read > 0 {
		<-c.failed
	}
	n, err := c.Conn.Read(b)
	c.read += n
	if err != nil {
		close(c.ended)
	}
	return n, err
}

// resetEarly answers each request with bytes before it has read the body, and resets the connection.
func resetEarly(t *testing.T, answer string) *server {
	return serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, answer) // an error shows in the response
		time.Sleep(20 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0) // an error shows in the response
	})
}

// Guards against a response without a frame that counts as complete although its connection was reset: the error of the
// reset reaches the goroutine that still writes the body, and the reader sees an end.
func TestEarlyResponseCutByResetIsIncomplete(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 201 Created\r\nConnection: close\r\n\r\n", "HTTP/1.1 404 Not Found\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\n",
	} {
		for _, part := range []string{"", "part of a bo"} {
			t.Run(fmt.Sprintf("%.12s with %d bytes", head, len(part)), func(t *testing.T) {
				p := newPool(t, resetEarly(t, head+part), Options{Network: network.Network{Dial: dialErrorAtWrite}})
				resp, err := p.Do(t.Context(), post(string(make([]byte, longUpload))))
				if err != nil {
					t.Fatal(err)
				}
				defer resp.Close()
				body, err := io.ReadAll(resp)
				if err == nil || string(body) != part || !ClosedByPeer(err) {
					t.Errorf("got %q, %v", body, err)
				}
			})
		}
	}
}

// Guards against the same of other VMs, which generated clients call over net/http.
func TestEarlyResponseOfVMCutByResetIsIncomplete(t *testing.T) {
	s := resetEarly(t, "HTTP/1.1 200 OK\r\n\r\npart of a bo")
	client := LimitBodies(&http.Client{Transport: &http.Transport{DialContext: dialErrorAtWrite}}, MaxFailureBody)
	resp, err := client.Post("http://"+s.Addr().String(), "", bytes.NewReader(make([]byte, longUpload)))
	if err != nil {
		return
	}
	defer resp.Body.Close()
	if body, err := io.ReadAll(resp.Body); err == nil {
		t.Errorf("got %q", body)
	}
}

// Guards against a complete response without a frame that counts as cut because the body was not read to its end: the server
// ends its side of the connection in order, and then stops reading, or goes on, or resets the connection.
func TestEarlyResponseEndedInOrderIsComplete(t *testing.T) {
	const whole = "the whole body"
	for name, after := range map[string]func(c *net.TCPConn, r *bufio.Reader){
		"reads no more": func(*net.TCPConn, *bufio.Reader) { time.Sleep(100 * time.Millisecond) },
		"reads on":      func(_ *net.TCPConn, r *bufio.Reader) { _, _ = io.CopyN(io.Discard, r, longUpload) },
		"resets":        func(c *net.TCPConn, _ *bufio.Reader) { _ = c.SetLinger(0) },
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+whole) // an error shows in the response
				_ = c.(*net.TCPConn).CloseWrite()                         // an error shows in the response
				time.Sleep(20 * time.Millisecond)
				after(c.(*net.TCPConn), r)
			})
			resp, err := newPool(t, s, Options{}).Do(t.Context(), post(string(make([]byte, longUpload))))
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Close()
			time.Sleep(40 * time.Millisecond) // the server has done what it does after its response
			if body, err := io.ReadAll(resp); err != nil || string(body) != whole {
				t.Errorf("got %q, %v", body, err)
			}
		})
	}
}
