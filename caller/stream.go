package caller

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"github.com/springweir/springweir/caller/wire"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/forward"
	"github.com/springweir/springweir/hop"
	"github.com/springweir/springweir/internal/clock"
)

// streamer is the sink of a streamed response. It writes one server-sent event per chunk.
//
// Invariant: the done event is written only after the forwarder has confirmed that the response is
// complete. A stream that fails ends with an error event. A stream that ends with neither event was
// interrupted.
type streamer struct {
	builder  *responseBuilder
	rc       *http.ResponseController
	timeout  time.Duration
	headSent bool
	version  string
	// buf holds one event; enc writes to it.
	buf bytes.Buffer
	enc *json.Encoder
}

func (h *Handler) respondStream(builder *responseBuilder) *failure.Request {
	s := &streamer{builder: builder, rc: http.NewResponseController(builder.x.w), timeout: h.cfg.WriteTimeout}
	s.enc = json.NewEncoder(&s.buf)
	// The connection may be reused for another request, which sets its own deadline.
	defer func() { _ = s.rc.SetWriteDeadline(time.Time{}) }()
	summary, err := h.cfg.Forwarder.Generate(builder.x.r.Context(), builder.x.work, s)
	if err != nil {
		return s.fail(asFailure(err))
	}
	if err := s.finish(summary); err != nil {
		builder.x.recordFailure(callerDisconnected(err))
	}
	return nil
}

// callerDisconnected returns the failure of a response that could not be written to the caller.
func callerDisconnected(cause error) *failure.Request {
	return &failure.Request{Code: failure.CallerGone, Ran: failure.Done, Message: "the caller went away", Cause: cause}
}

// Emit implements forward.Sink.
func (s *streamer) Emit(d forward.Delta) error {
	first := !s.headSent
	if first {
		s.builder.x.recordFirstChunk()
	}
	s.sendHead()
	resp := s.builder.response(s.builder.format.chunk(d.Text, first))
	s.version = d.Version
	return s.sendChunk(resp, d.Position, d.Tokens)
}

// sendHead sends the response head, once. It is called with the first chunk rather than earlier, so
// that a failure before the first chunk can still set the HTTP status.
func (s *streamer) sendHead() {
	if s.headSent {
		return
	}
	s.headSent = true
	header := s.builder.x.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	s.builder.x.w.WriteHeader(http.StatusOK)
}

// sendChunk writes one chunk. Between entries, the chunk also carries its position in the response.
func (s *streamer) sendChunk(resp wire.Response, position, tokens int) error {
	resp.Object = s.builder.format.object(true)
	if s.builder.x.work.FromOtherZone {
		resp.HopChunk = &wire.HopChunk{
			Attempt:  s.builder.x.r.Header.Get(wire.HeaderAttempt),
			Position: position,
			Tokens:   tokens,
			Version:  s.version,
		}
	}
	return s.writeEvent("", resp)
}

func (s *streamer) finish(summary forward.Summary) error {
	s.sendHead()
	resp := s.builder.response(s.builder.format.final(summary.Finish))
	resp.Usage = s.builder.usage(summary)
	if err := s.sendChunk(resp, summary.Tokens, 0); err != nil {
		return err
	}
	return s.write([]byte("data: " + wire.DoneEvent + "\n\n"))
}

// fail ends the stream with an error event. If the head was not sent yet, it returns f instead, so
// that the failure is reported with its HTTP status.
func (s *streamer) fail(f *failure.Request) *failure.Request {
	if !s.headSent {
		return f
	}
	s.builder.x.recordFailure(f)
	// A write error means that the caller has disconnected; there is nobody to report it to.
	_ = s.writeEvent("error", hop.EncodeFailure(withRetryAfter(f)))
	return nil
}

func (s *streamer) writeEvent(name string, body any) error {
	s.buf.Reset()
	if name != "" {
		s.buf.WriteString("event: " + name + "\n")
	}
	s.buf.WriteString("data: ")
	// Encode terminates the data line; an empty line terminates the event.
	if err := s.enc.Encode(body); err != nil {
		return err
	}
	s.buf.WriteByte('\n')
	return s.write(s.buf.Bytes())
}

// write writes and flushes b within the write timeout.
func (s *streamer) write(b []byte) error {
	// Writers without deadline support, such as those in tests, return an error that is ignored.
	_ = s.rc.SetWriteDeadline(clock.Now().Add(s.timeout))
	if _, err := s.builder.x.w.Write(b); err != nil {
		return err
	}
	return s.rc.Flush()
}
