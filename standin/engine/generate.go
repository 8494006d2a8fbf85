package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/standin/enginemodel"
	"github.com/springweir/springweir/weightstore"
)

// maxBodyBytes limits the size of a request body.
const maxBodyBytes = 64 << 20

// extraEvents is the capacity of an attempt's channel beyond one event per token.
const extraEvents = 4

// attempt is one generation. Its channel has capacity for all events, so that the model loop
// never blocks on a slow reader.
type attempt struct {
	req    engine.GenerateRequest
	job    enginemodel.JobID
	seed   uint32
	tokens int
	stop   bool
	events chan enginemodel.Event
	// cancelled is closed when the attempt is cancelled or the engine crashes.
	cancelled chan struct{}
	closed    bool
	ended     bool
	// record is the progress of the attempt, for the history.
	record AttemptRecord
}

func (a *attempt) abort() {
	if !a.closed {
		a.closed = true
		close(a.cancelled)
	}
}

func (s *Server) generate(w http.ResponseWriter, r *http.Request) {
	var req engine.GenerateRequest
	err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&req)
	if err != nil || req.Attempt == "" || req.PromptTokens <= 0 || req.ResumeFrom < 0 {
		writeRefusal(w, http.StatusBadRequest, notRunRefusal(req, failure.BadRequest, "request cannot be understood"))
		return
	}
	a := newAttempt(req)
	if req.KV != nil {
		seed, err := s.fetchKV(r.Context(), *req.KV)
		if err != nil {
			writeRefusal(w, http.StatusServiceUnavailable, notRunRefusal(req, failure.EndpointRefused, err.Error()))
			return
		}
		a.seed = seed
	}
	if refusal, ok := s.submit(a); !ok {
		writeRefusal(w, http.StatusServiceUnavailable, refusal)
		return
	}
	defer s.finish(a)
	s.wakeLoop()
	s.stream(w, r, a)
}

func newAttempt(req engine.GenerateRequest) *attempt {
	a := &attempt{req: req, seed: enginemodel.Seed(req.Prompt), cancelled: make(chan struct{})}
	a.tokens, a.stop = enginemodel.AnswerTokens(req.Prompt, req.MaxTokens)
	a.events = make(chan enginemodel.Event, a.tokens+extraEvents)
	a.record = AttemptRecord{ID: req.ID, Attempt: req.Attempt, From: req.ResumeFrom, To: req.ResumeFrom}
	return a
}

// submit passes the attempt to the model, or returns the refusal and false.
func (s *Server) submit(a *attempt) (engine.Refusal, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, reused := s.attempts[a.req.Attempt]; reused {
		r := notRunRefusal(a.req, failure.EndpointRefused, "attempt was used before")
		r.NotRun = false
		return r, false
	}
	if message := s.rejectionMessage(a); message != "" {
		return notRunRefusal(a.req, failure.EndpointRefused, message), false
	}
	s.nextID++
	a.job = s.nextID
	if err := s.model.Submit(s.now(), a.modelJob()); err != nil {
		return notRunRefusal(a.req, failure.EndpointRefused, err.Error()), false
	}
	s.attempts[a.req.Attempt] = a
	s.byJob[a.job] = a
	s.streams++
	return engine.Refusal{}, true
}

// rejectionMessage returns why the engine rejects the attempt, or an empty string if it
// accepts it. The caller holds mu.
func (s *Server) rejectionMessage(a *attempt) string {
	req := a.req
	switch {
	case s.leaving:
		return "engine is leaving"
	case !s.isLoaded(req):
		return "model, adapter or version is not loaded"
	case req.ResumeFrom >= a.tokens && !req.PrefillOnly:
		return "answer has no more tokens"
	case req.Emitted != enginemodel.AnswerText(req.Prompt, 0, req.ResumeFrom):
		return "emitted text does not go with the prompt"
	}
	return ""
}

func (s *Server) isLoaded(req engine.GenerateRequest) bool {
	return slices.ContainsFunc(s.loaded, func(l weightstore.Artifact) bool {
		same := l.Model == req.Model && l.Adapter == req.Adapter
		return same && (req.Version == "" || l.Version == req.Version)
	})
}

func (a *attempt) modelJob() enginemodel.Job {
	return enginemodel.Job{
		ID:           a.job,
		Priority:     a.req.Priority,
		PromptTokens: a.req.PromptTokens,
		Hashes:       a.req.PrefixHashes,
		OutputTokens: a.tokens,
		ResumeFrom:   a.req.ResumeFrom,
		Import:       a.req.KV != nil,
		PrefillOnly:  a.req.PrefillOnly,
		EveryToken:   true,
	}
}

// dispatch sends an event of the model to its attempt. The caller holds mu.
func (s *Server) dispatch(ev enginemodel.Event) {
	if ev.Kind == enginemodel.OrderDone {
		s.orderDone()
		return
	}
	a, ok := s.byJob[ev.Job]
	if !ok {
		return
	}
	a.record.Ran = true
	a.record.To = max(a.record.To, ev.Tokens)
	if ev.Kind == enginemodel.Finished || ev.Kind == enginemodel.Prefilled || ev.Kind == enginemodel.Cut {
		a.ended = true
		a.record.Whole = ev.Kind != enginemodel.Cut
	}
	a.events <- ev
}

// finish releases an attempt whose handler returns, and cancels it in the model if it is still
// running.
func (s *Server) finish(a *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams--
	delete(s.byJob, a.job)
	if !a.ended {
		s.model.Cancel(s.now(), a.job)
	}
	// Only the record and the IDs are kept, for the history.
	a.req = engine.GenerateRequest{ID: a.req.ID, Attempt: a.req.Attempt}
	a.events = nil
	s.wakeLoop()
}

func (s *Server) stream(w http.ResponseWriter, r *http.Request, a *attempt) {
	w.Header().Set(engine.AttemptHeader, a.req.Attempt)
	w.Header().Set("Content-Type", "application/x-ndjson")
	out := http.NewResponseController(w)
	if out.Flush() != nil {
		return
	}
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		var line []byte
		last := false
		select {
		case ev := <-a.events:
			line, last = s.frameLine(a, ev)
		case <-ticker.C:
		case <-a.cancelled:
			line, last = finishLine(a, engine.Cancelled, ""), true
		case <-r.Context().Done():
			return
		}
		if s.waitWhileFrozen(r.Context()) != nil {
			return
		}
		if _, err := w.Write(append(line, '\n')); err != nil || out.Flush() != nil || last {
			return
		}
	}
}

func finishLine(a *attempt, why engine.FinishReason, message string) []byte {
	return encode(engine.Frame{Attempt: a.req.Attempt, Finish: why, Error: message})
}

// frameLine returns the encoded frame for an event and reports whether it is the last frame.
// FirstToken and Token events each carry one token. Finished follows the event of the last
// token and carries none.
func (s *Server) frameLine(a *attempt, ev enginemodel.Event) ([]byte, bool) {
	f := engine.Frame{Attempt: a.req.Attempt, Position: ev.Tokens}
	switch ev.Kind {
	case enginemodel.Finished:
		f.Finish = engine.Length
		if a.stop {
			f.Finish = engine.Stop
		}
		f.CachedTokens = ev.Cached
	case enginemodel.Prefilled:
		f.Finish = engine.Prefilled
		f.CachedTokens = ev.Cached
		f.KV = s.exportKV(a)
	case enginemodel.Cut:
		f.Finish = engine.Failed
		f.Error = "an order broke the answer off"
	default:
		f.Position = ev.Tokens - 1
		f.Tokens = 1
		f.Text = enginemodel.TokenText(a.seed, f.Position)
	}
	return encode(f), f.Finish != ""
}

func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	var req engine.CancelRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&req); err != nil {
		writeRefusal(w, http.StatusBadRequest, engine.Refusal{Reason: failure.BadRequest, Message: err.Error(), NotRun: true})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if a, ok := s.attempts[req.Attempt]; ok {
		a.abort()
	}
}

func notRunRefusal(req engine.GenerateRequest, reason failure.Reason, message string) engine.Refusal {
	return engine.Refusal{Attempt: req.Attempt, Reason: reason, Message: message, NotRun: true}
}

func writeRefusal(w http.ResponseWriter, status int, r engine.Refusal) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(encode(r))
}

// encode returns v as JSON. It panics on an error, which cannot occur because all types of the
// HTTP interface can be represented in JSON.
func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
