package settings

import (
	"fmt"
	"slices"
	"strings"
)

// Key describes one key: what it may hold, where it may stand, and what it means.
type Key struct {
	Name string
	Type Type
	// Unit says what a plain number counts, such as tokens; it is written
	// only in the documentation.
	Unit string
	// Min and Max bound the value, both included; empty means unbounded.
	Min, Max string
	// Default is the built-in value; empty means unset.
	Default string
	// Choices are the words that a Choice may be.
	Choices []string
	// In lists the kinds of section in which the key may stand.
	In []Kind
	// Own marks a key that belongs to its section and is not inherited.
	Own bool
	// AllZones marks a key that may not differ between zones.
	AllZones bool
	// Required marks a key that its section must have.
	Required bool
	// Refers is the kind of section that a Name or Names must exist as.
	Refers Kind
	// Doc is one line of documentation.
	Doc string
}

// Lookup returns the key that may stand in sections of the kind.
func Lookup(kind Kind, name string) (*Key, bool) {
	k, found := keysByPlace[place{kind, name}]
	return k, found
}

type place struct {
	kind Kind
	name string
}

// keysByPlace finds a key by where it stands. One name may mean different
// things in different kinds of section, but never two in one kind.
var keysByPlace = indexKeys()

func indexKeys() map[place]*Key {
	index := map[place]*Key{}
	for i := range Keys {
		for _, kind := range Keys[i].In {
			index[place{kind, Keys[i].Name}] = &Keys[i]
		}
	}
	return index
}

// builtIn holds the parsed defaults.
var builtIn = parseDefaults()

func parseDefaults() map[*Key]Value {
	out := map[*Key]Value{}
	for i := range Keys {
		k := &Keys[i]
		if k.Default != "" {
			out[k], _ = k.Parse(k.Default)
		}
	}
	return out
}

// KeysFor returns the keys that may stand in sections of the kind, in the
// registry's order.
func KeysFor(kind Kind) []*Key {
	var out []*Key
	for i := range Keys {
		if slices.Contains(Keys[i].In, kind) {
			out = append(out, &Keys[i])
		}
	}
	return out
}

var examples = map[Type]string{
	Duration:  "a duration with its unit (us, ms, s, m, h), such as 250ms",
	Integer:   "a whole number",
	Number:    "a number",
	Percent:   "a percentage with %, such as 20%",
	Size:      "a size with its unit (B, KiB, MiB, GiB), such as 2MiB",
	Rate:      "a rate with its unit (/s, /m, /h), such as 50/s",
	SizeRate:  "a rate with its unit (B/s, KiB/s, MiB/s, GiB/s), such as 200MiB/s",
	Flag:      "yes or no",
	Name:      "a name (lower-case letters, digits, '.', '_', '-')",
	Names:     "names separated by commas",
	Address:   "an IP number and a port, such as 127.0.0.1:8080",
	Addresses: "addresses (IP number and port) separated by commas",
	Digests:   "SHA-256 sums in lower-case hexadecimal separated by commas",
	Versions:  "name@version items separated by commas",
	Version:   "a version (lower-case letters, digits, '.', '_', '-')",
}

// Expected says what a right value is, range included.
func (k *Key) Expected() string {
	text := examples[k.Type]
	if k.Type == Choice {
		text = "one of " + strings.Join(k.Choices, ", ")
	}
	if k.Unit != "" {
		text += " of " + k.Unit
	}
	if k.Refers != "" {
		text += fmt.Sprintf(" of a [%s] section", k.Refers)
	}
	if k.Min != "" {
		text += fmt.Sprintf(", from %s to %s", k.Min, k.Max)
	}
	return text
}
