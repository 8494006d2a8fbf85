package caller

import (
	"crypto/rand"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/springweir/springweir/caller/wire"
	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/forward"
	"github.com/springweir/springweir/internal/clock"
)

// Handler serves callers. It is safe for concurrent use.
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

// exchange is one request under way and the way to answer it.
type exchange struct {
	w http.ResponseWriter
	r *http.Request
	// work is filled in as far as the headers tell.
	work  *forward.Work
	kind  kind
	start time.Time
	// org is the caller's organisation.
	org Organisation
	// asked is the time that the caller gives; zero is none named.
	asked time.Duration
	// model is what a generation is asked of.
	model Model
	// failed is set once the request's failure was noted.
	failed bool
}

// handle reads what all requests have in common and answers failures.
func (h *Handler) handle(k kind, serve func(*exchange) *failure.Request) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		start := clock.Now()
		work := &forward.Work{ID: rand.Text(), FromOtherZone: r.Header.Get(wire.HeaderHop) != ""}
		w.Header().Set(wire.HeaderRequest, work.ID)
		if attempt := r.Header.Get(wire.HeaderAttempt); attempt != "" {
			w.Header().Set(wire.HeaderAttempt, attempt)
		}
		x := &exchange{w: w, r: r, work: work, kind: k, start: start}
		failed := h.readHeaders(x)
		if work.FromOtherZone {
			x.kind = kindHop
		}
		x.arrived()
		if failed == nil {
			failed = serve(x)
		}
		if failed != nil {
			x.fail(failed)
		}
		x.ended()
	}
}

// readHeaders fills in what the headers tell.
func (h *Handler) readHeaders(x *exchange) *failure.Request {
	auth := x.r.Header.Get("Authorization")
	key, found := strings.CutPrefix(auth, "Bearer ")
	org, known := h.cfg.Organisations.Organisation(key)
	if !found || !known {
		return refused(failure.Unauthorised, "the API key is missing or unknown")
	}
	x.org = org
	x.work.Organisation = org.Name
	x.work.Authorization = auth
	x.work.IdempotencyKey = x.r.Header.Get(wire.HeaderIdempotencyKey)
	if len(x.work.IdempotencyKey) > maxIdempotencyKey {
		return refused(failure.BadRequest, "the idempotency key is over 255 bytes")
	}
	priority, failed := priorityOf(x.r.Header.Get(wire.HeaderPriority), org)
	if failed != nil {
		return failed
	}
	x.work.Priority = priority
	x.asked, failed = askedTime(x.r.Header.Get(wire.HeaderDeadline))
	h.bound(x, Limits{})
	return failed
}

const maxIdempotencyKey = 255

// priorityNames are the values of wire.HeaderPriority.
var priorityNames = map[string]engine.Priority{
	"interactive": engine.Interactive,
	"standard":    engine.Standard,
	"batch":       engine.Batch,
}

// priorityOf is the class that a request names, or else its organisation's. A
// lower number is more urgent.
func priorityOf(name string, org Organisation) (engine.Priority, *failure.Request) {
	if name == "" {
		return max(org.Priority, org.PriorityLimit), nil
	}
	p, ok := priorityNames[name]
	if !ok {
		return 0, refused(failure.BadRequest, wire.HeaderPriority+" must be interactive, standard or batch")
	}
	if p < org.PriorityLimit {
		return 0, refused(failure.NotAllowed, "the organisation may not use this priority")
	}
	return p, nil
}

// maxAsked bounds the time asked for, so that no sum of times overflows.
const maxAsked = 365 * 24 * time.Hour

// askedTime reads the deadline that a caller names; zero is none.
func askedTime(header string) (time.Duration, *failure.Request) {
	if header == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(header, 10, 64)
	if err != nil || ms <= 0 {
		return 0, refused(failure.BadRequest, wire.HeaderDeadline+" must be a positive number of milliseconds")
	}
	return time.Duration(min(ms, maxAsked.Milliseconds())) * time.Millisecond, nil
}

// bound applies the limits of what is called and returns them.
func (h *Handler) bound(x *exchange, l Limits) Limits {
	l = h.cfg.limits(l)
	if x.work.FromOtherZone {
		l.MaxBody += hopRoom
	}
	x.work.Deadline = x.start.Add(l.timeLeft(x.asked, x.work.Priority))
	return l
}

// hopRoom is what entries may add to the body of a request that they pass on.
const hopRoom = 1 << 20

func noSuchPath(*exchange) *failure.Request {
	return refused(failure.NoSuchPath, "no such path, or not with this method")
}

func (h *Handler) models(x *exchange) *failure.Request {
	list := wire.ModelList{Object: wire.ObjectList, Data: []wire.Model{}}
	for _, m := range h.cfg.Catalogue.Models() {
		if !mayUse(x.org.Models, m.Base) {
			continue
		}
		list.Data = append(list.Data, wire.Model{ID: m.Name, Object: wire.ObjectModel, OwnedBy: "springweir"})
	}
	x.writeJSON(http.StatusOK, list)
	return nil
}
