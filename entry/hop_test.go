package entry

import (
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/springweir/springweir/caller/wire"
)

// TestHopHeaderIgnoredFromCallers checks that the header which marks a request as forwarded
// by another zone's entry has no effect at the callers' address.
func TestHopHeaderIgnoredFromCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestZone(t, inMemoryOptions())
		defer s.shutDown()
		forged := request{
			method: http.MethodPost, path: wire.PathCompletions,
			body:   `{"model":"chat","prompt":"x","max_tokens":4,"springweir":{"prompt_tokens":1,"resume_from":2,"emitted":"a b"}}`,
			header: map[string]string{wire.HeaderHop: "b"},
		}
		status, body, err := s.do(t.Context(), forged)
		if err != nil || status != http.StatusBadRequest {
			t.Errorf("got %d %s (%v), want %d", status, body, err, http.StatusBadRequest)
		}
	})
}
