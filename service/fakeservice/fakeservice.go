// Package fakeservice is an in-memory service.Endpoint for tests. It records
// every call and whether it ran, so that a checker can ask afterwards.
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

// Behaviour is what happens to one call, in the order of the fields.
type Behaviour struct {
	// Unreachable fails the call before anything is sent.
	Unreachable bool
	// Refuse fails it by the endpoint's word that it did not run.
	Refuse bool
	// DisconnectBeforeRun breaks the connection after sending and before the run.
	DisconnectBeforeRun bool
	// Delay passes before the run. A caller who leaves meanwhile learns
	// nothing, and the call runs all the same: the endpoint does not see it.
	Delay time.Duration
	// DisconnectAfterRun breaks the connection after the run.
	DisconnectAfterRun bool
	// ResponseDelay passes between run and answer.
	ResponseDelay time.Duration
	// ResponseAttempt answers as another attempt, which fails the call.
	ResponseAttempt string
	// Status and Body are the answer; zero means 200 and "ok".
	Status int
	Body   string
	// Leaving marks the answer.
	Leaving bool
}

// Record is one call that reached the fake.
type Record struct {
	Call       service.Call
	ReceivedAt time.Time
	// Ran tells whether the call has run.
	Ran bool
}

// Endpoint is the fake. Its zero value answers every call with 200 and "ok".
// It is safe for concurrent use.
type Endpoint struct {
	mu      sync.Mutex
	script  func(service.Call) Behaviour
	records []*Record
}

var _ service.Endpoint = (*Endpoint)(nil)

// Script sets what happens to later calls; nil makes them succeed.
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

// Runs is the number of runs of calls with an Idempotency-Key, or of an attempt.
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
		return nil, givenUp(ctx, failure.NotRun)
	}
	b := e.behaviour(call)
	if b.Unreachable {
		return nil, failed(failure.EndpointUnreachable, failure.NotRun)
	}
	rec := e.record(call)
	switch {
	case b.Refuse:
		return nil, failed(failure.EndpointRefused, failure.NotRun)
	case b.DisconnectBeforeRun:
		return nil, failed(failure.EndpointBroke, failure.Unknown)
	}
	return e.run(ctx, rec, b)
}

// run carries the call out beside the caller, who may leave at any time.
func (e *Endpoint) run(ctx context.Context, rec *Record, b Behaviour) (*service.Response, error) {
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		time.Sleep(b.Delay)
		e.mu.Lock()
		rec.Ran = true
		e.mu.Unlock()
		if !b.DisconnectAfterRun {
			time.Sleep(b.ResponseDelay)
		}
	}()
	select {
	case <-answered:
		return b.answer(rec.Call.Attempt)
	case <-ctx.Done():
		return nil, givenUp(ctx, failure.Unknown)
	}
}

func (b Behaviour) answer(attempt string) (*service.Response, error) {
	switch {
	case b.DisconnectAfterRun:
		return nil, failed(failure.EndpointBroke, failure.Unknown)
	case b.ResponseAttempt != "" && b.ResponseAttempt != attempt:
		return nil, failed(failure.AnswerMismatch, failure.Unknown)
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

func givenUp(ctx context.Context, ran failure.Outcome) error {
	if ctx.Err() == context.DeadlineExceeded {
		return failed(failure.DeadlinePassed, ran)
	}
	return failed(failure.CallerGone, ran)
}

func failed(code failure.Reason, ran failure.Outcome) error {
	return &failure.Request{Code: code, Ran: ran, Message: "fake service"}
}
