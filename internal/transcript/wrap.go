package transcript

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/service"
	"github.com/springweir/springweir/table"
)

// Engine records the messages to and from an engine.
type Engine struct {
	engine.Engine
	Log  *Log
	Name string
	// CancelDelay delays cancel messages. They are sent concurrently with other
	// messages, so a deterministic order requires a delay.
	CancelDelay time.Duration
}

// Generate implements engine.Engine.
func (e *Engine) Generate(ctx context.Context, req engine.GenerateRequest) (engine.Stream, error) {
	e.Log.Add(Entry, Endpoint, "%s: generate %s", e.Name, jsonText(req))
	s, err := e.Engine.Generate(ctx, req)
	if err != nil {
		e.Log.Add(Endpoint, Entry, "%s: %v", e.Name, err)
		return nil, err
	}
	return &stream{Stream: s, engine: e}, nil
}

// Cancel implements engine.Engine.
func (e *Engine) Cancel(ctx context.Context, attempt string) error {
	time.Sleep(e.CancelDelay)
	e.Log.Add(Entry, Endpoint, "%s: cancel %s", e.Name, attempt)
	return e.Engine.Cancel(ctx, attempt)
}

type stream struct {
	engine.Stream
	engine *Engine
}

// Next implements engine.Stream.
func (s *stream) Next(ctx context.Context) (engine.Frame, error) {
	f, err := s.Stream.Next(ctx)
	if err != nil {
		s.engine.Log.Add(Endpoint, Entry, "%s: %v", s.engine.Name, err)
		return f, err
	}
	s.engine.Log.Add(Endpoint, Entry, "%s: frame %s", s.engine.Name, jsonText(f))
	return f, nil
}

// Service records the messages to and from a service endpoint.
type Service struct {
	service.Endpoint
	Log  *Log
	Name string
}

// Do implements service.Endpoint.
func (s *Service) Do(ctx context.Context, call service.Call) (*service.Response, error) {
	s.Log.Add(Entry, Endpoint, "%s: %s %s attempt=%s\n%s", s.Name, call.Method, call.Path, call.Attempt, call.Body)
	resp, err := s.Endpoint.Do(ctx, call)
	if err != nil {
		s.Log.Add(Endpoint, Entry, "%s: %v", s.Name, err)
		return nil, err
	}
	s.Log.Add(Endpoint, Entry, "%s: status %d attempt=%s", s.Name, resp.Status, resp.Attempt)
	return resp, nil
}

// Table records the messages to and from the table service.
type Table struct {
	table.Service
	Log *Log
}

// Get implements table.Service.
func (t *Table) Get(ctx context.Context, keys ...table.Key) ([]table.Row, error) {
	t.Log.Add(Entry, Platform, "get %v", keys)
	rows, err := t.Service.Get(ctx, keys...)
	if err != nil {
		t.Log.Add(Platform, Entry, "%v", err)
		return nil, err
	}
	for _, row := range rows {
		t.Log.Add(Platform, Entry, "%s at version %d: %s", row.Key, row.Version, row.Value)
	}
	return rows, nil
}

// Commit implements table.Service.
func (t *Table) Commit(ctx context.Context, txn table.Txn) ([]table.Version, error) {
	t.Log.Add(Entry, Platform, "commit %s", describe(txn))
	versions, err := t.Service.Commit(ctx, txn)
	if err != nil {
		t.Log.Add(Platform, Entry, "%v", err)
		return nil, err
	}
	t.Log.Add(Platform, Entry, "committed, versions %v", versions)
	return versions, nil
}

func describe(txn table.Txn) string {
	var parts []string
	for _, c := range txn.Checks {
		parts = append(parts, fmt.Sprintf("if %s is at version %d", c.Key, c.Version))
	}
	for _, w := range txn.Writes {
		if w.Delete {
			parts = append(parts, fmt.Sprintf("delete %s", w.Key))
			continue
		}
		parts = append(parts, fmt.Sprintf("write %s: %s", w.Key, w.Value))
	}
	return strings.Join(parts, "\n")
}

func jsonText(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	return string(b)
}
