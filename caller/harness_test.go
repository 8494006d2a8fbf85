package caller_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/springweir/springweir/caller"
	"github.com/springweir/springweir/caller/fakecaller"
	"github.com/springweir/springweir/claim"
	"github.com/springweir/springweir/engine/fakeengine"
	"github.com/springweir/springweir/forward"
	"github.com/springweir/springweir/forward/fakeforward"
	"github.com/springweir/springweir/internal/transcript"
	"github.com/springweir/springweir/service/fakeservice"
	"github.com/springweir/springweir/table/memtable"
)

// harness is an entry whose dependencies are fakes.
type harness struct {
	log  transcript.Log
	rows *memtable.Table
	a, b *fakeengine.Engine
	// logA and logB record the calls to the engines.
	logA, logB transcript.Engine
	svc        *fakeservice.Endpoint
	forward    *forward.Forwarder
	handler    http.Handler
}

// newHarness returns an entry with two engines and a service. The targets in first are tried before
// them.
func newHarness(first ...forward.Target) *harness {
	r := &harness{rows: memtable.New(), svc: new(fakeservice.Endpoint)}
	r.log.Mask(`[A-Z2-7]{26}`, "<id>")
	opts := fakeengine.Options{FirstTokenDelay: 50 * time.Millisecond, TokenInterval: 20 * time.Millisecond}
	r.a, r.b = fakeengine.New(opts), fakeengine.New(opts)
	r.logA = transcript.Engine{Engine: r.a, Log: &r.log, Name: "engine-a"}
	r.logB = transcript.Engine{Engine: r.b, Log: &r.log, Name: "engine-b"}
	all := append(first,
		forward.Target{Name: "engine-a", Engine: &r.logA},
		forward.Target{Name: "engine-b", Engine: &r.logB},
		forward.Target{Name: "slots-1", Service: &transcript.Service{Endpoint: r.svc, Log: &r.log, Name: "slots-1"}},
	)
	claims := claim.NewStore(claim.Config{Table: &transcript.Table{Service: r.rows, Log: &r.log}, Owner: "vm-1"})
	r.forward = forward.New(forward.Config{Router: fakeforward.Router{Targets: all}, Admitter: fakeforward.AdmitAll{}, Claims: claims, MaxAttempts: 2})
	r.handler = r.log.Handler(caller.NewHandler(caller.Config{
		Organisations: fakecaller.Tree{}, Catalogue: fakecaller.Tree{}, Forwarder: r.forward, Limits: caller.Limits{MaxBody: 1 << 10},
	}))
	return r
}

// send serves one request in process and waits for the forwarder to become idle.
func (h *harness) send(method, path, body string, header ...string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(method, path, strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+fakecaller.APIKey)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	h.handler.ServeHTTP(w, req)
	h.forward.Wait()
	return w
}
