package settings

import (
	"bytes"
	"regexp"
	"strconv"
	"strings"

	"gopkg.in/ini.v1"
)

// document is a parsed settings text with the line of each section and key. Blank lines and
// comments are retained, so that an edited document keeps the operators' comments and layout.
type document struct {
	file     string
	lines    []line
	sections map[Section]*block
	// order lists the sections in the order of the text.
	order    []Section
	problems []Problem
}

// line is one line of text. header is set for a section header, key for a line that sets a key.
type line struct {
	raw    string
	header bool
	key    string
}

// block is one section of a document.
type block struct {
	section Section
	// line is the index of the header in document.lines.
	line int
	// entries is in the order of the text. Sections have few entries, so that a linear search is
	// as fast as a map and uses far less memory.
	entries []entry
}

// entry is one key of a section.
type entry struct {
	name string
	// line is the index in document.lines.
	line  int
	value string
	// parsed is set by checkSections for a valid value.
	parsed Value
}

// keyPattern matches valid key names.
var keyPattern = regexp.MustCompile(`^[a-z][a-z0-9-]*$`)

// parseDocument splits the text into sections and keys and records syntax problems. The scan
// locates sections and keys, and ini.v1 parses the values. Lines with problems are not passed to
// ini.v1, so that the scan and the library cannot disagree.
func parseDocument(file string, text []byte) *document {
	d := &document{file: file, sections: map[Section]*block{}}
	text = bytes.TrimPrefix(text, []byte("\xef\xbb\xbf"))
	var clean strings.Builder
	var current *block
	for i, raw := range strings.Split(strings.TrimSuffix(string(text), "\n"), "\n") {
		d.lines = append(d.lines, line{raw: strings.TrimSuffix(raw, "\r")})
		trimmed := strings.TrimSpace(raw)
		switch {
		case trimmed == "" || trimmed[0] == '#' || trimmed[0] == ';':
		case trimmed[0] == '[':
			current = d.scanHeader(i, trimmed)
			if current != nil {
				clean.WriteString("[" + current.section.String() + "]\n")
			}
		default:
			if d.scanKey(i, trimmed, current) {
				clean.WriteString(trimmed + "\n")
			}
		}
	}
	d.readValues(clean.String())
	return d
}

// scanHeader returns the new section, or nil if the header is invalid or a duplicate. The keys of
// such a section are skipped.
func (d *document) scanHeader(i int, text string) *block {
	d.lines[i].header = true
	name, rest, closed := strings.Cut(text[1:], "]")
	rest = strings.TrimSpace(rest)
	if !closed || (rest != "" && rest[0] != '#' && rest[0] != ';') {
		d.problem(i, "", "", BadSyntax, text, `a header such as [pool "language"]`)
		return nil
	}
	section, ok := ParseSection(strings.TrimSpace(name))
	if !ok {
		d.problem(i, name, "", UnknownSection, "not a section header", `[defaults] or a kind and a quoted name of lower-case letters, digits, '.', '_', '-', such as [pool "language"] or [pool "language" zone "a"]`)
		return nil
	}
	if first, found := d.sections[section]; found {
		d.problem(i, section.String(), "", DuplicateSection, "the section stands already at line "+strconv.Itoa(first.line+1), "each section once")
		return nil
	}
	b := &block{section: section, line: i}
	d.sections[section] = b
	d.order = append(d.order, section)
	return b
}

// scanKey records a key's line and reports whether the line may be passed to ini.v1.
func (d *document) scanKey(i int, text string, current *block) bool {
	name, value, found := strings.Cut(text, "=")
	name, value = strings.TrimSpace(name), strings.TrimSpace(value)
	if !found || !keyPattern.MatchString(name) {
		d.problem(i, current.header(), "", BadSyntax, text, "key = value, a [section] or a comment starting with # or ;")
		return false
	}
	if current == nil {
		if len(d.order) == 0 {
			d.problem(i, "", name, BadSyntax, "the key stands before any section", "a [section] above it")
		}
		return false
	}
	// ini.v1 would continue these values on the next lines.
	if strings.HasPrefix(value, "`") || strings.HasPrefix(value, `"""`) {
		d.problem(i, current.header(), name, BadSyntax, "a value over several lines", "a value on one line")
		return false
	}
	if first, again := current.find(name); again {
		d.problem(i, current.header(), name, DuplicateKey, "the key stands already at line "+strconv.Itoa(first.line+1), "each key once in a section")
		return false
	}
	current.entries = append(current.entries, entry{name: name, line: i})
	d.lines[i].key = name
	return true
}

// readValues parses the values of the scanned keys with ini.v1.
func (d *document) readValues(clean string) {
	options := ini.LoadOptions{
		IgnoreContinuation:       true,
		SpaceBeforeInlineComment: true,
		KeyValueDelimiters:       "=",
		ChildSectionDelimiter:    "\x00",
	}
	file, err := ini.LoadSources(options, []byte(clean))
	if err != nil {
		d.problems = append(d.problems, Problem{File: d.file, Fault: BadSyntax, Text: err.Error(), Expected: "INI text"})
		return
	}
	for section, b := range d.sections {
		read := file.Section(section.String())
		for i := range b.entries {
			b.entries[i].value = read.Key(b.entries[i].name).Value()
		}
	}
}

func (b *block) header() string {
	if b == nil {
		return ""
	}
	return b.section.String()
}

// problem records a problem at the line with index i.
func (d *document) problem(i int, section, key string, fault Fault, text, expected string) {
	d.problems = append(d.problems, Problem{File: d.file, Line: i + 1, Section: section, Key: key, Fault: fault, Text: text, Expected: expected})
}

// value returns the entry of a key, if the section sets it.
func (d *document) value(s Section, key string) (entry, bool) {
	b, found := d.sections[s]
	if !found {
		return entry{}, false
	}
	return b.find(key)
}

// find returns an entry by its key.
func (b *block) find(key string) (entry, bool) {
	for i := range b.entries {
		if b.entries[i].name == key {
			return b.entries[i], true
		}
	}
	return entry{}, false
}
