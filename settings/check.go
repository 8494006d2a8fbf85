package settings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// invalid returns the problems as an error, in the order of the lines.
func (d *document) invalid() error {
	if len(d.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(d.problems, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
	return &InvalidError{Problems: d.problems}
}

// check looks at each section and key by itself and notes the parsed values.
func check(d *document, kinds []Kind) {
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

// checkKey notes the parsed value in the entry.
func (d *document) checkKey(b *block, e *entry, kinds []Kind) {
	name := e.name
	header := b.section.String()
	k, found := Lookup(b.section.Kind, name)
	switch {
	case !found:
		d.unknownKey(b, e, kinds)
		return
	case !mayStand(k, b.section):
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
	d.problem(e.line, b.section.String(), name, UnknownKey, "no such key", nearest(name, KeysFor(b.section.Kind)))
}

func (d *document) checkRequired(b *block) {
	if b.section.Zone != "" {
		return
	}
	for _, k := range KeysFor(b.section.Kind) {
		if _, found := b.find(k.Name); k.Required && k.Own && !found {
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

// nearest suggests the key that is the fewest edits away, or lists them all.
func nearest(name string, keys []*Key) string {
	names := make([]string, len(keys))
	best, distance := "", len(name)/2+1
	for i, k := range keys {
		names[i] = k.Name
		if n := edits(name, k.Name); n < distance {
			best, distance = k.Name, n
		}
	}
	if best != "" {
		return fmt.Sprintf("perhaps %s", best)
	}
	return "one of " + strings.Join(names, ", ")
}

// edits is the Levenshtein distance between two words.
func edits(a, b string) int {
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
