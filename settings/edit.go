package settings

import (
	"fmt"
	"strings"
)

// editor collects edits of a document by line, so that lines that are not edited are kept
// unchanged.
type editor struct {
	doc      *document
	replaced map[int]string
	removed  map[int]bool
	// inserted holds new lines by the index of the line after which they are inserted.
	inserted map[int][]string
	// appended lists the new sections in order; added indexes them.
	appended []*addition
	added    map[Section]*addition
}

// addition is a section at the end of the document.
type addition struct{ lines []string }

func newEditor(d *document) *editor {
	return &editor{doc: d, replaced: map[int]string{}, removed: map[int]bool{}, inserted: map[int][]string{}, added: map[Section]*addition{}}
}

// Apply applies changes to a text and keeps its comments and layout. Only New is used: a key is set
// to it, or the key or section is removed if it is nil. The error is *InvalidError for a text that
// cannot be parsed or a value that cannot be written.
func Apply(text []byte, changes []Change) ([]byte, error) {
	d, err := parseSyntax("settings", text)
	if err != nil {
		return nil, err
	}
	e := newEditor(d)
	for _, c := range changes {
		if err := checkWritable(c); err != nil {
			return nil, err
		}
		e.apply(c)
	}
	return e.text(), nil
}

// checkWritable rejects a change whose value would be parsed differently after being written.
func checkWritable(c Change) error {
	if c.New == nil {
		return nil
	}
	v := *c.New
	unsafe := strings.ContainsAny(v, "\r\n#;`\"'") || strings.TrimSpace(v) != v
	if !unsafe && (c.Key == "" || keyPattern.MatchString(c.Key)) {
		return nil
	}
	problem := Problem{File: "change", Section: c.Section.String(), Key: c.Key, Fault: BadSyntax, Text: fmt.Sprintf("%q", v), Expected: "a value on one line without quotes, # and ;"}
	return &InvalidError{Problems: []Problem{problem}}
}

func (e *editor) apply(c Change) {
	switch {
	case c.Key == "" && c.New == nil:
		e.removeSection(c.Section)
	case c.Key == "":
		e.addSection(c.Section)
	case c.New == nil:
		e.unset(c.Section, c.Key)
	default:
		e.set(c.Section, c.Key, *c.New)
	}
}

func (e *editor) set(s Section, key, value string) {
	if old, found := e.doc.value(s, key); found {
		e.replaced[old.line] = replaceValue(e.doc.lines[old.line].raw, value)
		delete(e.removed, old.line)
		return
	}
	text := key + " = " + value
	b, found := e.doc.sections[s]
	if !found {
		addition := e.addSection(s)
		addition.lines = append(addition.lines, text)
		return
	}
	lastLine := b.line
	for i := range b.entries {
		lastLine = max(lastLine, b.entries[i].line)
	}
	e.inserted[lastLine] = append(e.inserted[lastLine], text)
}

func (e *editor) unset(s Section, key string) {
	if old, found := e.doc.value(s, key); found {
		e.removed[old.line] = true
	}
}

func (e *editor) addSection(s Section) *addition {
	if e.doc.sections[s] != nil {
		return nil
	}
	if known, found := e.added[s]; found {
		return known
	}
	return e.appendSection(s, []string{"[" + s.String() + "]"})
}

func (e *editor) appendSection(s Section, lines []string) *addition {
	a := &addition{lines: lines}
	e.added[s] = a
	e.appended = append(e.appended, a)
	return a
}

func (e *editor) removeSection(s Section) {
	if b, found := e.doc.sections[s]; found {
		first, end := e.doc.extent(b)
		for i := first; i < end; i++ {
			e.removed[i] = true
		}
	}
}

// extent returns the lines [first, end) of a section, from the comments directly above its header
// to the comments directly above the next header, exclusive.
func (d *document) extent(b *block) (first, end int) {
	end = len(d.lines)
	for i := b.line + 1; i < len(d.lines); i++ {
		if d.lines[i].header {
			end = d.commentsAbove(i)
			break
		}
	}
	return d.commentsAbove(b.line), end
}

// commentsAbove returns the first of the comment lines directly above line i, or i if there are
// none.
func (d *document) commentsAbove(i int) int {
	for i > 0 && isComment(d.lines[i-1].raw) {
		i--
	}
	return i
}

func isComment(raw string) bool {
	text := strings.TrimSpace(raw)
	return text != "" && (text[0] == '#' || text[0] == ';')
}

// replaceValue replaces the value in a line and keeps the spacing and a trailing comment.
func replaceValue(raw, value string) string {
	name, old, _ := strings.Cut(raw, "=")
	indent := old[:len(old)-len(strings.TrimLeft(old, " \t"))]
	comment := ""
	if i := strings.IndexAny(old, "#;"); i > 0 && strings.TrimSpace(old[i-1:i]) == "" {
		trimmed := len(strings.TrimRight(old[:i], " \t"))
		comment = old[max(trimmed, len(indent)):]
	}
	return name + "=" + indent + value + comment
}

func (e *editor) text() []byte {
	var out []string
	for i, l := range e.doc.lines {
		if text, found := e.replaced[i]; found {
			out = append(out, text)
		} else if !e.removed[i] {
			out = append(out, l.raw)
		}
		out = append(out, e.inserted[i]...)
	}
	for _, a := range e.appended {
		if len(out) > 0 && strings.TrimSpace(out[len(out)-1]) != "" {
			out = append(out, "")
		}
		out = append(out, a.lines...)
	}
	return []byte(strings.TrimLeft(strings.Join(out, "\n"), "\n") + "\n")
}
