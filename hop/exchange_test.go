package hop_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/caller/wire"
	"github.com/springweir/springweir/hop"
	"github.com/springweir/springweir/internal/h1"
)

func TestRequestReachesTheEndpointUnchanged(t *testing.T) {
	large := strings.Repeat("0123456789", 10_000)
	for _, tt := range []struct {
		name   string
		out    h1.Request
		line   string
		fields []string
	}{
		{
			"body and repeated headers",
			h1.Request{Method: "POST", Target: "/a//b/../c%2Fd?x=1&y=%20;z", Host: "svc.example:81", Body: []byte("a\r\nb\x00"), HasBody: true,
				Header: http.Header{"X-Two": {"1", "2", "1"}, "Accept": {""}, "Authorization": {"Bearer k"}}},
			"POST /a//b/../c%2Fd?x=1&y=%20;z HTTP/1.1",
			[]string{"Accept: ", "Authorization: Bearer k", "Content-Length: 5", "Host: svc.example:81", "X-Two: 1", "X-Two: 1", "X-Two: 2"},
		},
		{
			"empty body", h1.Request{Method: "PUT", Target: "/", Host: "h", HasBody: true}, "PUT / HTTP/1.1",
			[]string{"Content-Length: 0", "Host: h"},
		},
		{"no body", h1.Request{Method: "GET", Target: "//x", Host: "h"}, "GET //x HTTP/1.1", []string{"Host: h"}},
		{"own method", h1.Request{Method: "PURGE", Target: "/x", Host: "h"}, "PURGE /x HTTP/1.1", []string{"Host: h"}},
		{
			"large body", h1.Request{Method: "POST", Target: "/", Host: "h", Body: []byte(large), HasBody: true}, "POST / HTTP/1.1",
			[]string{"Content-Length: 100000", "Host: h"},
		},
		{
			"headers of springweir set by the caller",
			h1.Request{Method: "GET", Target: wire.PathConnect, Host: "h", Header: http.Header{
				wire.HeaderHop: {"vm-x"}, wire.HeaderAttempt: {"a"}, wire.HeaderEndpoint: {"e9"}, wire.HeaderIncarnation: {"e9@1"},
				wire.HeaderDeadline: {"1"}, wire.HeaderReason: {"vm-busy"}, wire.HeaderConnect: {"1"}, "springweir-other": {"x"}, "X": {"1"},
			}},
			"GET " + wire.PathConnect + " HTTP/1.1", []string{"Host: h", "X: 1"},
		},
		{
			"headers of a connection",
			h1.Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{
				"Connection": {"close, x-named"}, "X-Named": {"1"}, "Keep-Alive": {"timeout=1"}, "Te": {"trailers"}, "Expect": {"100-continue"}, "X": {"1"},
			}},
			"GET / HTTP/1.1", []string{"Host: h", "X: 1"},
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			inSite(t, raw(emptyOK), func(t *testing.T, s *site) {
				given := tt.out.Header.Clone()
				response, err := s.do(t.Context(), &tt.out)
				if err != nil {
					t.Fatal(err)
				}
				response.Close()
				want := []rawRequest{{line: tt.line, fields: tt.fields, body: string(tt.out.Body)}}
				if diff := cmp.Diff(want, s.requests(), cmp.AllowUnexported(rawRequest{})); diff != "" {
					t.Errorf("requests at the endpoint (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff(given, tt.out.Header); diff != "" {
					t.Errorf("the given headers changed (-want +got):\n%s", diff)
				}
			})
		})
	}
}

func TestResponseIsPassedOnUnchanged(t *testing.T) {
	for _, tt := range []struct {
		name, method, response string
		status                 int
		length                 int64
		header                 http.Header
		body                   string
	}{
		{"known length", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nSet-Cookie: a\r\nSet-Cookie: b\r\n\r\nok", 200, 2,
			http.Header{"Content-Length": {"2"}, "Set-Cookie": {"a", "b"}}, "ok"},
		{"own date and type", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nDate: today\r\nContent-Type: text/x\r\n\r\nok", 200, 2,
			http.Header{"Content-Length": {"2"}, "Date": {"today"}, "Content-Type": {"text/x"}}, "ok"},
		{"chunked", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n1\r\n!\r\n0\r\n\r\n", 200, -1, http.Header{}, "ok!"},
		{"chunked and empty", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 200, -1, http.Header{}, ""},
		{"after an interim response", "GET", "HTTP/1.1 102 Processing\r\n\r\n" + emptyOK, 200, 0, http.Header{"Content-Length": {"0"}}, ""},
		{"error", "POST", "HTTP/1.1 500 E\r\nContent-Length: 4\r\nRequest-Id: r\r\n\r\nfail", 500, 4,
			http.Header{"Content-Length": {"4"}, "Request-Id": {"r"}}, "fail"},
		{"refusal", "POST", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nX-Refused: 1\r\nRetry-After: 2\r\n\r\n", 503, 0,
			http.Header{"Content-Length": {"0"}, "X-Refused": {"1"}, "Retry-After": {"2"}}, ""},
		{"no content", "DELETE", "HTTP/1.1 204 None\r\nX: 1\r\n\r\n", 204, 0, http.Header{"X": {"1"}}, ""},
		{"head", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", 200, 9, http.Header{"Content-Length": {"9"}}, ""},
		{"headers of springweir", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nSpringweir-Reason: vm-busy\r\nspringweir-attempt: a\r\n\r\nok", 200, 2,
			http.Header{"Content-Length": {"2"}}, "ok"},
		{"headers of a connection", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: x-named\r\nX-Named: 1\r\nKeep-Alive: timeout=1\r\n\r\nok", 200, 2,
			http.Header{"Content-Length": {"2"}}, "ok"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			inSite(t, raw(tt.response), func(t *testing.T, s *site) {
				out := get()
				out.Method = tt.method
				response, err := s.do(t.Context(), out)
				if err != nil {
					t.Fatal(err)
				}
				defer response.Close()
				body, err := response.ReadAll(100)
				if err != nil || string(body) != tt.body {
					t.Errorf("body %q, %v, want %q", body, err, tt.body)
				}
				if response.Status != tt.status || response.Length != tt.length {
					t.Errorf("status %d, length %d, want %d, %d", response.Status, response.Length, tt.status, tt.length)
				}
				if diff := cmp.Diff(tt.header, response.Header); diff != "" {
					t.Errorf("headers (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// Each event is passed on before the endpoint sends the next, and the head before the first.
func TestStreamIsPassedOnAsItComes(t *testing.T) {
	var next chan string // made in virtual time
	reply := func(c net.Conn, _ rawRequest) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for chunk := range next {
			_, _ = io.WriteString(c, chunk)
		}
		return true
	}
	inSite(t, reply, func(t *testing.T, s *site) {
		next = make(chan string)
		response, err := s.do(t.Context(), get())
		if err != nil {
			t.Fatal(err)
		}
		defer response.Close()
		buffer := make([]byte, 100)
		for _, event := range []string{"data: 1\n\n", "data: 2\n\n"} {
			next <- "9\r\n" + event + "\r\n"
			n, err := response.Read(buffer)
			if got := string(buffer[:n]); got != event || err != nil {
				t.Errorf("got %q, %v, want %q", got, err, event)
			}
		}
		next <- "0\r\n\r\n"
		close(next)
		if n, err := response.Read(buffer); n != 0 || err != io.EOF {
			t.Errorf("got %d bytes, %v at the end", n, err)
		}
	})
}

// A response that breaks off at the endpoint must not look complete at the first VM, and what the
// endpoint sent arrives.
func TestTruncatedBodyStaysTruncated(t *testing.T) {
	for name, response := range map[string]string{
		"known length":         "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab",
		"chunked":              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
		"within a chunk":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
		"within the last line": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0",
	} {
		t.Run(name, func(t *testing.T) {
			reply := func(c net.Conn, r rawRequest) bool {
				raw(response)(c, r)
				return false
			}
			inSite(t, reply, func(t *testing.T, s *site) {
				got, err := s.do(t.Context(), get())
				if err != nil {
					t.Fatal(err)
				}
				defer got.Close()
				body, err := io.ReadAll(got)
				if string(body) != "ab" || err == nil {
					t.Errorf("got %q, %v, want ab and an error", body, err)
				}
			})
		})
	}
}

func TestBeforeWrite(t *testing.T) {
	withdrawn := errors.New("withdrawn")
	for _, tt := range []struct {
		name     string
		err      error
		requests int
	}{{"sent", nil, 1}, {"withdrawn", withdrawn, 0}} {
		t.Run(tt.name, func(t *testing.T) {
			inSite(t, raw(emptyOK), func(t *testing.T, s *site) {
				calls := 0
				out := get()
				out.BeforeWrite = func(r *h1.Request) error {
					calls++
					r.Header.Set("X-Late", "1")
					r.Header.Set(wire.HeaderEndpoint, "e9")
					return tt.err
				}
				response, err := s.do(t.Context(), out)
				if err == nil {
					response.Close()
				}
				var exchange *h1.Error
				if tt.err != nil && (!errors.As(err, &exchange) || exchange.Sent || exchange.Cause != tt.err) {
					t.Errorf("got %v", err)
				}
				requests := s.requests()
				if calls != 1 || len(requests) != tt.requests {
					t.Fatalf("%d calls, %d requests, want 1, %d", calls, len(requests), tt.requests)
				}
				if len(requests) == 1 && (requests[0].fields[1] != "X-Late: 1" || requests[0].hasOwnField()) {
					t.Errorf("headers %q", requests[0].fields)
				}
			})
		})
	}
}

// Each request is sent once, on a connection that is kept; MaxIdle applies to it.
func TestConnectionsToVMs(t *testing.T) {
	inSite(t, raw(emptyOK), func(t *testing.T, s *site) {
		dials := 0
		counted := s.network.Network()
		counted.Dial = countDials(&dials, counted.Dial)
		s.client = hop.NewClient("vm-a", h1.Options{Network: counted})
		send := func(maxIdle int) {
			out := get()
			out.Header.Set("Connection", "close") // concerns the connection to the endpoint only
			if maxIdle < 0 {
				out.MaxIdle = h1.NewConnection
			}
			response, err := s.do(t.Context(), out)
			if err != nil {
				t.Fatal(err)
			}
			response.Close()
		}
		for _, step := range []struct{ maxIdle, dials int }{{0, 1}, {0, 1}, {-1, 2}} {
			if send(step.maxIdle); dials != step.dials {
				t.Errorf("%d connections, want %d", dials, step.dials)
			}
		}
		s.client.Retain([]string{vmAddress})
		if send(0); dials != 2 {
			t.Errorf("%d connections after the VM stayed, want 2", dials)
		}
		s.client.Retain([]string{"other:1"})
		if send(0); dials != 3 {
			t.Errorf("%d connections after the VM had gone, want 3", dials)
		}
	})
}

// A response that Accept rejects belongs to another request. The first VM does not wait for another.
func TestRejectedResponse(t *testing.T) {
	inSite(t, raw(emptyOK), func(t *testing.T, s *site) {
		out := get()
		out.Accept = func(int, http.Header) bool { return false }
		_, err := s.do(t.Context(), out)
		var exchange *h1.Error
		var stray *h1.StrayResponseError
		if !errors.As(err, &exchange) || !exchange.Sent || !errors.As(err, &stray) {
			t.Errorf("got %v", err)
		}
	})
}
