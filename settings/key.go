package settings

import (
	"fmt"
	"slices"
	"strings"
)

// Key defines a settings key: its type and range, the sections in which it is allowed, and its
// documentation.
type Key struct {
	Name string
	Type Type
	// Unit is what a number without a unit counts, such as tokens. It is used only in problems and
	// documentation.
	Unit string
	// Min and Max are the inclusive bounds of the value; empty means unbounded.
	Min, Max string
	// Default is the built-in value; empty means none.
	Default string
	// Choices lists the allowed values of a Choice.
	Choices []string
	// Kinds lists the kinds of section in which the key is allowed.
	Kinds []Kind
	// NotInherited marks a key that applies only to the section that sets it.
	NotInherited bool
	// AllZones marks a key that must not differ between zones.
	AllZones bool
	// Required marks a key that must be set.
	Required bool
	// References is the kind of section that a Name or Names value must refer to; empty means none.
	References Kind
	// Doc is the documentation of the key, in one line.
	Doc string
}

// Lookup returns the key with the name that is allowed in sections of the kind.
func Lookup(kind Kind, name string) (*Key, bool) {
	k, found := keyIndex[keyLocation{kind, name}]
	return k, found
}

// keyLocation identifies a key by its name and the kind of section.
type keyLocation struct {
	kind Kind
	name string
}

// keyIndex indexes the keys by location. Keys with the same name may have different meanings in
// different kinds of section, but a name is unique within a kind.
var keyIndex = buildKeyIndex()

func buildKeyIndex() map[keyLocation]*Key {
	index := map[keyLocation]*Key{}
	for i := range Keys {
		for _, kind := range Keys[i].Kinds {
			index[keyLocation{kind, Keys[i].Name}] = &Keys[i]
		}
	}
	return index
}

// defaultValues holds the parsed defaults.
var defaultValues = parseDefaults()

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

// KeysFor returns the keys that are allowed in sections of the kind, in the order of Keys.
func KeysFor(kind Kind) []*Key {
	var out []*Key
	for i := range Keys {
		if slices.Contains(Keys[i].Kinds, kind) {
			out = append(out, &Keys[i])
		}
	}
	return out
}

// typeDescriptions describes the valid values of each type except Choice.
var typeDescriptions = map[Type]string{
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

// Expected describes the valid values of the key, including the range.
func (k *Key) Expected() string {
	text := typeDescriptions[k.Type]
	if k.Type == Choice {
		text = "one of " + strings.Join(k.Choices, ", ")
	}
	if k.Unit != "" {
		text += " of " + k.Unit
	}
	if k.References != "" {
		text += fmt.Sprintf(" of a [%s] section", k.References)
	}
	if k.Min != "" {
		text += fmt.Sprintf(", from %s to %s", k.Min, k.Max)
	}
	return text
}
