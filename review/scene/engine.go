package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// engine is a model runner of this review. Unlike the project's stand-in it keeps no bodies.
type engine struct {
	*runner
	site   *site
	events int
	// pace is the time between two events.
	pace time.Duration

	state   sync.Mutex
	stage   string
	orders  int
	handles atomic.Int64
	// broken counts the streams whose sender left before their end.
	broken atomic.Int64
}

// startEngine starts an engine and registers it.
func (s *site) startEngine(stage string, events int, pace time.Duration) (*engine, error) {
	e := &engine{site: s, events: events, pace: pace, stage: stage}
	r, err := s.startOwnRunner(llm, "hal-noord", e.row(), e.serve)
	e.runner = r
	return e, err
}

// row returns the fields of its entry that may change or that only engines have.
func (e *engine) row() map[string]any {
	return map[string]any{"slots": 48, "stage": e.stage, "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "seq-num": e.orders}
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request, ran func()) {
	e.state.Lock()
	stage, orders := e.stage, e.orders
	e.state.Unlock()
	switch {
	case r.URL.Path == "/report":
		answerJSON(w, http.StatusOK, map[string]any{"stage": stage, "models": []map[string]any{{"name": "m", "version": 1}}, "busy-slots": false, "seq-num": orders, "queued": 0, "active": 0})
	case r.URL.Path == "/kv-list":
		answerJSON(w, http.StatusOK, map[string]any{"epoch": 1, "next-token": 1, "held": []any{}})
	case r.URL.Path == "/order":
		e.order(w, r)
	case strings.HasPrefix(r.URL.Path, "/"+wire.Handle+"/"):
		w.WriteHeader(http.StatusOK)
	default:
		e.request(w, r, stage, ran)
	}
}

// order changes the stage at once.
func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o map[string]any
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	to, _ := o["stage"].(string)
	expected, _ := o[wire.Expected].(float64)
	e.state.Lock()
	defer e.state.Unlock()
	if int(expected) != e.orders {
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.stage, e.orders = to, e.orders+1
	e.register(e.site, llm, "hal-noord", e.row())
	w.WriteHeader(http.StatusAccepted)
}

// request reads the prompt or streams the answer.
func (e *engine) request(w http.ResponseWriter, r *http.Request, stage string, ran func()) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	prefill := r.Header.Get(wire.Stage) == "prefill"
	switch {
	case prefill != (stage == "prefill"):
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case prefill:
		answerJSON(w, http.StatusOK, map[string]any{wire.Handle: strconv.FormatInt(e.handles.Add(1), 16), "tokens": 220, "version": 1})
		return
	}
	ran()
	w.Header().Set(wire.Seal, "seal."+r.Header.Get("Request-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for n := 1; n <= e.events; n++ {
		select {
		case <-time.After(e.pace):
		case <-r.Context().Done():
			e.broken.Add(1)
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", n, n)
		if control.Flush() != nil {
			e.broken.Add(1)
			return
		}
	}
}

func answerJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the sender may have left
}
