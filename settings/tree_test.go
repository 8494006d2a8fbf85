package settings

import (
	"errors"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func exampleTree(t testing.TB) []byte {
	t.Helper()
	text, err := os.ReadFile("testdata/kliko.ini")
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func mustTree(t testing.TB, text string) *Tree {
	t.Helper()
	tree, err := ParseTree("tree.ini", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return tree
}

func TestInheritanceOrder(t *testing.T) {
	// Each layer adds the next more specific section; the value must come from the last one.
	layers := []string{
		"[zone \"a\"]\nregion = r\n[region \"r\"]\n[pool \"top\"]\n[pool \"p\"]\nparent = top\n",
		"[defaults]\nretry-attempts = 2\n",
		"[region \"r\"]\nretry-attempts = 4\n",
		"[zone \"a\"]\nregion = r\nretry-attempts = 5\n",
		"[pool \"top\"]\nretry-attempts = 6\n",
		"[pool \"top\" zone \"a\"]\nretry-attempts = 7\n",
		"[pool \"p\"]\nparent = top\nretry-attempts = 8\n",
		"[pool \"p\" zone \"a\"]\nretry-attempts = 9\n",
	}
	want := []string{"3 built-in", "2 [defaults]", `4 [region "r"]`, `5 [zone "a"]`, `6 [pool "top"]`, `7 [pool "top" zone "a"]`, `8 [pool "p"]`, `9 [pool "p" zone "a"]`}
	text := []byte(layers[0])
	scope := Section{Kind: PoolKind, Name: "p", Zone: "a"}
	for i, layer := range layers {
		changes, err := Diff(nil, []byte(layer))
		if err != nil {
			t.Fatal(err)
		}
		if text, err = Apply(text, changes); err != nil {
			t.Fatal(err)
		}
		tree := mustTree(t, string(text))
		v, origin, err := tree.Effective(scope, "retry-attempts")
		if err != nil {
			t.Fatal(err)
		}
		if got := v.Text() + " " + origin.String(); got != want[i] {
			t.Errorf("after layer %d: got %s, want %s", i, got, want[i])
		}
		p, _ := tree.Pool("p")
		if p.ForZone("a").Retry.Attempts != int(v.Int()) {
			t.Errorf("after layer %d: typed value %d, Effective returned %d", i, p.ForZone("a").Retry.Attempts, v.Int())
		}
	}
}

func TestTypedValues(t *testing.T) {
	tree := mustTree(t, string(exampleTree(t)))
	language, _ := tree.Pool("language")
	slots, _ := tree.Service("slots")
	engine1, _ := tree.Endpoint("engine-1")
	engine2, _ := tree.Endpoint("engine-2")
	model, _ := tree.Model("permit-7b")
	org, found := tree.OrganisationOf("secret")
	rows := []struct {
		name      string
		got, want any
	}{
		{"parent's value", language.ForZone("a").Retry.Budget, 0.2},
		{"own value in general", language.ForZone("a").Roles.MaxUnavailable, 2},
		{"own value in a zone", language.ForZone("b").Roles.MaxUnavailable, 1},
		{"zone's value", language.ForZone("b").Ejection.Share, 0.1},
		{"region's value", language.ForZone("c").Spill.Margin, 300 * time.Millisecond},
		{"built-in in base unit", language.ForZone("a").Roles.ChangeBudget, 2.0 / 60},
		{"microseconds", language.ForZone("a").Roles.DecodeStepSequence, 150 * time.Microsecond},
		{"list", language.Settings.Models, []string{"permit-7b", "chat-3b"}},
		{"service", slots.ForZone("a").ClaimRetention, 48 * time.Hour},
		{"fencing set", engine1.Fencing, FencingChecked},
		{"fencing unset", engine2.Fencing, FencingIgnored},
		{"vm defaults to the name", engine2.VM, "engine-2"},
		{"adapters", model.Adapters, []Adapter{{"brabant", "4"}, {"gelderland", "2"}}},
		{"organisation by key", found && org.Name == "kliko", true},
		{"organisation inherits", org.Concurrency, 20},
		{"fleet", tree.Fleet().FetchBudget, float64(200 << 20)},
	}
	for _, r := range rows {
		if diff := cmp.Diff(r.want, r.got); diff != "" {
			t.Errorf("%s: (-want +got)\n%s", r.name, diff)
		}
	}
	if _, found := tree.OrganisationOf("wrong"); found {
		t.Error("a wrong key found an organisation")
	}
}

func TestInvalidTrees(t *testing.T) {
	head := "[zone \"a\"]\n[pool \"p\"]\n[model \"m\"]\nversion = 1\n"
	rows := []struct{ text, want string }{
		{"[pol \"x\"]", `tree.ini:5: [pol "x"] unknown-section: no such kind of section here; want one of defaults, region, zone, pool, service, endpoint, organisation, model`},
		{"[process]\nvm = x", `tree.ini:5: [process] unknown-section: no such kind of section here; want one of defaults, region, zone, pool, service, endpoint, organisation, model`},
		{"[pool]", "tree.ini:5: [pool] unknown-section: not a section header; want"},
		{"[model \"M\"]", "not a section header"},
		{"[defaults]\nretry-bugdet = 5%", "tree.ini:6: [defaults] retry-bugdet: unknown-key: no such key; want perhaps retry-budget"},
		{"[defaults]\nmax-away = 5\n[organisation \"o\"]\nmax-away = 2", `tree.ini:8: [organisation "o"] max-away: misplaced-key: the key does not belong here; want it in a section of kind defaults, region, zone, pool`},
		{"[service \"s\"]\n[service \"s\" zone \"a\"]\nrepeatable = yes", `tree.ini:7: [service "s" zone "a"] repeatable: misplaced-key`},
		{"[defaults]\neject-time = 5", `tree.ini:6: [defaults] eject-time: bad-value: "5"; want a duration with its unit (us, ms, s, m, h), such as 250ms, from 100ms to 10m`},
		{"[defaults]\neject-time = 5 s", "bad-value"},
		{"[defaults]\neject-time = NaNs", "bad-value"},
		{"[defaults]\nretry-budget = 0.1", `bad-value: "0.1"; want a percentage with %, such as 20%, from 0% to 100%`},
		{"[defaults]\nretry-budget = 101%", `out-of-range: "101%"; want a percentage`},
		{"[defaults]\nretry-attempts = 2.5", "bad-value"},
		{"[defaults]\nspill = true", `bad-value: "true"; want yes or no`},
		{"[defaults]\nspill =", `bad-value: ""; want yes or no`},
		{"[defaults]\nfencing = maybe", `want one of checked, ignored`},
		{"[defaults]\nspill = yes\n\nspill = no", "tree.ini:8: [defaults] spill: duplicate-key: the key stands already at line 6; want each key once"},
		{"[pool \"p\"]", `tree.ini:5: [pool "p"] duplicate-section: the section stands already at line 2`},
		{"[pool \"q\"]\nparent = gone", `tree.ini:6: [pool "q"] parent: dangling: there is no [pool "gone"]; want a pool such as p, q`},
		{"[pool \"p\" zone \"z\"]", `tree.ini:5: [pool "p" zone "z"] dangling: there is no [zone "z"]`},
		{"[pool \"q\"]\nmodels = m, n", `dangling: there is no [model "n"]`},
		{"[pool \"q\"]\nparent = r\n[pool \"r\"]\nparent = q", `tree.ini:8: [pool "r"] parent: cycle: r -> q -> r; want a chain that ends`},
		{"[endpoint \"e\"]\nzone = a\naddress = 127.0.0.1:1", "exactly one of pool and service"},
		{"[endpoint \"e\"]\npool = p\naddress = 127.0.0.1:1", `tree.ini:5: [endpoint "e"] zone: missing-key`},
		{"[endpoint \"e\"]\npool = p\nzone = a\naddress = host:1", "want an IP number and a port"},
		{"[endpoint \"e\"]\npool = p\nzone = a\naddress = 127.0.0.1:1\n[endpoint \"f\"]\npool = p\nzone = a\naddress = 127.0.0.1:1", `clash: 127.0.0.1:1 stands also in [endpoint "e"]`},
		{"[zone \"b\"]\n[endpoint \"e\"]\npool = p\nzone = a\naddress = 127.0.0.1:1\nreplace-by = f\n[endpoint \"f\"]\npool = p\nzone = b\naddress = 127.0.0.1:2", `replace-by: clash: f belongs to [pool "p" zone "b"]; want an endpoint of [pool "p" zone "a"]`},
		{"[endpoint \"e\"]\npool = p\nzone = a\naddress = 127.0.0.1:1\nreplace-by = e", "replace-by: cycle: e -> e"},
		{"[pool \"q\"]\neject-time-limit = 1s", `tree.ini:6: [pool "q"] eject-time-limit: clash: eject-time = 2s (built-in) and eject-time-limit = 1s ([pool "q"]) for [pool "q"]; want eject-time at most eject-time-limit`},
		{"[region \"r\"]\n[zone \"b\"]\neject-time = 10s\n[pool \"q\"]\neject-time-limit = 5s", `for [pool "q" zone "b"]`},
		{"[organisation \"o\"]\nkey-hashes = abc", "want SHA-256 sums"},
		{"[defaults\nspill = yes", "tree.ini:5: bad-syntax"},
		{"[defaults]\nspill", "tree.ini:6: [defaults] bad-syntax: spill; want key = value"},
		{"[defaults]\nspill = \"\"\"yes", "want a value on one line"},
	}
	for _, r := range rows {
		_, err := ParseTree("tree.ini", []byte(head+r.text+"\n"))
		var invalid *InvalidError
		if !errors.As(err, &invalid) {
			t.Errorf("%q: got %v, want *InvalidError", r.text, err)
			continue
		}
		if !strings.Contains(err.Error(), r.want) {
			t.Errorf("%q:\n got %s\nwant %s", r.text, err, r.want)
		}
	}
}

func TestEveryProblemIsReported(t *testing.T) {
	text := "spill = no\n[defaults]\nspill = maybe\nbogus = 1\n[pool \"p\"]\nparent = q\n"
	_, err := ParseTree("t", []byte(text))
	var invalid *InvalidError
	if !errors.As(err, &invalid) {
		t.Fatal(err)
	}
	var got []string
	for _, p := range invalid.Problems {
		got = append(got, string(p.Fault))
	}
	want := []string{"bad-syntax", "bad-value", "unknown-key", "dangling"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("(-want +got)\n%s", diff)
	}
}

// TestRegistry checks that the definitions in Keys are complete, that their defaults are valid, and
// that every key has a field in the typed structs and vice versa.
func TestRegistry(t *testing.T) {
	for i := range Keys {
		k := &Keys[i]
		for _, text := range []string{k.Default, k.Min, k.Max} {
			if text == "" {
				continue
			}
			v, ok := k.Parse(text)
			if !ok || !k.InRange(v) {
				t.Errorf("%s: %q is not a valid value of the key", k.Name, text)
			}
		}
		if k.Doc == "" || len(k.Kinds) == 0 || (k.Min == "") != (k.Max == "") || parsers[k.Type] == nil {
			t.Errorf("%s: incomplete", k.Name)
		}
		for _, kind := range k.Kinds {
			if found, _ := Lookup(kind, k.Name); found != k {
				t.Errorf("%s is defined twice for kind %s", k.Name, kind)
			}
		}
	}
	used := map[keyLocation]bool{{ModelKind, "adapters"}: true}
	checkTags(t, used, reflect.TypeFor[FleetSettings](), Defaults)
	checkTags(t, used, reflect.TypeFor[Zone](), ZoneKind)
	checkTags(t, used, reflect.TypeFor[Pool](), PoolKind)
	checkTags(t, used, reflect.TypeFor[Service](), ServiceKind)
	checkTags(t, used, reflect.TypeFor[Endpoint](), EndpointKind)
	checkTags(t, used, reflect.TypeFor[Organisation](), OrgKind)
	checkTags(t, used, reflect.TypeFor[Model](), ModelKind)
	checkTags(t, used, reflect.TypeFor[Process](), EntryKind)
	checkTags(t, used, reflect.TypeFor[Process](), ControllerKind)
	checkTags(t, used, reflect.TypeFor[Gateway](), GatewayKind)
	for _, k := range Keys {
		last := k.Kinds[len(k.Kinds)-1]
		if !used[keyLocation{last, k.Name}] {
			t.Errorf("no struct field for key %s of [%s]", k.Name, last)
		}
	}
}

// checkTags checks that a structure's key tags name keys of the kind, and records them in used.
func checkTags(t *testing.T, used map[keyLocation]bool, structure reflect.Type, kind Kind) {
	for i := range structure.NumField() {
		field := structure.Field(i)
		name, found := field.Tag.Lookup("key")
		if _, known := Lookup(kind, name); found && !known && structure != reflect.TypeFor[Process]() {
			t.Errorf("%s.%s: no key %s for [%s]", structure.Name(), field.Name, name, kind)
		}
		used[keyLocation{kind, name}] = true
		if !found && field.Type.Kind() == reflect.Struct {
			checkTags(t, used, field.Type, kind)
		}
	}
}
