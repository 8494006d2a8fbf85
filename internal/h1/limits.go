package h1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http/httputil"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/springweir/springweir/failure"
)

// Limits bounds what is read of responses apart from the body of an accepted one, which ReadAll bounds. Without
// bounds, a peer that sends without end fills the memory of this process. Zero values select the defaults.
type Limits struct {
	// Head bounds the head of one response, and Line each of its lines, in bytes with the line ends.
	Head, Line int
	// Interim bounds the interim responses (1xx) to one request.
	Interim int
	// Discard bounds the body of a response to another request, in bytes.
	Discard int64
}

// Defaults of Limits. Heads of endpoints are below 4 KiB, and few endpoints send interim responses at all.
const (
	DefaultHeadLimit    = 64 << 10
	DefaultLineLimit    = 16 << 10
	DefaultInterimLimit = 8
	DefaultDiscardLimit = 64 << 10
)

// MaxFailureBody bounds the body of a response that is no success, and of one to a control call, in bytes.
const MaxFailureBody = 1 << 20

func (l Limits) withDefaults() Limits {
	if l.Head == 0 {
		l.Head = DefaultHeadLimit
	}
	if l.Line == 0 {
		l.Line = DefaultLineLimit
	}
	if l.Interim == 0 {
		l.Interim = DefaultInterimLimit
	}
	if l.Discard == 0 {
		l.Discard = DefaultDiscardLimit
	}
	return l
}

// Part is the part of a response that a limit bounds.
type Part string

// The parts.
const (
	Head      Part = "head"
	Line      Part = "line"
	Interim   Part = "interim-responses"
	Discarded Part = "discarded-body"
	Body      Part = "body"
	// Chunks are the extensions of chunks and other bytes of the chunked encoding that are not data.
	Chunks  Part = "chunks"
	Trailer Part = "trailer"
	Event   Part = "event"
	// Bodies are all bodies together that are being read into memory.
	Bodies Part = "bodies"
)

// Limits of net/http on the chunked encoding, in bytes.
const (
	chunkOverheadLimit = 16 << 10
	trailerLimit       = readBufferSize
)

// LimitError is a response of which a part is larger than its limit.
type LimitError struct {
	Part Part
	// Limit is in bytes, for Interim a number of responses.
	Limit int64
}

// Error implements error.
func (e *LimitError) Error() string {
	return fmt.Sprintf("the response exceeds a limit (%s, %d)", e.Part, e.Limit)
}

// Reason implements failure.Coded.
func (e *LimitError) Reason() failure.Reason { return failure.EndpointFailed }

// NewLimitError counts a response over a limit and returns its error.
func NewLimitError(part Part, limit int64) *LimitError {
	metrics.GetOrCreateCounter(fmt.Sprintf(`springweir_response_limit_total{part=%q}`, part)).Inc()
	return &LimitError{Part: part, Limit: limit}
}

// overLimit returns the error of a response over a limit.
func (p *Pool) overLimit(part Part, limit int64) *LimitError {
	err := NewLimitError(part, limit)
	klog.InfoS("h1: response over a limit, connection reset", "address", p.address, "part", part, "limit", limit)
	return err
}

// headSource is the source of a connection's buffered reader. While a response head is read, it bounds the head
// and its lines.
type headSource struct {
	pool   *Pool
	source io.Reader
	// reading is set while a head is read. head is the number of bytes read for it, and line the length so far of
	// its last line. complete is set once the empty line that ends the head was read.
	reading, complete bool
	head, line        int
	// over is set once the head is over a limit. net/http may report an incomplete line instead.
	over *LimitError
	// folded is set once a line of the head begins with a blank or a tab. net/http takes it for a part of the value of the
	// field before, which it need not be: RFC 9112 (5.2) allows to reject such a response.
	folded bool
}

// begin starts a new head, whose first bytes may be buffered already.
func (s *headSource) begin(buffered *bufio.Reader) error {
	s.reading, s.complete, s.folded, s.head, s.line = true, false, false, 0, 0
	b, err := buffered.Peek(buffered.Buffered())
	if err != nil || len(b) == 0 || s.scan(b) {
		return err
	}
	return s.over
}

// end ends the head. It returns err, the error of reading the head, or that of the exceeded limit or the folded line.
func (s *headSource) end(err error) error {
	s.reading = false
	switch {
	case s.over != nil:
		return s.over
	case err == nil && s.folded:
		return &malformedHeadError{text: "a line of the head begins with a blank"}
	}
	return err
}

// Read implements io.Reader. A read for a head means that all earlier bytes are part of it.
func (s *headSource) Read(b []byte) (int, error) {
	if !s.reading {
		return s.source.Read(b)
	}
	left := s.pool.opts.Limits.Head - s.head
	if left <= 0 && s.over == nil {
		s.over = s.pool.overLimit(Head, int64(s.pool.opts.Limits.Head))
	}
	if s.over != nil {
		return 0, s.over
	}
	n, err := s.source.Read(b[:min(len(b), left)])
	if !s.scan(b[:n]) {
		return 0, s.over // without the bytes, which could complete the head
	}
	return n, err
}

// scan reads bytes of a head, which may be followed by others. It reports whether they are within the limits.
func (s *headSource) scan(b []byte) bool {
	limit := s.pool.opts.Limits.Line
	s.head += len(b)
	for len(b) > 0 && !s.complete {
		if s.line == 0 && (b[0] == ' ' || b[0] == '\t') {
			s.folded = true
		}
		end := bytes.IndexByte(b, '\n')
		n := end + 1
		if end < 0 {
			n = len(b)
		}
		if s.line+n > limit {
			s.over = s.pool.overLimit(Line, int64(limit))
			return false
		}
		if end < 0 {
			s.line += n
			return true
		}
		s.complete = s.line+n == 1 || s.line+n == 2 && (end == 0 || b[0] == '\r')
		s.line, b = 0, b[n:]
	}
	return true
}

// Texts of errors of net/http for which it has no exported value. A test notices if they change.
const (
	textChunkOverhead = "chunked encoding contains too much non-data"
	textTrailer       = "http: suspiciously long trailer after chunked body"
)

// bodyError returns the error for a failed read of a body: net/http bounds what a chunked body has apart from data.
func (p *Pool) bodyError(err error) error {
	switch {
	case err == nil, err == io.EOF:
		return err
	case errors.Is(err, httputil.ErrLineTooLong), err.Error() == textChunkOverhead:
		return p.overLimit(Chunks, chunkOverheadLimit)
	case err.Error() == textTrailer:
		return p.overLimit(Trailer, trailerLimit)
	}
	return err
}

// headError bounds the text of an error of a head.
func headError(err error) error {
	var limit *LimitError
	if text := err.Error(); !errors.As(err, &limit) && len(text) > maxErrorText {
		return &malformedHeadError{text: text[:maxErrorText] + " ..."}
	}
	return err
}
