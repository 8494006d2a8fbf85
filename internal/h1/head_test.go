package h1

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// Guards against a head with a byte in a field name that is invalid there, at its begin, within it or at its end. The head
// arrives in two parts, which are divided at that field.
func TestMalformedFieldNames(t *testing.T) {
	const token = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
	respond := func(head string, cut int) *server {
		return serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
			if _, _, err := readRequest(r); err == nil {
				_, _ = io.WriteString(c, head[:cut]) // an error shows in the response
				_, _ = io.WriteString(c, head[cut:])
			}
		})
	}
	for b := range 256 {
		if b == ':' || b == '\n' {
			continue // the end of the name, and of the line
		}
		for _, name := range []string{"%cX-Field", "X-%cField", "X-Field%c"} {
			field := strings.Replace(name, "%c", string([]byte{byte(b)}), 1)
			head := fmt.Sprintf("HTTP/1.1 200 OK\r\nServer: s\r\n%s: 1\r\nContent-Length: 3\r\n\r\nabc", field)
			s := respond(head, strings.Index(head, "X-"))
			p := newPool(t, s, Options{})
			body, err := roundTrip(t, p, &Request{Method: http.MethodGet, Target: "/", Host: "h"})
			if valid := strings.IndexByte(token, byte(b)) >= 0; valid != (err == nil) || valid && body != "abc" {
				t.Errorf("%q: got %q, %v", field, body, err)
			}
			p.Close()
			s.Close()
		}
	}
}

// Guards against an error that quotes a head of 64 KiB in a log line.
func TestErrorsOfMalformedHeadsAreShort(t *testing.T) {
	long := strings.Repeat("a", 60<<10)
	for _, r := range []*http.Response{{StatusCode: 0, Status: "000 " + long}, {StatusCode: 200, Header: http.Header{"X " + long: {"1"}}}} {
		if err := CheckHead(r); err == nil || len(err.Error()) > 2*maxErrorText {
			t.Errorf("status %d: %.300v", r.StatusCode, err)
		}
	}
}

// Guards against malformed heads of other VMs, which generated clients call over net/http.
func TestMalformedHeadsOfVMs(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 200 OK\r\nX-Field : 1\r\n", "HTTP/1.1 000 In Trouble\r\n"} {
		s := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
			if _, _, err := readRequest(r); err == nil {
				_, _ = io.WriteString(c, head+"Content-Length: 3\r\n\r\nabc") // an error shows in the response
			}
		})
		client := LimitBodies(&http.Client{Transport: &http.Transport{}}, MaxFailureBody)
		if resp, err := client.Get("http://" + s.Addr().String()); err == nil {
			resp.Body.Close()
			t.Errorf("%q gave status %d", head, resp.StatusCode)
		}
		client.CloseIdleConnections()
	}
}
