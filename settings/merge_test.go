package settings

import (
	"errors"
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

const mergeBase = `# head
[defaults]
spill = yes   ; keep
# about queues
queue-limit = 10

# the first pool
[pool "p"]
floor = 2
max-away = 1

[pool "q"]
floor = 3
`

func TestMergeKeepsLayoutAndBothChanges(t *testing.T) {
	mine := strings.Replace(mergeBase, "spill = yes", "spill = no", 1)
	mine = strings.Replace(mine, "max-away = 1\n", "", 1) + "\n# a new one\n[pool \"r\"]\nfloor = 9 # nine\n"
	theirs := strings.Replace(mergeBase, "queue-limit = 10", "queue-limit=20", 1)
	theirs = strings.Replace(theirs, "floor = 2", "floor = 2\nfloor-decode = 4", 1)
	theirs = strings.Replace(theirs, "\n[pool \"q\"]\nfloor = 3\n", "", 1)
	merged, err := Merge([]byte(mergeBase), []byte(mine), []byte(theirs))
	if err != nil {
		t.Fatal(err)
	}
	want := `# head
[defaults]
spill = no   ; keep
# about queues
queue-limit=20

# the first pool
[pool "p"]
floor = 2
floor-decode = 4

# a new one
[pool "r"]
floor = 9 # nine
`
	if diff := cmp.Diff(want, string(merged.Text)); diff != "" {
		t.Errorf("(-want +got)\n%s", diff)
	}
}

func TestMergeConflicts(t *testing.T) {
	sectionQ := "[pool \"q\"]\nfloor = 3\n"
	rows := []struct {
		name, mine, theirs string
		want               []string
	}{
		{"same key, other values", replace("floor = 2", "floor = 5"), replace("floor = 2", "floor = 6"), []string{`[pool "p"] floor: base 2, mine 5, theirs 6`}},
		{"same key, same value", replace("floor = 2", "floor = 5"), replace("floor = 2", "floor=5"), nil},
		{"set against removed", replace("floor = 2", "floor = 5"), replace("floor = 2\n", ""), []string{`[pool "p"] floor: base 2, mine 5, theirs (not set)`}},
		{"both add a key", replace("floor = 2", "floor = 2\nfloor-decode = 1"), replace("floor = 2", "floor = 2\nfloor-decode = 3"), []string{`[pool "p"] floor-decode: base (not set), mine 1, theirs 3`}},
		{"they remove the section", replace(sectionQ, sectionQ+"floor-decode = 1\n"), replace(sectionQ, ""), []string{`[pool "q"] floor-decode: base (not set), mine 1, theirs (not set)`}},
		{"I remove the section", replace(sectionQ, ""), replace("floor = 3", "floor = 4"), []string{`[pool "q"] floor: base 3, mine (not set), theirs 4`}},
		{"both remove the section", replace(sectionQ, ""), replace(sectionQ, ""), nil},
		{"both add a section", mergeBase + "[zone \"a\"]\nspill = no\n", mergeBase + "[zone \"a\"]\nspill = yes\n", []string{`[zone "a"] spill: base (not set), mine no, theirs yes`}},
	}
	for _, r := range rows {
		_, err := Merge([]byte(mergeBase), []byte(r.mine), []byte(r.theirs))
		var conflict *ConflictError
		var got []string
		if errors.As(err, &conflict) {
			got = strings.Split(conflict.Error(), "\n")
		} else if err != nil {
			t.Errorf("%s: %v", r.name, err)
		}
		if diff := cmp.Diff(r.want, got); diff != "" {
			t.Errorf("%s: (-want +got)\n%s", r.name, diff)
		}
	}
}

func replace(old, now string) string { return strings.Replace(mergeBase, old, now, 1) }

// TestMergeProperties compares Merge with a merge of plain maps: a merge must apply every change of
// both sides, and must conflict exactly if the sides changed a key to different values.
func TestMergeProperties(t *testing.T) {
	// A fixed seed makes the result reproducible.
	if err := flag.Set("rapid.seed", "1"); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		base := drawTexts(t, "base")
		mine, theirs := drawEdit(t, base, "mine"), drawEdit(t, base, "theirs")
		merged, err := Merge(render(base), render(mine), render(theirs))
		want, conflicted := mergeMaps(base, mine, theirs)
		var conflict *ConflictError
		if errors.As(err, &conflict) != conflicted {
			t.Fatalf("conflict %v, want %v", err, conflicted)
		}
		if conflicted {
			return
		}
		if err != nil {
			t.Fatal(err)
		}
		if changes, err := Diff(render(want), merged.Text); err != nil || len(changes) > 0 {
			t.Fatalf("merged differs: %v %v\n%s", changes, err, merged.Text)
		}
	})
}

type texts map[string]string

func drawTexts(t *rapid.T, name string) texts {
	key := rapid.Custom(func(t *rapid.T) string {
		return rapid.SampledFrom([]string{"p", "q", "r"}).Draw(t, "section") + "/" + rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "key")
	})
	return rapid.MapOf(key, rapid.SampledFrom([]string{"1", "2", "3"})).Draw(t, name)
}

func drawEdit(t *rapid.T, base texts, name string) texts {
	out := maps.Clone(base)
	for key, value := range drawTexts(t, name) {
		if value == "3" {
			delete(out, key)
			continue
		}
		out[key] = value
	}
	return out
}

// render renders every section, even if empty, so that only keys are added and removed.
func render(m texts) []byte {
	var b strings.Builder
	for _, s := range []string{"p", "q", "r"} {
		fmt.Fprintf(&b, "[pool %q]\n", s)
		for _, key := range slices.Sorted(maps.Keys(m)) {
			if section, name, _ := strings.Cut(key, "/"); section == s {
				fmt.Fprintf(&b, "%s = %s\n", name, m[key])
			}
		}
	}
	return []byte(b.String())
}

func mergeMaps(base, mine, theirs texts) (texts, bool) {
	out := maps.Clone(theirs)
	conflicted := false
	for _, s := range []string{"p", "q", "r"} {
		for _, k := range []string{"x", "y", "z"} {
			key := s + "/" + k
			if mine[key] == base[key] {
				continue
			}
			conflicted = conflicted || (theirs[key] != base[key] && theirs[key] != mine[key])
			delete(out, key)
			if value, found := mine[key]; found {
				out[key] = value
			}
		}
	}
	return out, conflicted
}

func TestApplyRejectsUnreadableValues(t *testing.T) {
	for _, value := range []string{"a\n[x]", "1 ; 2", "1 # 2", "`a", `"""`, " 1"} {
		_, err := Apply([]byte(mergeBase), []Change{{Section: Section{Kind: PoolKind, Name: "p"}, Key: "floor", New: &value}})
		var invalid *InvalidError
		if !errors.As(err, &invalid) {
			t.Errorf("%q: got %v", value, err)
		}
	}
}

func TestProcess(t *testing.T) {
	shared := "[process]\nvm = entry-1\nzone = a\nplatform = 127.0.0.1:7000\nlog-level = 1\n"
	rows := []struct{ name, text, want string }{
		{"own section overrides", shared + "[entry]\nlog-level = 4\ncallers = 127.0.0.1:8000\n[controller]\nlog-level = 2\n", ""},
		{"missing", "[process]\nvm = entry-1\nplatform = 127.0.0.1:1\n", "p.ini:1: [process] zone: missing-key: the key is not set; want a name"},
		{"no section at all", "", "p.ini:0: [process] vm: missing-key"},
		{"tree section", shared + "[defaults]\n", "p.ini:6: [defaults] unknown-section"},
		{"key of the other process", shared + "[controller]\ncallers = 127.0.0.1:8000\n", "p.ini:7: [controller] callers: misplaced-key: the key does not belong here; want it in a section of kind entry"},
		{"host name", shared + "[entry]\ncallers = localhost:8000\n", "want an IP number and a port"},
	}
	for _, r := range rows {
		p, err := ParseProcess("p.ini", []byte(r.text), EntryKind)
		if (err == nil) != (r.want == "") || (err != nil && !strings.Contains(err.Error(), r.want)) {
			t.Errorf("%s: got %v, want %q", r.name, err, r.want)
		}
		if err == nil && (p.LogLevel != 4 || p.Callers != "127.0.0.1:8000" || p.Zone != "a" || p.Operators != "") {
			t.Errorf("%s: got %+v", r.name, p)
		}
	}
}
