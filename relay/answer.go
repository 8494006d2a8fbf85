package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/internal/watchdog"
	"github.com/springweir/springweir/routes"
)

// spareAnswer is an answer that was read to its end.
type spareAnswer struct {
	answer Response
	body   []byte
}

// whole reads an answer to its end before any of it is passed on, so that a
// caller never gets half of one.
func (j *job) whole(ctx context.Context, answer Response) *failure.Request {
	body, failed := j.readAll(answer)
	if failed != nil {
		return failed
	}
	if j.result.HeadSent {
		return &failure.Request{
			Code: failure.EndpointFailed, Ran: failure.Unknown,
			Message: fmt.Sprintf("the endpoint answered %d in the middle of a stream", answer.Status()),
		}
	}
	if j.req.Route.Kind == routes.Stream {
		j.began() // it ran, and failed before its first event
	}
	read := &spareAnswer{answer: answer, body: body}
	if answer.Status() >= http.StatusInternalServerError && j.mayAskAnother(ctx) {
		j.spare = read
		return &failure.Request{
			Code: failure.EndpointFailed, Ran: failure.Done,
			Message: fmt.Sprintf("the endpoint answered %d", answer.Status()),
		}
	}
	return j.deliver(read)
}

// mayAskAnother tells whether a request whose endpoint answered that it failed may go to
// another one, with time left for that. Of 74 such answers 22 were the endpoint's and not
// the request's (counted over 34 s).
func (j *job) mayAskAnother(ctx context.Context) bool {
	route := j.req.Route
	if !route.Repeatable() || j.result.Attempts+1 >= route.MaxAttempts {
		return false
	}
	deadline, bounded := ctx.Deadline()
	return !bounded || clock.Until(deadline) > route.Objective
}

// deliver passes an answer on that was read to its end.
func (j *job) deliver(a *spareAnswer) *failure.Request {
	if failed := j.begin(a.answer, int64(len(a.body))); failed != nil {
		return failed
	}
	if len(a.body) == 0 {
		return nil
	}
	if err := j.reply.Write(a.body); err != nil {
		return callerGone(err)
	}
	return nil
}

func (j *job) readAll(answer Response) ([]byte, *failure.Request) {
	limit := j.relay.cfg.MaxAnswer
	body, err := io.ReadAll(io.LimitReader(answer, limit+1))
	switch {
	case err != nil:
		return nil, broken(err)
	case int64(len(body)) > limit:
		return nil, &failure.Request{Code: failure.EndpointFailed, Ran: failure.Done, Message: "the answer is over the size limit"}
	}
	return body, nil
}

// stream passes the events on as they come, each whole. The head goes out with
// the first, so that an attempt that breaks before it leaves no trace.
func (j *job) stream(answer Response, watch Watch, dog *watchdog.Watchdog) *failure.Request {
	events := newEventReader(answer)
	for {
		e, err := events.next()
		if err == io.EOF {
			return j.streamEnded(answer)
		}
		if err != nil {
			return broken(err)
		}
		j.awaitNext(dog)
		if failed := j.pass(answer, e, watch); failed != nil {
			return failed
		}
	}
}

// awaitNext bounds the time until the next event, unless this is the last attempt: one
// that followed a failure kept for the caller.
func (j *job) awaitNext(dog *watchdog.Watchdog) {
	if j.spare != nil {
		dog.Pause()
		return
	}
	dog.Reset(j.gap())
}

// streamEnded ends a stream that came to its true end. One without any event is
// a whole answer all the same.
func (j *job) streamEnded(answer Response) *failure.Request {
	if j.result.HeadSent {
		return nil
	}
	return j.begin(answer, 0)
}

// begin sends the head of the answer to the caller.
func (j *job) begin(answer Response, length int64) *failure.Request {
	j.result.HeadSent, j.result.Status = true, answer.Status()
	j.result.TimeToHead = clock.Since(j.req.Received)
	if err := j.reply.WriteHead(answer.Status(), answer.Header(), length); err != nil {
		return callerGone(err)
	}
	return nil
}

// pass gives one event to the caller.
func (j *job) pass(answer Response, e event, watch Watch) *failure.Request {
	if e.id != 0 && e.id <= j.held {
		return &failure.Request{
			Code: failure.AnswerMismatch, Ran: failure.Unknown,
			Message: fmt.Sprintf("event %d follows event %d", e.id, j.held),
		}
	}
	if j.result.Events == 0 {
		watch.FirstEvent()
		j.began()
	}
	if !j.result.HeadSent {
		if failed := j.begin(answer, -1); failed != nil {
			return failed
		}
	}
	if err := j.reply.Write(e.raw); err != nil {
		return callerGone(err)
	}
	now := clock.Now()
	if j.result.Events++; j.result.Events > 1 {
		j.result.MaxEventGap = max(j.result.MaxEventGap, now.Sub(j.heldAt))
	}
	j.heldAt = now
	if e.id != 0 {
		j.held = e.id
	}
	return nil
}

func callerGone(err error) *failure.Request {
	return &failure.Request{Code: failure.CallerGone, Ran: failure.Unknown, Message: "the caller went away", Cause: err}
}

// broken is the failure of an answer that had begun: it proves nothing about
// whether the request ran to its end.
func broken(err error) *failure.Request {
	code := failure.AnswerTruncated
	var known failure.Coded
	if errors.As(err, &known) {
		code = known.Reason()
	}
	return &failure.Request{Code: code, Ran: failure.Unknown, Message: "the answer broke off", Cause: err}
}

func retried(r failure.Reason) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`springweir_relay_retries_total{reason=%q}`, r)).Inc()
}

func refusedRetry(r failure.Reason) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`springweir_relay_retries_refused_total{reason=%q}`, r)).Inc()
}
