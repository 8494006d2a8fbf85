// Package logs writes structured log lines without blocking the process. Lines
// go through a bounded queue to a single writer; a line is dropped and counted if
// the queue is full or the rate limit is exceeded.
//
// Code logs through klog (klog.InfoS, klog.ErrorS); Start redirects klog's output
// to this package.
package logs

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/springweir/springweir/internal/loop"
)

const (
	// DefaultQueue is the queue length in lines: a few hundred milliseconds of a busy
	// VM's output.
	DefaultQueue = 2048
	// DefaultPerSecond is the rate limit in lines per second. A request logs two to
	// five lines, so lines are dropped beyond a few hundred requests per second.
	DefaultPerSecond = 1500
	// burstSeconds is the burst size, as seconds of the rate limit.
	burstSeconds = 2
	// urgentReserve is the fraction of the burst that is reserved for warnings and
	// errors, so that a flood of request lines does not hide a failure.
	urgentReserve = 0.2
	// reportPeriod is the interval at which the log reports the number of dropped lines.
	reportPeriod = 10 * time.Second
)

// Options configures a Sink. Zero values select the defaults.
type Options struct {
	// Queue is the queue length in lines, PerSecond the rate limit in lines per second.
	Queue, PerSecond int
	// Level is the minimum level that is written.
	Level slog.Level
}

// Sink queues lines and writes them in the background. It is safe for concurrent
// use; mu is a leaf lock and is never held while blocking.
type Sink struct {
	queue chan []byte
	done  chan struct{}

	mu       sync.Mutex
	closed   bool
	budget   float64
	rate     float64
	refilled time.Time
	dropped  int
}

var droppedLines = metrics.NewCounter("springweir_log_lines_dropped_total")

// NewSink returns a running sink that writes to w.
func NewSink(w io.Writer, o Options) *Sink {
	if o.Queue == 0 {
		o.Queue = DefaultQueue
	}
	if o.PerSecond == 0 {
		o.PerSecond = DefaultPerSecond
	}
	s := &Sink{
		queue: make(chan []byte, o.Queue), done: make(chan struct{}),
		rate: float64(o.PerSecond), budget: burstSeconds * float64(o.PerSecond), refilled: time.Now(),
	}
	go s.write(w)
	return s
}

// write is the single writer goroutine. It joins queued lines into one write. A write
// that blocks does not block the callers that log.
func (s *Sink) write(w io.Writer) {
	defer close(s.done)
	var buf []byte
	for line := range s.queue {
		buf = append(buf[:0], line...)
		for more := true; more && len(buf) < maxBatchBytes; {
			select {
			case next, open := <-s.queue:
				buf = append(buf, next...)
				more = open
			default:
				more = false
			}
		}
		if _, err := w.Write(buf); err != nil {
			droppedLines.Inc() // the error itself can't be logged
		}
	}
}

// maxBatchBytes is the size from which queued lines are no longer joined.
const maxBatchBytes = 32 << 10

// enqueue queues a line or drops it. It never blocks.
func (s *Sink) enqueue(line []byte, urgent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || !s.spendBudget(urgent) {
		s.drop()
		return
	}
	select {
	case s.queue <- line:
	default:
		s.drop()
	}
}

func (s *Sink) drop() {
	s.dropped++
	droppedLines.Inc()
}

// spendBudget takes one line from the rate limit's budget and reports whether it was available.
// The caller holds mu.
func (s *Sink) spendBudget(urgent bool) bool {
	now := time.Now()
	limit := burstSeconds * s.rate
	s.budget = min(limit, s.budget+now.Sub(s.refilled).Seconds()*s.rate)
	s.refilled = now
	required := 1.0
	if !urgent {
		required += urgentReserve * limit
	}
	if s.budget < required {
		return false
	}
	s.budget--
	return true
}

// takeDropped returns and resets the number of dropped lines.
func (s *Sink) takeDropped() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.dropped
	s.dropped = 0
	return n
}

// Close stops the sink and waits at most limit for the queued lines to be written.
func (s *Sink) Close(limit time.Duration) {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.queue)
	}
	s.mu.Unlock()
	select {
	case <-s.done:
	case <-time.After(limit):
	}
}

// lineWriter is the io.Writer of a slog JSON handler, which writes each record with
// one call.
type lineWriter struct{ sink *Sink }

// Write implements io.Writer. The handler reuses p, so it is copied.
func (w lineWriter) Write(p []byte) (int, error) {
	w.sink.enqueue(append([]byte(nil), p...), false)
	return len(p), nil
}

// urgentWriter is a lineWriter whose lines may use the urgent reserve.
type urgentWriter struct{ sink *Sink }

// Write implements io.Writer.
func (w urgentWriter) Write(p []byte) (int, error) {
	w.sink.enqueue(append([]byte(nil), p...), true)
	return len(p), nil
}

// handler routes warnings and errors to urgent, all other records to normal.
type handler struct{ normal, urgent slog.Handler }

// Enabled implements slog.Handler.
func (h handler) Enabled(ctx context.Context, l slog.Level) bool { return h.normal.Enabled(ctx, l) }

// Handle implements slog.Handler.
func (h handler) Handle(ctx context.Context, r slog.Record) error {
	if r.Level >= slog.LevelWarn {
		return h.urgent.Handle(ctx, r)
	}
	return h.normal.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return handler{h.normal.WithAttrs(attrs), h.urgent.WithAttrs(attrs)}
}

// WithGroup implements slog.Handler.
func (h handler) WithGroup(name string) slog.Handler {
	return handler{h.normal.WithGroup(name), h.urgent.WithGroup(name)}
}

// Handler returns a slog.Handler that writes JSON lines to the sink.
func (s *Sink) Handler(level slog.Level) slog.Handler {
	o := &slog.HandlerOptions{Level: level, ReplaceAttr: formatDurations}
	return handler{normal: slog.NewJSONHandler(lineWriter{s}, o), urgent: slog.NewJSONHandler(urgentWriter{s}, o)}
}

// formatDurations writes durations as text with a unit.
func formatDurations(_ []string, a slog.Attr) slog.Attr {
	if d, ok := a.Value.Any().(time.Duration); ok {
		a.Value = slog.StringValue(d.String())
	}
	return a
}

// Start makes klog write to w through a sink and adds attrs to every line. The returned
// function stops the sink and writes the queued lines.
func Start(w io.Writer, o Options, attrs ...slog.Attr) (stop func()) {
	sink := NewSink(w, o)
	klog.SetSlogLogger(slog.New(sink.Handler(o.Level).WithAttrs(attrs)))
	ctx, cancel := context.WithCancel(context.Background())
	go sink.report(ctx)
	return func() {
		cancel()
		sink.Close(closeLimit)
	}
}

// closeLimit bounds the time for which stopping waits for the queued lines.
const closeLimit = 200 * time.Millisecond

// report logs the number of dropped lines every reportPeriod until ctx ends.
func (s *Sink) report(ctx context.Context) {
	loop.Every(ctx, reportPeriod, func() {
		if n := s.takeDropped(); n > 0 {
			klog.InfoS("logs: lines were dropped", "lines", n, "within", reportPeriod)
		}
	})
}
