package settings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// invalid returns the problems found as an *InvalidError, ordered by line, or nil if there are
// none.
func (d *document) invalid() error {
	if len(d.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(d.problems, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
	return &InvalidError{Problems: d.problems}
}

// checkSections validates each section and key in isolation and stores the parsed values.
func checkSections(d *document, kinds []Kind) {
	for _, s := range d.order {
		b := d.sections[s]
		if !slices.Contains(kinds, s.Kind) {
			d.problem(b.line, s.String(), "", UnknownSection, "no such kind of section here", "one of "+joinKinds(kinds))
			continue
		}
		for i := range b.entries {
			d.checkKey(b, &b.entries[i], kinds)
		}
		d.checkRequired(b)
	}
}

// checkKey validates an entry and stores its parsed value.
func (d *document) checkKey(b *block, e *entry, kinds []Kind) {
	name := e.name
	header := b.section.String()
	k, found := Lookup(b.section.Kind, name)
	switch {
	case !found:
		d.unknownKey(b, e, kinds)
		return
	case !allowedIn(k, b.section):
		d.problem(e.line, header, name, MisplacedKey, "the key holds for all zones", fmt.Sprintf("it in [%s]", Section{Kind: b.section.Kind, Name: b.section.Name}))
		return
	}
	v, ok := k.Parse(e.value)
	if !ok {
		d.problem(e.line, header, name, BadValue, fmt.Sprintf("%q", e.value), k.Expected())
		return
	}
	if !k.InRange(v) {
		d.problem(e.line, header, name, OutOfRange, fmt.Sprintf("%q", e.value), k.Expected())
		return
	}
	e.parsed = v
}

// unknownKey reports a key that is unknown in its section, and the sections where it is allowed, if
// any.
func (d *document) unknownKey(b *block, e *entry, kinds []Kind) {
	name := e.name
	var places []Kind
	for _, kind := range kinds {
		if _, found := Lookup(kind, name); found {
			places = append(places, kind)
		}
	}
	if len(places) > 0 {
		d.problem(e.line, b.section.String(), name, MisplacedKey, "the key does not belong here", "it in a section of kind "+joinKinds(places))
		return
	}
	d.problem(e.line, b.section.String(), name, UnknownKey, "no such key", suggestKey(name, KeysFor(b.section.Kind)))
}

// checkRequired reports required keys that a section does not set and cannot inherit.
func (d *document) checkRequired(b *block) {
	if b.section.Zone != "" {
		return
	}
	for _, k := range KeysFor(b.section.Kind) {
		if _, found := b.find(k.Name); k.Required && k.NotInherited && !found {
			d.problem(b.line, b.section.String(), k.Name, MissingKey, "the key is not set", k.Expected())
		}
	}
}

func joinKinds(kinds []Kind) string {
	words := make([]string, len(kinds))
	for i, k := range kinds {
		words[i] = string(k)
	}
	return strings.Join(words, ", ")
}

// suggestKey suggests the key with the smallest edit distance to name, or lists all keys if none is
// close.
func suggestKey(name string, keys []*Key) string {
	names := make([]string, len(keys))
	best, distance := "", len(name)/2+1
	for i, k := range keys {
		names[i] = k.Name
		if n := editDistance(name, k.Name); n < distance {
			best, distance = k.Name, n
		}
	}
	if best != "" {
		return fmt.Sprintf("perhaps %s", best)
	}
	return "one of " + strings.Join(names, ", ")
}

// editDistance returns the Levenshtein distance between two words, in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			diagonal, row[j+1] = row[j+1], min(diagonal+cost, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
