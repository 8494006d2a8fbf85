package caller

import (
	"crypto/rand"
	"net/http"
	"strings"
	"time"

	"github.com/springweir/springweir/caller/wire"
	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/forward"
	"github.com/springweir/springweir/hop"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/memory"
)

// Handler serves the HTTP API for callers. It is safe for concurrent use.
type Handler struct {
	cfg Config
	mux *http.ServeMux
}

// NewHandler returns a Handler.
func NewHandler(cfg Config) *Handler {
	h := &Handler{cfg: cfg.withDefaults(), mux: http.NewServeMux()}
	h.mux.HandleFunc("POST "+wire.PathChat, h.handle(kindChat, h.chat))
	h.mux.HandleFunc("POST "+wire.PathCompletions, h.handle(kindCompletion, h.completion))
	h.mux.HandleFunc("GET "+wire.PathModels, h.handle(kindModels, h.models))
	h.mux.HandleFunc(wire.PathServices, h.handle(kindService, h.serviceCall))
	h.mux.HandleFunc("/", h.handle(kindUnknown, noSuchPath))
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

// exchange is the state of one request and its response.
type exchange struct {
	w http.ResponseWriter
	r *http.Request
	// work holds what is known from the headers until the body is parsed.
	work  *forward.Work
	kind  kind
	start time.Time
	// held is the memory of the request.
	held *memory.Reservation
	// org is the caller's organisation.
	org Organisation
	// requestedTimeout is the time until the deadline that the caller requested, or zero.
	requestedTimeout time.Duration
	// model is the model of a chat or completion request.
	model Model
	// failed is set once a failure of the request has been recorded.
	failed bool
}

// handle wraps serve: it reads the headers common to all requests, counts the request, and writes
// the error response if serve returns a failure.
func (h *Handler) handle(k kind, serve func(*exchange) *failure.Request) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		start := clock.Now()
		work := &forward.Work{ID: rand.Text(), FromOtherZone: r.Header.Get(wire.HeaderHop) != ""}
		w.Header().Set(wire.HeaderRequest, work.ID)
		hop.EchoAttempt(w.Header(), r.Header)
		x := &exchange{w: w, r: r, work: work, kind: k, start: start, held: h.cfg.Memory.Open()}
		defer x.held.Release()
		failed := h.readHeaders(x)
		if work.FromOtherZone {
			x.kind = kindHop
		}
		x.countRequest()
		if failed == nil {
			failed = serve(x)
		}
		if failed != nil {
			x.fail(failed)
		}
		x.recordCompletion()
	}
}

// readHeaders authenticates the request and fills x and x.work from its headers.
func (h *Handler) readHeaders(x *exchange) *failure.Request {
	auth := x.r.Header.Get("Authorization")
	key, found := strings.CutPrefix(auth, "Bearer ")
	org, known := h.cfg.Organisations.Organisation(key)
	if !found || !known {
		return reject(failure.Unauthorised, "the API key is missing or unknown")
	}
	x.org = org
	x.work.Organisation = org.Name
	x.work.Authorization = auth
	x.work.IdempotencyKey = x.r.Header.Get(wire.HeaderIdempotencyKey)
	if len(x.work.IdempotencyKey) > maxIdempotencyKey {
		return reject(failure.BadRequest, "the idempotency key is over 255 bytes")
	}
	priority, failed := parsePriority(x.r.Header.Get(wire.HeaderPriority), org)
	if failed != nil {
		return failed
	}
	x.work.Priority = priority
	x.requestedTimeout, failed = hop.ParseDeadline(x.r.Header)
	h.applyLimits(x, Limits{})
	return failed
}

// maxIdempotencyKey is the maximum length of an idempotency key, in bytes.
const maxIdempotencyKey = 255

// priorityNames are the values of wire.HeaderPriority.
var priorityNames = map[string]engine.Priority{
	"interactive": engine.Interactive,
	"standard":    engine.Standard,
	"batch":       engine.Batch,
}

// parsePriority returns the class that a request specifies, or the organisation's default. A lower
// number is more urgent.
func parsePriority(name string, org Organisation) (engine.Priority, *failure.Request) {
	if name == "" {
		return max(org.Priority, org.PriorityLimit), nil
	}
	p, ok := priorityNames[name]
	if !ok {
		return 0, reject(failure.BadRequest, wire.HeaderPriority+" must be interactive, standard or batch")
	}
	if p < org.PriorityLimit {
		return 0, reject(failure.NotAllowed, "the organisation may not use this priority")
	}
	return p, nil
}

// applyLimits sets the deadline of x according to l, completed by the general limits, and returns
// the resulting limits. Requests from other zones may have larger bodies.
func (h *Handler) applyLimits(x *exchange, l Limits) Limits {
	l = h.cfg.limits(l)
	if x.work.FromOtherZone {
		l.MaxBody += hopBodyAllowance
	}
	x.work.Deadline = x.start.Add(l.timeout(x.requestedTimeout, x.work.Priority))
	return l
}

// hopBodyAllowance is the number of bytes that an entry may add to a request that it forwards to
// another zone.
const hopBodyAllowance = 1 << 20

func noSuchPath(*exchange) *failure.Request {
	return reject(failure.NoSuchPath, "no such path, or not with this method")
}

func (h *Handler) models(x *exchange) *failure.Request {
	list := wire.ModelList{Object: wire.ObjectList, Data: []wire.Model{}}
	for _, m := range h.cfg.Catalogue.Models() {
		if !isAllowed(x.org.Models, m.Base) {
			continue
		}
		list.Data = append(list.Data, wire.Model{ID: m.Name, Object: wire.ObjectModel, OwnedBy: "springweir"})
	}
	x.writeJSON(http.StatusOK, list)
	return nil
}
