package transcript

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
)

// Handler records the requests that callers send to h and its responses, one entry
// for each flush.
func (l *Log) Handler(h http.Handler) http.Handler { return l.HandlerBetween(Caller, Entry, h) }

// HandlerBetween is Handler for requests that from sends to to.
func (l *Log) HandlerBetween(from, to Party, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		l.Add(from, to, "%s %s\n%s%s", r.Method, r.URL.RequestURI(), headerLines(r.Header), body)
		rec := &responseRecorder{ResponseWriter: w, log: l, from: to, to: from}
		h.ServeHTTP(rec, r)
		rec.record()
	})
}

// headerLines formats headers in sorted order, one per line.
func headerLines(h http.Header) string {
	var lines []string
	for name, values := range h {
		lines = append(lines, fmt.Sprintf("%s: %s\n", name, strings.Join(values, ", ")))
	}
	slices.Sort(lines)
	return strings.Join(lines, "")
}

// responseRecorder records each part of a response when it is flushed.
type responseRecorder struct {
	http.ResponseWriter
	log *Log
	// from is the sender of the response, to its receiver.
	from, to Party
	pending  bytes.Buffer
}

// WriteHeader implements http.ResponseWriter.
func (r *responseRecorder) WriteHeader(status int) {
	fmt.Fprintf(&r.pending, "status %d\n%s", status, headerLines(r.Header()))
	r.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (r *responseRecorder) Write(b []byte) (int, error) {
	r.pending.Write(b)
	return r.ResponseWriter.Write(b)
}

// FlushError is called by http.ResponseController.
func (r *responseRecorder) FlushError() error {
	r.record()
	return http.NewResponseController(r.ResponseWriter).Flush()
}

// Unwrap is called by http.ResponseController.
func (r *responseRecorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

func (r *responseRecorder) record() {
	if r.pending.Len() > 0 {
		r.log.Add(r.from, r.to, "%s", r.pending.String())
		r.pending.Reset()
	}
}
