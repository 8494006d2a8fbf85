package routes

import "testing"

func testConfig() *Config {
	c := &Config{
		Version: 3,
		Routes: []Route{
			{Name: "root", Host: "h.example", Prefix: "/"},
			{Name: "a", Host: "H.example", Prefix: "/a/"},
			{Name: "ab", Host: "h.example", Prefix: "/a/b/"},
			{Name: "other", Host: "o.example", Prefix: "/a/"},
		},
		Services: []Service{{Name: "s"}},
	}
	c.Index()
	return c
}

func TestLookup(t *testing.T) {
	c := testConfig()
	for _, tc := range []struct{ host, path, want string }{
		{"h.example", "/a/b/c", "ab"},
		{"h.example", "/a/b", "a"},
		{"H.EXAMPLE", "/a/x", "a"},
		{"h.example", "/b", "root"},
		{"o.example", "/a/b/c", "other"},
		{"o.example", "/b", ""},
		{"unknown", "/a/", ""},
		{"h.example", "", ""},
	} {
		got := ""
		if r := c.Lookup(tc.host, tc.path); r != nil {
			got = r.Name
		}
		if got != tc.want {
			t.Errorf("%s%s is routed to %q, want %q", tc.host, tc.path, got, tc.want)
		}
	}
	if c.Service("s") == nil || c.Service("none") != nil {
		t.Error("Service does not find services by name")
	}
}

func TestServiceByWeight(t *testing.T) {
	r := Route{Targets: []Target{{"a", 90}, {"b", 10}, {"never", 0}}}
	for _, tc := range []struct {
		draw float64
		want string
	}{{0, "a"}, {0.89, "a"}, {0.91, "b"}, {0.999, "b"}} {
		if got := r.Service(tc.draw); got != tc.want {
			t.Errorf("draw %v selects %s, want %s", tc.draw, got, tc.want)
		}
	}
	only := Route{Targets: []Target{{"a", 0}}}
	if got := only.Service(0.5); got != "a" {
		t.Errorf("a single target without weight: selected %q, want a", got)
	}
}

func TestRepeatable(t *testing.T) {
	for _, tc := range []struct {
		r    Route
		want bool
	}{
		{Route{Kind: NonIdempotent}, false},
		{Route{Kind: Idempotent}, true},
		{Route{Kind: Stream}, false},
		{Route{Kind: Stream, Resumable: true}, true},
		{Route{Kind: NonIdempotent, Resumable: true}, false},
	} {
		if got := tc.r.Repeatable(); got != tc.want {
			t.Errorf("%+v: %v", tc.r, got)
		}
	}
}
