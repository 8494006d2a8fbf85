package settings

import (
	"fmt"
	"strings"

	"github.com/springweir/springweir/failure"
)

// Fault is the category of a Problem.
type Fault string

// The categories of problems. Dangling is a reference to a section that does not exist, and Clash
// is a value that contradicts another one.
const (
	BadSyntax        Fault = "bad-syntax"
	UnknownSection   Fault = "unknown-section"
	DuplicateSection Fault = "duplicate-section"
	UnknownKey       Fault = "unknown-key"
	MisplacedKey     Fault = "misplaced-key"
	DuplicateKey     Fault = "duplicate-key"
	BadValue         Fault = "bad-value"
	OutOfRange       Fault = "out-of-range"
	MissingKey       Fault = "missing-key"
	Dangling         Fault = "dangling"
	Cycle            Fault = "cycle"
	Clash            Fault = "clash"
)

// Problem is an error in a settings text.
type Problem struct {
	File string `json:"file"`
	// Line is the line number, starting from one; zero means the text as a whole.
	Line    int    `json:"line"`
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	Fault   Fault  `json:"fault"`
	// Text describes what was found.
	Text string `json:"text"`
	// Expected describes what would be valid.
	Expected string `json:"want"`
}

// Error implements error, in the format file:line: [section] key: fault: text; want expected.
func (p Problem) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d: ", p.File, p.Line)
	if p.Section != "" {
		fmt.Fprintf(&b, "[%s] ", p.Section)
	}
	if p.Key != "" {
		fmt.Fprintf(&b, "%s: ", p.Key)
	}
	fmt.Fprintf(&b, "%s: %s", p.Fault, p.Text)
	if p.Expected != "" {
		fmt.Fprintf(&b, "; want %s", p.Expected)
	}
	return b.String()
}

// InvalidError is an invalid settings text. It holds every problem found, ordered by line.
type InvalidError struct{ Problems []Problem }

// Error implements error, with one line per problem.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Reason implements failure.Coded.
func (e *InvalidError) Reason() failure.Reason { return failure.BadSettings }
