package logs

import (
	"bytes"
	"encoding/json"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// buffer is a writer that is safe for concurrent reads and writes.
type buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *buffer) lines() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Split(strings.TrimSpace(b.b.String()), "\n")
}

func TestLinesAreJSON(t *testing.T) {
	var out buffer
	sink := NewSink(&out, Options{})
	log := slog.New(sink.Handler(slog.LevelInfo).WithAttrs([]slog.Attr{slog.String("vm", "a")}))
	log.Info("relay: placed", "request", "r1", "open", 3, "took", 1500*time.Millisecond)
	log.Debug("not written")
	sink.Close(time.Second)
	var line map[string]any
	if err := json.Unmarshal([]byte(out.lines()[0]), &line); err != nil || len(out.lines()) != 1 {
		t.Fatalf("%v in %q", err, out.lines())
	}
	if line["msg"] != "relay: placed" || line["request"] != "r1" || line["open"] != 3.0 || line["took"] != "1.5s" || line["vm"] != "a" {
		t.Errorf("got %v", line)
	}
}

// blockingWriter is a writer whose Write blocks until release is closed.
type blockingWriter struct{ release chan struct{} }

func (b *blockingWriter) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// A blocked writer does not block logging, and lines that don't fit the queue are counted.
func TestBlockedWriterDoesNotBlockLogging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockingWriter{release: make(chan struct{})}
		sink := NewSink(out, Options{Queue: 10, PerSecond: 1 << 20})
		log := slog.New(sink.Handler(slog.LevelInfo))
		start := time.Now()
		for range 1000 {
			log.Info("flood")
		}
		if took := time.Since(start); took != 0 {
			t.Errorf("1000 lines to a blocked writer took %v", took)
		}
		if n := sink.takeDropped(); n < 900 || n > 995 {
			t.Errorf("%d of 1000 lines dropped, want all but those in the queue and in the writer", n)
		}
		sink.Close(time.Second) // must return although the writer is blocked
		if took := time.Since(start); took != time.Second {
			t.Errorf("closing took %v", took)
		}
		close(out.release)
	})
}

// The rate limit bounds a flood of lines and leaves capacity for errors.
func TestRateLimitKeepsErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out buffer
		sink := NewSink(&out, Options{PerSecond: 100})
		log := slog.New(sink.Handler(slog.LevelInfo))
		for range 10 {
			for range 10_000 {
				log.Info("flood")
			}
			log.Error("failure")
			time.Sleep(time.Second)
			synctest.Wait()
		}
		sink.Close(time.Second)
		normal, urgent := 0, 0
		for _, line := range out.lines() {
			if strings.Contains(line, "failure") {
				urgent++
			} else {
				normal++
			}
		}
		if urgent != 10 {
			t.Errorf("%d of 10 errors were written", urgent)
		}
		// A burst of two seconds' lines, of which a fifth is reserved, then 100 per second.
		if normal < 900 || normal > 160+1000 {
			t.Errorf("%d lines of the flood were written, want 900 to 1160", normal)
		}
	})
}

func BenchmarkLine(b *testing.B) {
	sink := NewSink(io.Discard, Options{PerSecond: 1 << 30})
	log := slog.New(sink.Handler(slog.LevelInfo))
	b.ReportAllocs()
	for b.Loop() {
		log.Info("relay: placed", "request", "9c41d07be2a35f68", "endpoint", "i-289c7603de", "predictedMS", 81, "openTokens", 9000)
	}
}
