package engine

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/failure"
)

const adminPath = "/admin/"

// AttemptRecord is the outcome of an attempt.
type AttemptRecord struct {
	ID      string `json:"id"`
	Attempt string `json:"attempt"`
	// Ran is set once the model has computed any part of the attempt, Whole once it has
	// computed all of it.
	Ran   bool `json:"ran"`
	Whole bool `json:"whole"`
	// From and To delimit the range of computed tokens, as positions in the response.
	From int `json:"from"`
	To   int `json:"to"`
}

// OrderRecord is a received order. Refused is empty for accepted orders.
type OrderRecord struct {
	Order   engine.Order   `json:"order"`
	At      time.Duration  `json:"at_ns"`
	Refused failure.Reason `json:"refused,omitempty"`
}

// History lists the attempts submitted to the model and the orders received since the engine
// started.
type History struct {
	Incarnation string          `json:"incarnation"`
	Attempts    []AttemptRecord `json:"attempts"`
	Orders      []OrderRecord   `json:"orders"`
}

func isAdmin(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, adminPath) }

func (s *Server) adminRoutes(m *http.ServeMux) {
	m.HandleFunc("POST "+adminPath+"leaving", func(http.ResponseWriter, *http.Request) { s.Leave() })
	m.HandleFunc("POST "+adminPath+"freeze", func(http.ResponseWriter, *http.Request) { s.Freeze() })
	m.HandleFunc("POST "+adminPath+"thaw", func(http.ResponseWriter, *http.Request) { s.Thaw() })
	m.HandleFunc("GET "+adminPath+"history", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		w.Write(encode(s.History()))
	})
}

// Freeze stops the model time. The engine still accepts connections, but responds only to /admin/.
func (s *Server) Freeze() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.frozen == nil {
		s.frozenAt = s.now()
		s.frozen = make(chan struct{})
	}
}

// Thaw ends Freeze. Requests that waited meanwhile are then served.
func (s *Server) Thaw() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.frozen != nil {
		close(s.frozen)
		s.frozen = nil
		s.frozenTotal = time.Since(s.start) - s.realDuration(s.frozenAt)
	}
}

// History returns the attempts, sorted by attempt ID, and the orders in order of arrival.
func (s *Server) History() History {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := History{Incarnation: s.opts.Incarnation, Orders: slices.Clone(s.orders)}
	for _, a := range s.attempts {
		h.Attempts = append(h.Attempts, a.record)
	}
	slices.SortFunc(h.Attempts, func(a, b AttemptRecord) int { return strings.Compare(a.Attempt, b.Attempt) })
	return h
}
