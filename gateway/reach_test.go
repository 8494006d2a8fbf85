package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/springweir/springweir/memory"
)

// Guards against memory that stays reserved after calls of other VMs that were refused.
func TestRefusedPeerCallsHoldNoMemory(t *testing.T) {
	g := &Gateway{requestMemory: memory.NewBudget(64<<20, nil)}
	mux := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	for _, tc := range []struct {
		length int64
		want   int
	}{{10, http.StatusOK}, {maxPeerCall + 1, http.StatusServiceUnavailable}, {-1, http.StatusServiceUnavailable}, {128 << 20, http.StatusServiceUnavailable}} {
		r := httptest.NewRequest(http.MethodPost, "/x", strings.NewReader("ten bytes."))
		r.ContentLength = tc.length
		w := httptest.NewRecorder()
		g.servePeerCall(mux, w, r)
		if w.Code != tc.want || g.requestMemory.Held() != 0 {
			t.Errorf("length %d: status %d, %d bytes held", tc.length, w.Code, g.requestMemory.Held())
		}
	}
}
