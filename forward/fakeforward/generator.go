package fakeforward

import (
	"context"
	"io"

	"github.com/springweir/springweir/engine"
)

// FixedFrames is a forward.Generator that returns the same frames for every request and then
// io.EOF.
type FixedFrames []engine.Frame

// Generate implements forward.Generator.
func (f FixedFrames) Generate(context.Context, engine.GenerateRequest) (engine.Stream, error) {
	return &stream{frames: f}, nil
}

// Cancel implements forward.Generator.
func (FixedFrames) Cancel(context.Context, string) error { return nil }

type stream struct{ frames FixedFrames }

// Next implements engine.Stream.
func (s *stream) Next(context.Context) (engine.Frame, error) {
	if len(s.frames) == 0 {
		return engine.Frame{}, io.EOF
	}
	next := s.frames[0]
	s.frames = s.frames[1:]
	return next, nil
}

// Close implements engine.Stream.
func (*stream) Close() error { return nil }
