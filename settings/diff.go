package settings

import "fmt"

// Change is a key whose value differs between two texts.
type Change struct {
	Section Section `json:"section"`
	// Key is empty if the section itself is added (Old is nil) or removed (New is nil).
	Key string `json:"key"`
	// Old and New are the values; nil means not set.
	Old *string `json:"old"`
	New *string `json:"new"`
}

// String returns the change as a line starting with +, - or ~.
func (c Change) String() string {
	what := fmt.Sprintf("[%s]", c.Section)
	if c.Key != "" {
		what += " " + c.Key
	}
	switch {
	case c.Key == "" && c.Old == nil:
		return "+ " + what
	case c.Key == "":
		return "- " + what
	case c.Old == nil:
		return fmt.Sprintf("+ %s = %s", what, *c.New)
	case c.New == nil:
		return fmt.Sprintf("- %s = %s", what, *c.Old)
	}
	return fmt.Sprintf("~ %s = %s -> %s", what, *c.Old, *c.New)
}

// formatValue formats a value that may be unset.
func formatValue(value *string) string {
	if value == nil {
		return "(not set)"
	}
	if *value == "" {
		return "(empty)"
	}
	return *value
}

// Diff returns the keys that differ between two texts: first the sections of next in their order,
// then the sections that only base has. Comments and layout are ignored. The error is *InvalidError
// for a text with invalid syntax; values are not validated.
func Diff(base, next []byte) ([]Change, error) {
	a, err := parseSyntax("base", base)
	if err != nil {
		return nil, err
	}
	b, err := parseSyntax("next", next)
	if err != nil {
		return nil, err
	}
	return diffDocuments(a, b), nil
}

// parseSyntax parses a text without validating its keys and values.
func parseSyntax(name string, text []byte) (*document, error) {
	d := parseDocument(name, text)
	if err := d.invalid(); err != nil {
		return nil, err
	}
	return d, nil
}

func diffDocuments(a, b *document) []Change {
	var out []Change
	empty := ""
	for _, s := range b.order {
		if a.sections[s] == nil {
			out = append(out, Change{Section: s, New: &empty})
		}
		out = append(out, diffKeys(a, b, s)...)
	}
	for _, s := range a.order {
		if b.sections[s] == nil {
			out = append(out, diffKeys(a, b, s)...)
			out = append(out, Change{Section: s, Old: &empty})
		}
	}
	return out
}

func diffKeys(a, b *document, s Section) []Change {
	var out []Change
	for _, newEntry := range b.entriesOf(s) {
		key := newEntry.name
		oldEntry, found := a.value(s, key)
		switch {
		case !found:
			out = append(out, Change{Section: s, Key: key, New: &newEntry.value})
		case oldEntry.value != newEntry.value:
			out = append(out, Change{Section: s, Key: key, Old: &oldEntry.value, New: &newEntry.value})
		}
	}
	for _, oldEntry := range a.entriesOf(s) {
		if _, found := b.value(s, oldEntry.name); !found {
			out = append(out, Change{Section: s, Key: oldEntry.name, Old: &oldEntry.value})
		}
	}
	return out
}

func (d *document) entriesOf(s Section) []entry {
	if b, found := d.sections[s]; found {
		return b.entries
	}
	return nil
}
