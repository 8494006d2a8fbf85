package caller_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/springweir/springweir/caller/fakecaller"
	"github.com/springweir/springweir/service"
	"github.com/springweir/springweir/service/fakeservice"
)

// Guards against a response of a service that looks whole to a caller of HTTP/1.0 because the VM ended in the middle of it.
func TestServiceResponsesHaveALength(t *testing.T) {
	const length = 100_000
	h := newHarness()
	h.svc.Script(func(service.Call) fakeservice.Behaviour {
		return fakeservice.Behaviour{Body: strings.Repeat("x", length)}
	})
	server := httptest.NewServer(h.handler)
	defer server.Close()
	for _, proto := range []string{"HTTP/1.0", "HTTP/1.1"} {
		c, err := net.Dial("tcp", server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		fmt.Fprintf(c, "POST /s/slots/x %s\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: 0\r\n\r\n", proto, fakecaller.APIKey)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil || resp.StatusCode != http.StatusOK || resp.ContentLength != length || len(body) != length {
			t.Errorf("%s: status %d, length %d, %d bytes, %v", proto, resp.StatusCode, resp.ContentLength, len(body), err)
		}
	}
}
