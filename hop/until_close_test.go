package hop_test

import (
	"io"
	"net"
	"testing"
)

// Guards against a response without a length or chunks that gets chunks between two VMs, and then counts as complete.
func TestResponsesThatEndWithTheirConnectionAreMarked(t *testing.T) {
	for name, tc := range map[string]struct {
		response   string
		untilClose bool
	}{
		"until close": {"HTTP/1.1 200 OK\r\n\r\nabc", true},
		"length":      {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", false},
		"chunks":      {chunkedHead + "3\r\nabc\r\n0\r\n\r\n", false},
		"forged mark": {"HTTP/1.1 200 OK\r\nSpringweir-Until-Close: 1\r\nContent-Length: 3\r\n\r\nabc", false},
		"no body":     {"HTTP/1.1 204 No Content\r\n\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			reply := func(c net.Conn, _ rawRequest) bool {
				_, _ = io.WriteString(c, tc.response) // an error shows in the response
				return !tc.untilClose
			}
			inSite(t, reply, func(t *testing.T, s *site) {
				got, err := s.do(t.Context(), get())
				if err != nil {
					t.Fatal(err)
				}
				defer got.Close()
				body, err := io.ReadAll(got)
				if err != nil || got.UntilClose != tc.untilClose || got.Header.Get("Springweir-Until-Close") != "" {
					t.Errorf("body %q, %v, until close %v, header %v", body, err, got.UntilClose, got.Header)
				}
			})
		})
	}
}

// A response that is cut at any byte of its head is none, also between two VMs.
func TestHeadsCutAtAnyByteAreNoResponse(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", chunkedHead, "HTTP/1.1 200 OK\r\nX: 1\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n" + chunkedHead,
	} {
		for cut := range len(head) {
			reply := func(c net.Conn, _ rawRequest) bool {
				_, _ = io.WriteString(c, head[:cut]) // an error shows in the response
				return false
			}
			inSite(t, reply, func(t *testing.T, s *site) {
				if got, err := s.do(t.Context(), get()); err == nil {
					got.Close()
					t.Errorf("%q cut at %d gave status %d", head, cut, got.Status)
				}
			})
		}
	}
}
