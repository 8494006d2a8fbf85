package settings

import "fmt"

// Conflict is a key that two texts changed to different values.
type Conflict struct {
	Section Section `json:"section"`
	// Key is empty if the section itself was added or removed.
	Key string `json:"key"`
	// Base, Mine and Theirs are the values; nil means not set.
	Base   *string `json:"base"`
	Mine   *string `json:"mine"`
	Theirs *string `json:"theirs"`
}

// String returns the key with its three values.
func (c Conflict) String() string {
	return fmt.Sprintf("[%s] %s: base %s, mine %s, theirs %s", c.Section, c.Key, formatValue(c.Base), formatValue(c.Mine), formatValue(c.Theirs))
}

// Merged is the result of a merge.
type Merged struct {
	// Text is theirs with the changes of mine applied.
	Text []byte
	// Mine and Theirs are the changes that each side made to the base.
	Mine   []Change
	Theirs []Change
}

// keyID identifies a key of a text.
type keyID struct {
	section Section
	key     string
}

// Merge applies the changes from base to mine to theirs. Comments and layout are taken from theirs;
// a section that only mine has keeps its comments. The error is *InvalidError for a text that
// cannot be parsed, or *ConflictError, which lists every key that the two sides changed to
// different values.
//
// ParseTree may still reject the merged text, for example if one side removes a section that the
// other refers to. Callers must validate it before they commit it.
func Merge(base, mine, theirs []byte) (*Merged, error) {
	docs := [3]*document{}
	for i, text := range [][]byte{base, mine, theirs} {
		d, err := parseSyntax([]string{"base", "mine", "theirs"}[i], text)
		if err != nil {
			return nil, err
		}
		docs[i] = d
	}
	b, m, t := docs[0], docs[1], docs[2]
	out := &Merged{Mine: diffDocuments(b, m), Theirs: diffDocuments(b, t)}
	if conflicts := findConflicts(b, m, t, out); len(conflicts) > 0 {
		return nil, &ConflictError{Conflicts: conflicts}
	}
	out.Text = mergeInto(t, m, out.Mine)
	return out, nil
}

// findConflicts returns the keys that the two sides changed to different values. The removal of a
// section by one side conflicts with each key of the section that the other side sets.
func findConflicts(base, mine, theirs *document, changes *Merged) []Conflict {
	var out []Conflict
	theirChanges := indexChanges(changes.Theirs)
	listed := map[keyID]bool{}
	add := func(s Section, key string) {
		if listed[keyID{s, key}] {
			return
		}
		listed[keyID{s, key}] = true
		out = append(out, Conflict{Section: s, Key: key, Base: base.valuePointer(s, key), Mine: mine.valuePointer(s, key), Theirs: theirs.valuePointer(s, key)})
	}
	for _, c := range changes.Mine {
		other, both := theirChanges[keyID{c.Section, c.Key}]
		removed := theirs.sections[c.Section] == nil && base.sections[c.Section] != nil
		if (both && !equalValues(c.New, other.New)) || (removed && c.New != nil) {
			add(c.Section, c.Key)
		}
	}
	for _, c := range changes.Theirs {
		if mine.sections[c.Section] == nil && base.sections[c.Section] != nil && c.New != nil {
			add(c.Section, c.Key)
		}
	}
	return out
}

func indexChanges(changes []Change) map[keyID]Change {
	out := map[keyID]Change{}
	for _, c := range changes {
		out[keyID{c.Section, c.Key}] = c
	}
	return out
}

func equalValues(a, b *string) bool {
	if a == nil || b == nil {
		return a == b
	}
	return *a == *b
}

// valuePointer returns a pointer to the value of a key, or nil if it is not set.
func (d *document) valuePointer(s Section, key string) *string {
	if e, found := d.value(s, key); found {
		return &e.value
	}
	return nil
}

// mergeInto applies changes to the target. New sections are copied from the source with their
// comments.
func mergeInto(target, source *document, changes []Change) []byte {
	e := newEditor(target)
	copied := map[Section]bool{}
	for _, c := range changes {
		switch {
		case copied[c.Section]:
		case c.Key == "" && c.New != nil && target.sections[c.Section] == nil:
			copied[c.Section] = true
			e.appendSection(c.Section, source.blockText(c.Section))
		default:
			e.apply(c)
		}
	}
	return e.text()
}

// blockText returns the lines of a section without trailing blank lines.
func (d *document) blockText(s Section) []string {
	first, end := d.extent(d.sections[s])
	for end > first && d.lines[end-1].raw == "" {
		end--
	}
	var out []string
	for _, l := range d.lines[first:end] {
		out = append(out, l.raw)
	}
	return out
}

// Resolve resolves conflicts key by key: it returns a base and a mine that merge with theirs
// without these conflicts. If keepMine returns true for a conflict, base is set to the value of
// theirs, which leaves only the change of mine; otherwise mine is set to the value of theirs.
func Resolve(base, mine []byte, conflicts []Conflict, keepMine func(Conflict) bool) (newBase, newMine []byte, err error) {
	var inBase, inMine []Change
	for _, c := range conflicts {
		change := Change{Section: c.Section, Key: c.Key, New: c.Theirs}
		if keepMine(c) {
			inBase = append(inBase, change)
			continue
		}
		inMine = append(inMine, change)
	}
	if newBase, err = Apply(base, inBase); err != nil {
		return nil, nil, err
	}
	newMine, err = Apply(mine, inMine)
	return newBase, newMine, err
}
