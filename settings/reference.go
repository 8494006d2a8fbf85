package settings

import (
	"fmt"
	"strings"
)

const referenceHead = `# Settings reference

<!-- Written by springweirctl reference from settings.Groups; do not edit. -->

Settings are INI text: sections in brackets, ` + "`key = value`" + ` lines, and comments that
start with ` + "`#` or `;`" + ` (after a value, with a space before). A number always carries
its unit. An unknown key, a wrong unit, a value out of range, a duplicate or a
reference to nothing is refused with its line and what would be right; every
problem is listed, not only the first.

There are three kinds of text. The **process file** tells a process where it runs; its
sections are ` + "`[process]`, `[entry]` and `[controller]`" + `, and the latter two
override what they name. The **gateway file**, with the one section ` + "`[gateway]`" + `, holds what
a gateway is told beside the platform's own file. The **tree** is what operators edit
through springweirctl.

## Inheritance

The nearest section that names a key wins:

| for | looked up in this order |
|---|---|
| an endpoint | ` + "`[endpoint \"e\"]`" + `, then as its pool or service in its zone |
| a pool or service in a zone | ` + "`[pool \"p\" zone \"z\"]`, `[pool \"p\"]`, the same two of each parent in turn, `[zone \"z\"]`, `[region \"r\"]` of the zone, `[defaults]`" + `, built-in |
| an organisation | ` + "`[organisation \"o\"]`, its parents in turn, `[defaults]`" + `, built-in |

A pool's own value thus wins over its parent's value, also where the parent's stands
for one zone. Keys marked *own* are not inherited.
` + "`springweirctl config get --effective --explain SECTION`" + ` shows where each value comes from.
`

// Reference returns the reference page of all keys, in Markdown.
func Reference() string {
	var b strings.Builder
	b.WriteString(referenceHead)
	for _, g := range Groups {
		fmt.Fprintf(&b, "\n## %s\n\n| key | value | default | sections | meaning |\n|---|---|---|---|---|\n", g.Title)
		for i := range g.Keys {
			b.WriteString(referenceRow(&g.Keys[i]))
		}
	}
	return b.String()
}

func referenceRow(k *Key) string {
	def := "unset"
	switch {
	case k.Default != "":
		def = "`" + k.Default + "`"
	case k.Required:
		def = "required"
	}
	places := joinKinds(k.Kinds)
	switch {
	case k.NotInherited:
		places += " (own)"
	case k.AllZones:
		places += " (same in all zones)"
	}
	return fmt.Sprintf("| `%s` | %s | %s | %s | %s |\n", k.Name, k.Expected(), def, places, k.Doc)
}
