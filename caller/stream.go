package caller

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"github.com/springweir/springweir/caller/wire"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/forward"
	"github.com/springweir/springweir/internal/clock"
)

// streamer is the sink of a streamed answer: one server-sent event a piece.
//
// Invariant: the done event is written only after the forwarder has confirmed
// that the answer is whole. A stream that fails ends with an error event, and
// a caller that sees neither event knows that the stream was cut.
type streamer struct {
	a       *answer
	rc      *http.ResponseController
	timeout time.Duration
	started bool
	version string
	// buf holds one event, which enc writes to.
	buf bytes.Buffer
	enc *json.Encoder
}

func (h *Handler) stream(a *answer) *failure.Request {
	s := &streamer{a: a, rc: http.NewResponseController(a.x.w), timeout: h.cfg.WriteTimeout}
	s.enc = json.NewEncoder(&s.buf)
	// The connection may carry another request, which brings its own deadline.
	defer func() { _ = s.rc.SetWriteDeadline(time.Time{}) }()
	summary, err := h.cfg.Forwarder.Generate(a.x.r.Context(), a.x.work, s)
	if err != nil {
		return s.fail(asFailure(err))
	}
	if err := s.finish(summary); err != nil {
		a.x.note(gone(err))
	}
	return nil
}

func gone(cause error) *failure.Request {
	return &failure.Request{Code: failure.CallerGone, Ran: failure.Done, Message: "the caller went away", Cause: cause}
}

// Emit implements forward.Sink.
func (s *streamer) Emit(d forward.Delta) error {
	first := !s.started
	if first {
		s.a.x.firstPiece()
	}
	s.start()
	resp := s.a.response(s.a.format.piece(d.Text, first))
	s.version = d.Version
	return s.send(resp, d.Position, d.Tokens)
}

// start sends the header. It waits for the first piece, so that a failure
// before it still has its HTTP status.
func (s *streamer) start() {
	if s.started {
		return
	}
	s.started = true
	header := s.a.x.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	s.a.x.w.WriteHeader(http.StatusOK)
}

// send writes one piece. Between entries it carries its place in the answer.
func (s *streamer) send(resp wire.Response, position, tokens int) error {
	resp.Object = s.a.format.object(true)
	if s.a.x.work.FromOtherZone {
		resp.HopChunk = &wire.HopChunk{
			Attempt:  s.a.x.r.Header.Get(wire.HeaderAttempt),
			Position: position,
			Tokens:   tokens,
			Version:  s.version,
		}
	}
	return s.event("", resp)
}

func (s *streamer) finish(summary forward.Summary) error {
	s.start()
	resp := s.a.response(s.a.format.last(summary.Finish))
	resp.Usage = s.a.usage(summary)
	if err := s.send(resp, summary.Tokens, 0); err != nil {
		return err
	}
	return s.write([]byte("data: " + wire.DoneEvent + "\n\n"))
}

// fail ends the stream with an error event, or returns f when nothing was
// sent yet and the failure can have its HTTP status.
func (s *streamer) fail(f *failure.Request) *failure.Request {
	if !s.started {
		return f
	}
	s.a.x.note(f)
	// A caller that is gone cannot be told; the connection is closed.
	_ = s.event("error", errorBody(f))
	return nil
}

func (s *streamer) event(name string, body any) error {
	s.buf.Reset()
	if name != "" {
		s.buf.WriteString("event: " + name + "\n")
	}
	s.buf.WriteString("data: ")
	// The encoder ends its line; an empty one ends the event.
	if err := s.enc.Encode(body); err != nil {
		return err
	}
	s.buf.WriteByte('\n')
	return s.write(s.buf.Bytes())
}

// write sends b at once, within the write timeout.
func (s *streamer) write(b []byte) error {
	// Writers without deadlines, such as those in tests, say so; that is fine.
	_ = s.rc.SetWriteDeadline(clock.Now().Add(s.timeout))
	if _, err := s.a.x.w.Write(b); err != nil {
		return err
	}
	return s.rc.Flush()
}
