package relay

import (
	"bytes"
	"io"
	"strconv"

	"github.com/springweir/springweir/internal/h1"
	"github.com/springweir/springweir/memory"
)

// eventReader splits a text/event-stream into events. It leaves their bytes unchanged, so that the
// caller receives exactly what the endpoint sent.
type eventReader struct {
	source io.Reader
	// limit bounds one event, and thus the buffer, in bytes.
	limit int
	// memory holds what the buffer has beyond eventBuffer, and as much for each of the events that wait to be
	// forwarded.
	memory *memory.Reservation
	buf    []byte
	// start is the offset of the first unread byte; the bytes between start and scanned contain no
	// end of an event.
	start, scanned int
	err            error
}

// event is a complete event, including the empty line that terminates it.
type event struct {
	raw []byte
	// id is the event's numeric ID, or 0 if it has none.
	id int
}

const (
	// eventBuffer is the size in bytes by which the buffer grows at least. It fits most events.
	eventBuffer = 4 << 10
	// eventCopies is the number of copies of an event in memory: in the buffer, waiting, and being written.
	eventCopies = 3
)

func newEventReader(source io.Reader, limit int, reservation *memory.Reservation) *eventReader {
	return &eventReader{source: source, limit: limit, memory: reservation}
}

// next returns the next complete event, whose bytes are valid until the next call. It returns
// io.EOF if the stream ended between two events, and io.ErrUnexpectedEOF if it ended within one.
func (r *eventReader) next() (event, error) {
	for {
		if end := r.eventEnd(); end > 0 {
			raw := r.buf[r.start:end]
			r.start, r.scanned = end, end
			return event{raw: raw, id: eventID(raw)}, nil
		}
		if r.err != nil {
			return event{}, r.endError()
		}
		r.fill()
	}
}

// endError returns the error for a source that has no further complete event.
func (r *eventReader) endError() error {
	if r.err == io.EOF && r.start < len(r.buf) {
		return io.ErrUnexpectedEOF
	}
	return r.err
}

// eventEnd returns the offset at which the first complete event ends, or 0 if there is none.
func (r *eventReader) eventEnd() int {
	from := max(r.start, r.scanned-3)
	for i := from; i < len(r.buf); i++ {
		if r.buf[i] != '\n' {
			continue
		}
		rest := r.buf[i+1:]
		switch {
		case bytes.HasPrefix(rest, []byte("\n")):
			return i + 2
		case bytes.HasPrefix(rest, []byte("\r\n")):
			return i + 3
		}
	}
	r.scanned = len(r.buf)
	return 0
}

// fill compacts the buffer, grows it if necessary and reads more bytes from the source.
func (r *eventReader) fill() {
	if r.start > 0 {
		n := copy(r.buf, r.buf[r.start:])
		r.buf = r.buf[:n]
		r.scanned -= r.start
		r.start = 0
	}
	if len(r.buf) > r.limit {
		r.err = h1.NewLimitError(h1.Event, int64(r.limit))
		return
	}
	r.shrink()
	if r.err = r.grow(); r.err != nil {
		return
	}
	n, err := r.source.Read(r.buf[len(r.buf):cap(r.buf)])
	r.buf = r.buf[:len(r.buf)+n]
	r.err = err
}

// shrink gives up the buffer of a long event that was passed on.
func (r *eventReader) shrink() {
	if len(r.buf) == 0 && cap(r.buf) > 2*eventBuffer {
		r.buf, r.scanned = nil, 0
		r.memory.Release()
	}
}

// grow makes room in the buffer. The error is *h1.LimitError.
func (r *eventReader) grow() error {
	if cap(r.buf)-len(r.buf) >= 1<<10 {
		return nil
	}
	size := min(2*cap(r.buf), r.limit) + eventBuffer
	if err := r.memory.Resize(int64(eventCopies * (size - eventBuffer))); err != nil {
		return h1.NewLimitError(h1.Bodies, r.memory.Total())
	}
	grown := make([]byte, len(r.buf), size)
	copy(grown, r.buf)
	r.buf = grown
	return nil
}

// eventID returns the number in an event's id field, or 0 if there is none.
func eventID(raw []byte) int {
	for line := range bytes.Lines(raw) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(string(bytes.TrimSpace(value))); err == nil {
			return n
		}
	}
	return 0
}
