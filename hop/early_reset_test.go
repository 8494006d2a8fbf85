package hop_test

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a part of a body that another VM passes on as complete: the endpoint answers a long upload early, without
// a length, and its connection breaks while the upload is still being written.
func TestEarlyResponseOnBrokenConnectionIsIncomplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		listener, err := s.network.Listen(endpointAddress)
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nabc") // an error shows in the response
			}
		}()
		s.startVM()
		upload := get()
		upload.Method, upload.Body = http.MethodPost, make([]byte, 1<<20)
		if got, err := s.do(t.Context(), upload); err == nil {
			if body, err := io.ReadAll(got); err == nil {
				t.Errorf("looks whole: %q", body)
			}
			got.Close()
		}
		s.client.Retain(nil)
		_ = s.vm.Close()
		s.endpoints.Close()
		_ = listener.Close()
		time.Sleep(lingerTime)
	})
}
