package caller_test

import (
	"strconv"
	"testing"
)

// Guards against a response of a service that looks whole to a caller of HTTP/1.0 because the VM ended in the middle of it.
func TestServiceResponsesHaveALength(t *testing.T) {
	r := newHarness()
	w := r.send("POST", "/s/slots/x", "body")
	if got, want := w.Header().Get("Content-Length"), strconv.Itoa(w.Body.Len()); w.Code != 200 || w.Body.Len() == 0 || got != want {
		t.Errorf("status %d, length %q, want %s", w.Code, got, want)
	}
}
