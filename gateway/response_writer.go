package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/springweir/springweir/relay"
)

// writeChunk is the size of a write, in bytes. Each has a deadline of its own, so that a slow caller may
// take as long as it needs for a large response.
const writeChunk = 64 << 10

// responseWriter writes a response to the caller. It implements relay.ResponseWriter.
type responseWriter struct {
	// request is the ID of the request.
	request  string
	w        http.ResponseWriter
	control  *http.ResponseController
	deadline stallDeadline
	// chunks reports whether the caller takes responses in chunks, as those of HTTP/1.1 do.
	chunks bool
	// framing is how the end of the response shows, once its head was sent.
	framing framing
	conn    callerConn
}

// framing is how the end of a response shows to the caller.
type framing string

const (
	// byLength and byChunks show an end that comes too early.
	byLength framing = "length"
	byChunks framing = "chunks"
	// byClose means that the body ends with the connection. Until the response is complete, the connection ends with a
	// reset, also if the process ends.
	byClose framing = "close"
)

// responsesBegun counts the responses whose head was sent.
var responsesBegun = map[framing]*metrics.Counter{
	byLength: metrics.NewCounter(`springweir_responses_begun_total{framing="length"}`),
	byChunks: metrics.NewCounter(`springweir_responses_begun_total{framing="chunks"}`),
	byClose:  metrics.NewCounter(`springweir_responses_begun_total{framing="close"}`),
}

var _ relay.ResponseWriter = (*responseWriter)(nil)

func newResponseWriter(w http.ResponseWriter, r *http.Request, id string, stall time.Duration) *responseWriter {
	control := http.NewResponseController(w)
	return &responseWriter{
		request: id, w: w, control: control, deadline: stallDeadline{stall: stall, set: control.SetWriteDeadline}, chunks: r.ProtoAtLeast(1, 1),
		conn: callerConnOf(r),
	}
}

// WriteHead implements relay.ResponseWriter.
func (p *responseWriter) WriteHead(status int, header http.Header, length int64) error {
	dst := p.w.Header()
	for name, values := range header {
		dst[name] = values
	}
	for _, added := range []string{"Content-Type", "Date"} {
		if _, present := header[added]; !present {
			dst[added] = nil // otherwise net/http adds its default value
		}
	}
	switch {
	case length >= 0:
		p.framing = byLength
		dst["Content-Length"] = []string{strconv.FormatInt(length, 10)}
	case p.chunks:
		p.framing = byChunks
	default:
		p.framing = byClose
		p.conn.resetAtClose()
	}
	p.w.WriteHeader(status)
	p.recordBegin()
	return nil
}

// Write implements relay.ResponseWriter. It fails if the caller accepts nothing for the time of a stall.
func (p *responseWriter) Write(b []byte) error {
	for len(b) > 0 {
		chunk := b[:min(len(b), writeChunk)]
		if err := p.deadline.renew(); err != nil {
			return err
		}
		if _, err := p.w.Write(chunk); err != nil {
			return err
		}
		b = b[len(chunk):]
	}
	return p.control.Flush()
}

// recordBegin counts a response by its framing. One that ends with the connection is logged: if the process ends before
// it, there is no other trace of it.
func (p *responseWriter) recordBegin() {
	responsesBegun[p.framing].Inc()
	if p.framing == byClose {
		klog.InfoS("gateway: response begun that ends with its connection", "request", p.request)
	}
}

// close removes the deadline of the writes.
func (p *responseWriter) close() { p.deadline.remove() }

// complete ends a complete response.
func (p *responseWriter) complete() {
	if p.framing == byClose {
		p.conn.endAtClose()
	}
}
