package h1

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// Guards against a response whose head was cut short and that counts as one: at any byte, by an end or a reset, on a new
// connection and on one that was used before.
func TestHeadsCutAtAnyByte(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Field: 1\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
	} {
		for _, used := range []bool{false, true} {
			for cut := range 2 * len(head) {
				s := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
					for first := used; ; first = false {
						req, err := http.ReadRequest(r)
						if err != nil {
							return
						}
						_, _ = io.Copy(io.Discard, req.Body)
						if first {
							_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
							continue
						}
						_, _ = io.WriteString(c, head[:cut/2])
						if cut%2 == 1 {
							_ = c.(*net.TCPConn).SetLinger(0)
						}
						return
					}
				})
				pool := newPool(t, s, Options{})
				if used {
					response, err := pool.Do(t.Context(), &Request{Method: http.MethodPost, Target: "/", Host: "h"})
					if err != nil {
						t.Fatal(err)
					}
					response.Close()
				}
				if got, err := pool.Do(t.Context(), &Request{Method: http.MethodPost, Target: "/", Host: "h"}); err == nil {
					got.Close()
					t.Errorf("%q cut at %d gave status %d", head, cut/2, got.Status)
				}
				pool.Close()
				s.Close()
			}
		}
	}
}
