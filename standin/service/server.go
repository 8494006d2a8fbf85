// Package service is a stand-in for a plain service. It counts how often each call ran,
// and can inject delays, crashes, refusals and mismatched responses.
package service

import (
	"context"
	"encoding/json"
	"hash/fnv"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/springweir/springweir/internal/loop"
	"github.com/springweir/springweir/service"
)

// Mode is the behaviour injected into calls.
type Mode string

// The modes.
const (
	Normal Mode = "normal"
	// Slow waits before the call runs. The call is not run if the caller disconnects.
	Slow Mode = "slow"
	// CrashAfterRun runs the call and closes the connection without a response.
	CrashAfterRun Mode = "crash-after-run"
	// LateResponse runs the call and waits before it responds.
	LateResponse Mode = "late-answer"
	// Refuse responds that the call was not run.
	Refuse Mode = "refuse"
	// Crossed runs the call and responds with the ID of another attempt.
	Crossed Mode = "crossed"
)

const (
	adminPath = "/admin/"
	maxBody   = 16 << 20
	// defaultDelay is the default delay of Slow and LateResponse.
	defaultDelay = 2 * time.Second
	headerTrue   = "true"
)

// Response is the body of a response. Sum is the FNV-1a checksum of the request body.
type Response struct {
	Call   string `json:"call"`
	Runs   int    `json:"runs"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Sum    uint32 `json:"sum"`
}

// Server is a stand-in service. It is safe for concurrent use.
type Server struct {
	mu        sync.Mutex
	mode      Mode
	delay     time.Duration
	remaining int
	leaving   bool
	inFlight  int
	runs      map[string]int
}

// New returns a server with the mode and delay; zero values select Normal and defaultDelay.
func New(mode Mode, delay time.Duration) *Server {
	s := &Server{runs: make(map[string]int)}
	s.Set(mode, delay, 0)
	return s
}

// Set sets the mode of the next calls, after which it returns to Normal. If calls is zero,
// the mode applies until the next Set. Zero values of mode and delay are as for New.
func (s *Server) Set(mode Mode, delay time.Duration, calls int) {
	if mode == "" {
		mode = Normal
	}
	if delay == 0 {
		delay = defaultDelay
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode, s.delay, s.remaining = mode, delay, calls
}

// Leave makes the service refuse new calls and announce that it is leaving.
func (s *Server) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// Open returns the number of calls in flight.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight
}

// Runs returns how often each call ran, by Idempotency-Key or, without one, by attempt.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

// beginCall counts a call as in flight and returns its mode and delay, and whether the
// service is leaving. Every beginCall must be followed by an endCall.
func (s *Server) beginCall() (Mode, time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
	mode, delay := s.mode, s.delay
	if s.remaining > 0 {
		s.remaining--
		if s.remaining == 0 {
			s.mode = Normal
		}
	}
	return mode, delay, s.leaving
}

func (s *Server) endCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}

// ServeHTTP implements http.Handler. Paths below /admin/ control the stand-in.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, adminPath) {
		s.admin(w, r)
		return
	}
	mode, delay, leaving := s.beginCall()
	defer s.endCall()
	attempt := r.Header.Get(service.AttemptHeader)
	w.Header().Set(service.AttemptHeader, attempt)
	if leaving {
		w.Header().Set(service.LeavingHeader, headerTrue)
	}
	if leaving || mode == Refuse {
		w.Header().Set(service.NotRunHeader, headerTrue)
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if mode == Slow && !loop.Sleep(r.Context(), delay) {
		return
	}
	response := s.run(r, body)
	switch mode {
	case CrashAfterRun:
		panic(http.ErrAbortHandler)
	case LateResponse:
		loop.Sleep(context.WithoutCancel(r.Context()), delay)
	case Crossed:
		w.Header().Set(service.AttemptHeader, attempt+"-other")
	}
	writeJSON(w, response)
}

func (s *Server) run(r *http.Request, body []byte) Response {
	call := r.Header.Get(service.IdempotencyKeyHeader)
	if call == "" {
		call = r.Header.Get(service.AttemptHeader)
	}
	sum := fnv.New32a()
	sum.Write(body)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[call]++
	return Response{
		Call:   call,
		Runs:   s.runs[call],
		Method: r.Method,
		Path:   r.URL.RequestURI(),
		Sum:    sum.Sum32(),
	}
}

// admin serves GET /admin/runs, POST /admin/leaving and
// POST /admin/mode?mode=slow&delay=2s&calls=3.
func (s *Server) admin(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + strings.TrimPrefix(r.URL.Path, adminPath) {
	case "GET runs":
		writeJSON(w, s.Runs())
	case "POST leaving":
		s.Leave()
	case "POST mode":
		s.setMode(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Server) setMode(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	mode := Mode(q.Get("mode"))
	delay, err := time.ParseDuration(orZero(q.Get("delay")))
	calls, err2 := strconv.Atoi(orZero(q.Get("calls")))
	if err != nil || err2 != nil || !mode.Valid() {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.Set(mode, delay, calls)
}

func orZero(v string) string {
	if v == "" {
		return "0"
	}
	return v
}

// Valid reports whether m is a defined mode.
func (m Mode) Valid() bool {
	switch m {
	case Normal, Slow, CrashAfterRun, LateResponse, Refuse, Crossed:
		return true
	}
	return false
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the connection failed, so it can't be reported to the caller.
	_ = json.NewEncoder(w).Encode(v)
}
