// Package fakeservice is an in-memory service.Endpoint for tests. It records every
// call and whether it ran, so that tests can check this afterwards.
package fakeservice

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/service"
)

// Behaviour is the scripted behaviour of one call, applied in the order of the
// fields.
type Behaviour struct {
	// Unreachable fails the call before anything is sent.
	Unreachable bool
	// Refuse fails the call with a refusal that guarantees that it did not run.
	Refuse bool
	// DisconnectBeforeRun closes the connection after the call is sent and before
	// it runs.
	DisconnectBeforeRun bool
	// Delay is the time before the run. If the caller disconnects meanwhile, it
	// cannot learn the outcome, and the call still runs: the endpoint does not
	// detect the disconnect.
	Delay time.Duration
	// DisconnectAfterRun closes the connection after the run.
	DisconnectAfterRun bool
	// ResponseDelay is the time between the run and the response.
	ResponseDelay time.Duration
	// ResponseAttempt is the attempt echoed in the response; another attempt than
	// the call's fails the call. Empty echoes the call's.
	ResponseAttempt string
	// Status and Body are the response; zero values mean 200 and "ok".
	Status int
	Body   string
	// Leaving sets Response.Leaving.
	Leaving bool
}

// Record is one call that reached the fake.
type Record struct {
	Call       service.Call
	ReceivedAt time.Time
	// Ran reports whether the call has run.
	Ran bool
}

// Endpoint is the fake. Its zero value responds to every call with 200 and "ok".
// It is safe for concurrent use.
type Endpoint struct {
	mu      sync.Mutex
	script  func(service.Call) Behaviour
	records []*Record
}

var _ service.Endpoint = (*Endpoint)(nil)

// Script sets the behaviour of later calls; nil makes them succeed.
func (e *Endpoint) Script(f func(service.Call) Behaviour) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.script = f
}

// Records returns all calls that reached the fake, in order.
func (e *Endpoint) Records() []Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]Record, 0, len(e.records))
	for _, r := range e.records {
		out = append(out, *r)
	}
	return out
}

// Runs returns how many calls ran whose idempotency key or attempt is id.
func (e *Endpoint) Runs(id string) int {
	n := 0
	for _, r := range e.Records() {
		key := r.Call.Header.Get(service.IdempotencyKeyHeader)
		if r.Ran && (key == id || r.Call.Attempt == id) {
			n++
		}
	}
	return n
}

// Do implements service.Endpoint.
func (e *Endpoint) Do(ctx context.Context, call service.Call) (*service.Response, error) {
	call.Header = call.Header.Clone()
	call.Body = slices.Clone(call.Body)
	if err := ctx.Err(); err != nil {
		return nil, contextFailure(ctx, failure.NotRun)
	}
	b := e.behaviour(call)
	if b.Unreachable {
		return nil, requestFailure(failure.EndpointUnreachable, failure.NotRun)
	}
	rec := e.record(call)
	switch {
	case b.Refuse:
		return nil, requestFailure(failure.EndpointRefused, failure.NotRun)
	case b.DisconnectBeforeRun:
		return nil, requestFailure(failure.EndpointBroke, failure.Unknown)
	}
	return e.run(ctx, rec, b)
}

// run executes the call in the background, since the caller may disconnect at any
// time.
func (e *Endpoint) run(ctx context.Context, rec *Record, b Behaviour) (*service.Response, error) {
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		time.Sleep(b.Delay)
		e.mu.Lock()
		rec.Ran = true
		e.mu.Unlock()
		if !b.DisconnectAfterRun {
			time.Sleep(b.ResponseDelay)
		}
	}()
	select {
	case <-finished:
		return b.response(rec.Call.Attempt)
	case <-ctx.Done():
		return nil, contextFailure(ctx, failure.Unknown)
	}
}

func (b Behaviour) response(attempt string) (*service.Response, error) {
	switch {
	case b.DisconnectAfterRun:
		return nil, requestFailure(failure.EndpointBroke, failure.Unknown)
	case b.ResponseAttempt != "" && b.ResponseAttempt != attempt:
		return nil, requestFailure(failure.AnswerMismatch, failure.Unknown)
	}
	status, body := b.Status, b.Body
	if status == 0 {
		status = http.StatusOK
	}
	if body == "" {
		body = "ok"
	}
	return &service.Response{
		Attempt: attempt,
		Status:  status,
		Header:  http.Header{},
		Leaving: b.Leaving,
		Body:    io.NopCloser(bytes.NewBufferString(body)),
	}, nil
}

func (e *Endpoint) behaviour(call service.Call) Behaviour {
	e.mu.Lock()
	f := e.script
	e.mu.Unlock()
	if f == nil {
		return Behaviour{}
	}
	return f(call)
}

func (e *Endpoint) record(call service.Call) *Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	rec := &Record{Call: call, ReceivedAt: time.Now()}
	e.records = append(e.records, rec)
	return rec
}

func contextFailure(ctx context.Context, ran failure.Outcome) error {
	if ctx.Err() == context.DeadlineExceeded {
		return requestFailure(failure.DeadlinePassed, ran)
	}
	return requestFailure(failure.CallerGone, ran)
}

func requestFailure(code failure.Reason, ran failure.Outcome) error {
	return &failure.Request{Code: code, Ran: ran, Message: "fake service"}
}
