package loopback

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// Answer starts a server that reads one request and answers it with text, whatever that is in HTTP, and returns its address.
func Answer(t testing.TB, text string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(c, text) // an error shows in the response
		}
	}()
	return l.Addr().String()
}
