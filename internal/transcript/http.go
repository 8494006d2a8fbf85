package transcript

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
)

// Handler records what callers send to h and, in the pieces in which it is
// flushed, what h answers.
func (l *Log) Handler(h http.Handler) http.Handler { return l.HandlerBetween(Caller, Entry, h) }

// HandlerBetween is Handler for two other parties.
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
		rec.note()
	})
}

// headerLines writes headers in order, one a line.
func headerLines(h http.Header) string {
	var lines []string
	for name, values := range h {
		lines = append(lines, fmt.Sprintf("%s: %s\n", name, strings.Join(values, ", ")))
	}
	slices.Sort(lines)
	return strings.Join(lines, "")
}

// responseRecorder notes each piece of an answer when it is flushed.
type responseRecorder struct {
	http.ResponseWriter
	log *Log
	// from and to are the sides of the answer.
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

// FlushError is found by http.ResponseController.
func (r *responseRecorder) FlushError() error {
	r.note()
	return http.NewResponseController(r.ResponseWriter).Flush()
}

// Unwrap is found by http.ResponseController.
func (r *responseRecorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

func (r *responseRecorder) note() {
	if r.pending.Len() > 0 {
		r.log.Add(r.from, r.to, "%s", r.pending.String())
		r.pending.Reset()
	}
}
