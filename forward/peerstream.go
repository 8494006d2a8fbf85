package forward

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/springweir/springweir/caller/wire"
	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/hop"
)

// maxEvent bounds one event of a peer's stream, in bytes.
const maxEvent = 1 << 20

// peerStream reads the events of a completion served by another zone as frames. The request's
// context bounds its reads. It belongs to one goroutine.
type peerStream struct {
	body    io.ReadCloser
	scanner *bufio.Scanner
	attempt string
	// version is the version of the weights in the last event.
	version string
	// ended is set once the terminal frame has been returned.
	ended bool
}

func newPeerStream(resp *http.Response, attempt string) *peerStream {
	scanner := bufio.NewScanner(resp.Body)
	scanner.Buffer(nil, maxEvent)
	return &peerStream{body: resp.Body, scanner: scanner, attempt: attempt}
}

// Next implements engine.Stream. The terminal frame is returned only after the done event, which
// alone marks the response as complete.
func (s *peerStream) Next(ctx context.Context) (engine.Frame, error) {
	if s.ended {
		return engine.Frame{}, io.EOF
	}
	frame, err := s.frame(ctx)
	if err != nil || frame.Finish == "" {
		return frame, err
	}
	data, err := s.data(ctx)
	if err != nil {
		return engine.Frame{}, err
	}
	if string(data) != wire.DoneEvent {
		return engine.Frame{}, s.truncated(nil)
	}
	s.ended = true
	return frame, nil
}

// frame reads one event and converts it into a frame.
func (s *peerStream) frame(ctx context.Context) (engine.Frame, error) {
	data, err := s.data(ctx)
	if err != nil {
		return engine.Frame{}, err
	}
	var event struct {
		wire.Response
		Error *wire.Error `json:"error"`
	}
	if err := json.Unmarshal(data, &event); err != nil {
		return engine.Frame{}, s.truncated(err)
	}
	if event.Error != nil {
		return engine.Frame{}, hop.DecodeFailure(*event.Error)
	}
	if event.HopChunk != nil {
		s.version = event.HopChunk.Version
	}
	return toFrame(event.Response)
}

// Version implements versioned.
func (s *peerStream) Version() string { return s.version }

func toFrame(r wire.Response) (engine.Frame, error) {
	if r.HopChunk == nil || len(r.Choices) != 1 {
		return engine.Frame{}, &failure.Request{
			Code: failure.AnswerMismatch, Ran: failure.Unknown, Message: "an event of the other zone's entry has no place in the answer",
		}
	}
	frame := engine.Frame{Attempt: r.HopChunk.Attempt, Position: r.HopChunk.Position, Tokens: r.HopChunk.Tokens}
	choice := r.Choices[0]
	if choice.Text != nil {
		frame.Text = *choice.Text
	}
	if choice.FinishReason != nil {
		frame.Finish = engine.FinishReason(*choice.FinishReason)
	}
	if r.Usage != nil {
		frame.CachedTokens = r.Usage.CachedTokens
	}
	return frame, nil
}

// data reads the data of the next event.
func (s *peerStream) data(ctx context.Context) ([]byte, error) {
	for s.scanner.Scan() {
		if data, ok := bytes.CutPrefix(s.scanner.Bytes(), []byte("data: ")); ok {
			return data, nil
		}
	}
	if ctx.Err() != nil {
		return nil, contextFailure(ctx)
	}
	return nil, s.truncated(s.scanner.Err())
}

func (s *peerStream) truncated(cause error) *failure.Request {
	if errors.Is(cause, bufio.ErrTooLong) {
		return &failure.Request{Code: failure.EndpointFailed, Ran: failure.Unknown, Message: "an event is over the size limit", Cause: cause}
	}
	return &failure.Request{Code: failure.AnswerTruncated, Ran: failure.Unknown, Message: "the other zone's stream broke off", Cause: cause}
}

// Close implements engine.Stream.
func (s *peerStream) Close() error { return s.body.Close() }
