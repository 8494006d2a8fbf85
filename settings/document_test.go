package settings

import (
	"flag"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestScannerAgreesWithINILibrary parses random lines. Each must be a comment, have a problem, or
// be a key whose value is part of the line. A disagreement between the scanner and ini.v1 would
// lose a line or take a value from another line.
func TestScannerAgreesWithINILibrary(t *testing.T) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		t.Fatal(err)
	}
	fragment := rapid.SampledFrom([]string{"a", "key", "=", " ", "\t", "#", ";", "[", "]", `"`, "'", "`", `\`, "%(key)s", "[defaults]", "-", ":", "é", "1s"})
	rapid.Check(t, func(t *rapid.T) {
		var lines []string
		for i := range rapid.IntRange(0, 8).Draw(t, "lines") {
			line := strings.Join(rapid.SliceOfN(fragment, 0, 7).Draw(t, "line"), "")
			if rapid.Bool().Draw(t, "keyed") {
				line = fmt.Sprintf("k%d = %s", i, line)
			}
			lines = append(lines, line)
		}
		text := "[defaults]\n" + strings.Join(lines, "\n")
		d := parseDocument("t", []byte(text))
		accounted := map[int]bool{}
		for _, p := range d.problems {
			if p.Line == 0 {
				t.Fatalf("a problem without a line in %q: %v", text, p)
			}
			accounted[p.Line-1] = true
		}
		for _, b := range d.sections {
			accounted[b.line] = true
			for _, e := range b.entries {
				accounted[e.line] = true
				_, raw, _ := strings.Cut(d.lines[e.line].raw, "=")
				if !strings.Contains(raw, e.value) || (e.value == "" && hasValue(raw)) {
					t.Fatalf("%q: read %q", d.lines[e.line].raw, e.value)
				}
			}
		}
		for i, l := range d.lines {
			blank := strings.TrimSpace(l.raw) == "" || isComment(l.raw)
			if !blank && !accounted[i] && len(d.problems) == 0 {
				t.Fatalf("line %d of %q is lost", i+1, text)
			}
		}
	})
}

// hasValue reports whether the text after the = has anything other than quotes and comments.
func hasValue(raw string) bool {
	return strings.Trim(strings.TrimSpace(raw), `"'#; `+"\t") != "" && !isComment(raw)
}

// TestApplyDiff checks that applying the difference of two random documents to the first yields the
// second, including added and removed sections.
func TestApplyDiff(t *testing.T) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		from, to := renderUsed(drawTexts(t, "from")), renderUsed(drawTexts(t, "to"))
		changes, err := Diff(from, to)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Apply(from, changes)
		if err != nil {
			t.Fatal(err)
		}
		if rest, err := Diff(got, to); err != nil || len(rest) > 0 {
			t.Fatalf("left %v, %v\nfrom %s\nto %s\ngot %s", rest, err, from, to, got)
		}
	})
}

// renderUsed renders only the sections that have keys.
func renderUsed(m texts) []byte {
	var out []string
	for block := range strings.SplitSeq(string(render(m)), "[pool ") {
		if strings.Contains(block, "=") {
			out = append(out, "[pool "+block)
		}
	}
	return []byte(strings.Join(out, ""))
}
