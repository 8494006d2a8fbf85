package caller

import (
	"crypto/rand"
	"net/http"

	"github.com/springweir/springweir/caller/wire"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/forward"
)

// WriteFailure writes the error response for a request that never reached a Handler, in the format
// of a Handler.
func WriteFailure(w http.ResponseWriter, r *http.Request, f *failure.Request) {
	x := &exchange{w: w, r: r, work: &forward.Work{ID: rand.Text()}}
	w.Header().Set(wire.HeaderRequest, x.work.ID)
	x.fail(f)
}
