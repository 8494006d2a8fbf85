// Package transcript records the messages between caller, entry, controller, endpoint
// and platform in order, as readable lines, and compares them with golden files. It
// is a test helper.
package transcript

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// updateVariable, set to 1, makes Golden write its files instead of comparing.
const updateVariable = "UPDATE_GOLDEN"

// Party is a sender or receiver of messages.
type Party string

// The parties of a session.
const (
	Caller     Party = "caller"
	Entry      Party = "entry"
	Controller Party = "controller"
	Endpoint   Party = "endpoint"
	Platform   Party = "platform"
)

// Log collects messages in the order of the calls to Add. It is safe for concurrent
// use.
type Log struct {
	mu    sync.Mutex
	lines []string
	masks []mask
}

// mask replaces text that differs between runs.
type mask struct {
	pattern     *regexp.Regexp
	replacement string
}

// Mask replaces every match of pattern in messages that are added later.
func (l *Log) Mask(pattern, replacement string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.masks = append(l.masks, mask{regexp.MustCompile(pattern), replacement})
}

// Add records one message.
func (l *Log) Add(from, to Party, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range l.masks {
		text = m.pattern.ReplaceAllString(text, m.replacement)
	}
	text = strings.ReplaceAll(strings.TrimRight(text, "\n"), "\n", "\n    ")
	l.lines = append(l.lines, fmt.Sprintf("%-8s -> %-8s  %s", from, to, text))
}

// String returns the session so far.
func (l *Log) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Join(l.lines, "\n") + "\n"
}

// Golden compares the session with testdata/<name>.golden of the test's package.
func (l *Log) Golden(t testing.TB, name string) {
	t.Helper()
	path := filepath.Join("testdata", name+".golden")
	got := l.String()
	if os.Getenv(updateVariable) == "1" {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatalf("%v (run with %s=1 to write it)", err, updateVariable)
	}
	if diff := cmp.Diff(string(want), got); diff != "" {
		t.Errorf("session differs from %s (-want +got):\n%s", path, diff)
	}
}
