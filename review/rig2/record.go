package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// record is what was sent, answered and run. It is written to a file at the end.
type record struct {
	start time.Time

	mu    sync.Mutex
	lines []line
}

type line struct {
	at   time.Time
	text string
}

func newRecord() *record { return &record{start: time.Now()} }

// add adds a line with the time since the start.
func (r *record) add(format string, args ...any) { r.addAt(time.Now(), format, args...) }

// addAt adds a line with a time.
func (r *record) addAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, line{at, fmt.Sprintf(format, args...)})
}

// write writes the lines to a file, in the order of their times.
func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	slices.SortStableFunc(r.lines, func(a, b line) int { return a.at.Compare(b.at) })
	var text strings.Builder
	for _, l := range r.lines {
		fmt.Fprintf(&text, "%8.3f  %s\n", l.at.Sub(r.start).Seconds(), l.text)
	}
	return os.WriteFile(path, []byte(text.String()), 0o644)
}
