package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"os"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/internal/h1"
	"github.com/springweir/springweir/routes"
)

// bufferedResponse is a response whose body was read completely.
type bufferedResponse struct {
	response Response
	body     *heldBody
}

// forwardBuffered reads the complete response before it forwards any of it, so that the caller
// never receives a truncated one. If the endpoint failed with a server error and the request may be
// retried elsewhere, the response is kept as the fallback.
func (j *job) forwardBuffered(ctx context.Context, response Response) *failure.Request {
	body, failed := j.readAll(response)
	if failed != nil {
		return failed
	}
	if j.result.HeadSent {
		body.release()
		return &failure.Request{
			Code: failure.EndpointFailed, Ran: failure.Unknown,
			Message: fmt.Sprintf("the endpoint answered %d in the middle of a stream", response.Status()),
		}
	}
	if j.req.Route.Kind == routes.Stream {
		j.recordStart() // the request ran and failed before its first event
	}
	buffered := &bufferedResponse{response: response, body: body}
	if response.Status() >= http.StatusInternalServerError && (j.holdsStream() || j.mayRetryElsewhere(ctx)) {
		j.keepFallback(buffered)
		return &failure.Request{
			Code: failure.EndpointFailed, Ran: failure.Done,
			Message: fmt.Sprintf("the endpoint answered %d", response.Status()),
		}
	}
	if failed := j.commitReplacement(); failed != nil {
		body.release()
		return failed
	}
	return j.sendBuffered(buffered)
}

// keepFallback keeps an error response instead of the one kept before.
func (j *job) keepFallback(b *bufferedResponse) {
	j.dropFallback()
	j.fallback = b
}

// dropFallback releases the error response that is kept, if there is one.
func (j *job) dropFallback() {
	if j.fallback != nil {
		j.fallback.body.release()
		j.fallback = nil
	}
}

// holdsStream reports whether a silent stream is held that may go on.
func (j *job) holdsStream() bool { return j.held != nil && j.held.isHeld() }

// mayRetryElsewhere reports whether a request that got a server error may be retried on another
// endpoint and has enough time left. About 30% of such errors (22 of 74 in a sample) are caused by
// the endpoint rather than by the request.
func (j *job) mayRetryElsewhere(ctx context.Context) bool {
	route := j.req.Route
	if !route.Repeatable() || j.result.Attempts+1 >= route.MaxAttempts {
		return false
	}
	deadline, bounded := ctx.Deadline()
	return !bounded || clock.Until(deadline) > route.Objective
}

// sendBuffered sends a buffered response to the caller and releases it.
func (j *job) sendBuffered(buffered *bufferedResponse) *failure.Request {
	defer buffered.body.release()
	length := buffered.body.length()
	if j.req.Method == http.MethodHead {
		length = max(-1, buffered.response.Length()) // that of the body which a GET would get
	}
	if failed := j.sendHead(buffered.response, length); failed != nil {
		return failed
	}
	for _, piece := range buffered.body.pieces {
		if len(piece) == 0 {
			continue
		}
		if err := j.writer.Write(piece); err != nil {
			return callerDisconnected(err)
		}
	}
	return nil
}

// readAll reads the body of a response, which fails if it exceeds MaxResponseBytes, or h1.MaxFailureBody if it is no
// success. Whether the request ran to completion is then unknown, since the response was not read to its end.
func (j *job) readAll(response Response) (*heldBody, *failure.Request) {
	limit := j.relay.cfg.MaxResponseBytes
	if response.Status() >= http.StatusBadRequest {
		limit = min(limit, h1.MaxFailureBody)
	}
	if response.Length() > limit && j.req.Method != http.MethodHead {
		return nil, interrupted(h1.NewLimitError(h1.Body, limit))
	}
	body, err := j.relay.bodies.read(response, response.Length(), limit)
	if err != nil {
		return nil, interrupted(err)
	}
	return body, nil
}

// forward forwards the events of a stream and closes it, unless the stream is to be held.
func (j *job) forward(s *openStream) *failure.Request {
	failed := j.forwardStream(s)
	if j.held != s {
		s.close()
	}
	return failed
}

// forwardStream forwards each event once it has arrived completely. The head is sent with the first
// event, so that the caller sees nothing of an attempt that fails before it. It returns early if the
// endpoint is silent and a replacement is available.
func (j *job) forwardStream(s *openStream) *failure.Request {
	silence := time.NewTimer(j.silenceTimeout(s))
	defer silence.Stop()
	for {
		select {
		case item := <-s.items:
			if item.err == io.EOF {
				return j.finishStream(s.response)
			}
			if item.err != nil {
				return item.brokenOff()
			}
			if failed := j.forwardEvent(s, item.event); failed != nil {
				return failed
			}
			silence.Reset(j.silenceTimeout(s))
		case <-silence.C:
			s.silence = clock.Since(s.heardAt)
			if s.hasFallback || j.startReplacement(s) {
				return stalled(s.silence)
			}
			silence.Reset(silenceCheckInterval)
		}
	}
}

// unlimited is the timeout of a stream that may be silent for any time.
const unlimited = time.Duration(math.MaxInt64)

// silenceTimeout returns how long the endpoint may take until the next event. The last attempt of a
// request has no limit, and with a fallback response none after the first event.
func (j *job) silenceTimeout(s *openStream) time.Duration {
	switch {
	case s.stallTimeout == 0, s.final, s.begun && s.hasFallback:
		return unlimited
	case !s.begun:
		return max(0, s.stallTimeout-clock.Since(s.sentAt), clock.Until(s.replaceableAt))
	}
	return max(0, j.gapTimeout()-clock.Since(s.heardAt), clock.Until(s.replaceableAt))
}

// finishStream completes a stream that ended cleanly. A stream without events is a complete
// response, whose head is sent here.
func (j *job) finishStream(response Response) *failure.Request {
	if j.result.HeadSent {
		return nil
	}
	return j.sendHead(response, 0)
}

// sendHead sends the status and headers of the response to the caller. A length of -1 means that
// it is unknown.
func (j *job) sendHead(response Response, length int64) *failure.Request {
	j.result.Unframed = response.Length() == UntilClose
	j.result.HeadSent, j.result.Status = true, response.Status()
	j.result.TimeToHead = clock.Since(j.req.Received)
	if err := j.writer.WriteHead(response.Status(), response.Header(), length); err != nil {
		return callerDisconnected(err)
	}
	return nil
}

// forwardEvent sends one event to the caller. Event IDs must increase, across attempts too.
func (j *job) forwardEvent(s *openStream, e event) *failure.Request {
	if e.id != 0 && e.id <= j.lastEventID {
		return &failure.Request{
			Code: failure.AnswerMismatch, Ran: failure.Unknown,
			Message: fmt.Sprintf("event %d follows event %d", e.id, j.lastEventID),
		}
	}
	if failed := j.bind(s.plan.Serve); failed != nil {
		return failed
	}
	j.recordEvent(s)
	if !j.result.HeadSent {
		if failed := j.sendHead(s.response, -1); failed != nil {
			return failed
		}
	}
	if err := j.writer.Write(e.raw); err != nil {
		return callerDisconnected(err)
	}
	now := clock.Now()
	if j.result.Events++; j.result.Events > 1 {
		j.result.MaxEventGap = max(j.result.MaxEventGap, now.Sub(j.lastEventAt))
	}
	j.lastEventAt = now
	if e.id != 0 {
		j.lastEventID = e.id
	}
	return nil
}

// recordEvent records that the endpoint of a stream has sent an event.
func (j *job) recordEvent(s *openStream) {
	s.heardAt, s.silence = clock.Now(), 0
	if s.begun {
		s.plan.Watch.Event()
		return
	}
	s.begun = true
	s.plan.Watch.FirstEvent()
	j.relay.cfg.Guard.Answered(j.req)
	j.recordStart()
}

// callerDisconnected returns the failure of a request whose caller could not be written to.
func callerDisconnected(err error) *failure.Request {
	message := "the caller went away"
	if errors.Is(err, os.ErrDeadlineExceeded) {
		message = "the caller accepted nothing of its response for too long"
	}
	return &failure.Request{Code: failure.CallerGone, Ran: failure.Unknown, Message: message, Cause: err}
}

// interrupted returns the failure of a response that ended early. Whether the request ran to
// completion is unknown.
func interrupted(err error) *failure.Request {
	code := failure.AnswerTruncated
	var coded failure.Coded
	if errors.As(err, &coded) {
		code = coded.Reason()
	}
	message := "the answer broke off"
	var limit *h1.LimitError
	if errors.As(err, &limit) {
		message = "the answer is over the size limit"
	}
	return &failure.Request{Code: code, Ran: failure.Unknown, Message: message, Cause: err}
}

func countRetry(r failure.Reason) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`springweir_relay_retries_total{reason=%q}`, r)).Inc()
}

func countRefusedRetry(r failure.Reason) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`springweir_relay_retries_refused_total{reason=%q}`, r)).Inc()
}
