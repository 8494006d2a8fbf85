package poison

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// propagationTime is the propagation delay in these tests.
const propagationTime = 100 * time.Millisecond

// testLedger is a Ledger with a manual clock.
type testLedger struct {
	*Ledger
	time time.Time
}

func newTestLedger() *testLedger {
	l := &testLedger{time: time.Unix(1000, 0)}
	l.Ledger = NewLedger(func() time.Time { return l.time }, func() time.Duration { return propagationTime })
	return l
}

func (l *testLedger) advance(d time.Duration) { l.time = l.time.Add(d) }

func key(name string) Key { return KeyOf(request("caller", name, name)) }

// anyOriginSubject returns the subject of a request from any origin.
func anyOriginSubject(name string) Subject { return Subject{Key: key(name)} }

// suspectsNamed returns one suspect per letter. A capital letter is a request that had emitted
// events.
func suspectsNamed(names string) []Suspect {
	var list []Suspect
	for _, c := range names {
		name := string(c)
		streaming := c >= 'A' && c <= 'Z'
		if streaming {
			name = string(c - 'A' + 'a')
		}
		list = append(list, Suspect{Key: key(name), Origin: Origin(c), Request: name, Streaming: streaming})
	}
	return list
}

// recordAndEvaluate records a crash with the named suspects and evaluates it when that is due. It
// returns the names of the quarantined requests.
func (l *testLedger) recordAndEvaluate(id uint64, names string) string {
	if delay := l.RecordCrash(Crash{ID: id, Suspects: suspectsNamed(names)}); delay > 0 {
		l.advance(delay)
	}
	return l.evaluatedNames()
}

// evaluatedNames evaluates the suspects and returns the names of those quarantined for any origin.
func (l *testLedger) evaluatedNames() string {
	names := ""
	for _, e := range l.Evaluate() {
		for c := 'a'; c <= 'z'; c++ {
			if key(string(c)) == e.Subject.Key && e.Subject.Origin == anyOrigin {
				names += string(c)
			}
		}
	}
	return names
}

// Each crash is given by the requests that were running on the endpoint, one letter each; a capital
// letter is a request that had emitted events.
func TestCrashAttribution(t *testing.T) {
	for _, tc := range []struct {
		name    string
		crashes []string
		// want are the requests quarantined after each crash.
		want []string
	}{
		{"alone at three crashes", []string{"k", "k", "k"}, []string{"", "", "k"}},
		{"with different others each time", []string{"kab", "kcd", "kef"}, []string{"", "", "k"}},
		{"with the same streaming request each time", []string{"kA", "kA", "kA"}, []string{"", "", "k"}},
		{"with the same request at two of three crashes", []string{"ka", "ka", "kb"}, []string{"", "", "k"}},
		{"with the same request at three of four crashes", []string{"ka", "ka", "ka", "k"}, []string{"", "", "", "k"}},
		{"with the same request at all four crashes", []string{"ka", "ka", "ka", "ka"}, []string{"", "", "", "both"}},
		{"in the middle of its own stream", []string{"K", "KA", "KB"}, []string{"", "", "k"}},
		{"two harmful requests in turn", []string{"ka", "ja", "kb", "jb", "kc", "jc"}, []string{"", "", "", "", "k", "j"}},
		{"two harmful requests together", []string{"kj", "kj", "k", "j", "j", "j"}, []string{"", "", "k", "", "j", ""}},
		{"two harmful requests together at three crashes", []string{"kj", "kj", "kj", "k", "j", "j"}, []string{"", "", "", "k", "j", ""}},
		{"beside harmful requests in succession", []string{"ka", "ka", "k", "ja", "j", "j"}, []string{"", "", "k", "", "", "j"}},
		{"crashes without a common request", []string{"ab", "cd", "ef", "gh", "ij"}, []string{"", "", "", "", ""}},
		{"crashes without suspects", []string{"", "", ""}, []string{"", "", ""}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := newTestLedger()
			var got []string
			for i, names := range tc.crashes {
				got = append(got, l.recordAndEvaluate(uint64(i), names))
			}
			if last := len(got) - 1; got[last] == "ka" || got[last] == "ak" {
				got[last] = "both"
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("quarantined after each crash (-want +got):\n%s", diff)
			}
		})
	}
}

// The result does not depend on the order of the reports, nor on how the suspects of a crash are
// divided among them.
func TestReportOrderIsIrrelevant(t *testing.T) {
	reports := []Crash{
		{ID: 1, Suspects: suspectsNamed("k")}, {ID: 1, Suspects: suspectsNamed("ab")}, {ID: 2, Suspects: suspectsNamed("ka")},
		{ID: 2, Suspects: suspectsNamed("C")}, {ID: 3, Suspects: suspectsNamed("kd")}, {ID: 3, Suspects: suspectsNamed("a")},
	}
	for seed := range uint64(50) {
		l := newTestLedger()
		rng := rand.New(rand.NewPCG(seed, 0))
		rng.Shuffle(len(reports), func(i, j int) { reports[i], reports[j] = reports[j], reports[i] })
		for _, c := range reports {
			l.RecordCrash(c)
			l.advance(time.Millisecond)
		}
		l.advance(propagationTime)
		// a was present as often as k; only the next crash distinguishes them.
		if got := l.evaluatedNames(); got != "" {
			t.Fatalf("seed %d: %q quarantined although another request was present as often", seed, got)
		}
		if got := l.recordAndEvaluate(4, "k"); got != "k" {
			t.Fatalf("seed %d: %q quarantined, want k", seed, got)
		}
	}
}

// A request is suspected while the report of its third crash propagates and quarantined afterwards.
// Requests that were present at a single crash remain allowed.
func TestStatus(t *testing.T) {
	l := newTestLedger()
	l.recordAndEvaluate(1, "ka")
	l.recordAndEvaluate(2, "kb")
	l.RecordCrash(Crash{ID: 3, Suspects: suspectsNamed("kc")})
	if got := statusOf(l, key("k"), 'k'); got != Suspected {
		t.Errorf("status %d while the report propagates, want Suspected", got)
	}
	l.advance(propagationTime)
	if got := l.evaluatedNames(); got != "k" {
		t.Fatalf("%q quarantined, want k", got)
	}
	for name, want := range map[string]Status{"k": Quarantined, "a": Allowed, "b": Allowed, "c": Allowed, "d": Allowed} {
		if got := statusOf(l, key(name), Origin(name[0])); got != want {
			t.Errorf("status of %s is %d, want %d", name, got, want)
		}
	}
	// The crashes attributed to k no longer count against the others.
	l.recordAndEvaluate(5, "a")
	if got := l.recordAndEvaluate(6, "a"); got != "" {
		t.Errorf("%q quarantined after two crashes of its own", got)
	}
}

// A complete response clears a request, whether it is suspected or quarantined.
func TestCompleteResponseClears(t *testing.T) {
	l := newTestLedger()
	l.recordAndEvaluate(1, "a")
	l.recordAndEvaluate(2, "a")
	if len(l.Clear(key("a"), 'a')) == 0 {
		t.Error("Clear returned nothing for a suspect")
	}
	if got := l.recordAndEvaluate(3, "a"); got != "" {
		t.Errorf("%q quarantined for crashes before its complete response", got)
	}
	l.recordAndEvaluate(4, "a")
	if got := l.recordAndEvaluate(5, "a"); got != "a" {
		t.Errorf("%q quarantined, want a", got)
	}
	if l.Clear(key("a"), 'a'); statusOf(l, key("a"), 'a') != Allowed {
		t.Error("an entry remains after a complete response")
	}
	if len(l.Clear(key("z"), 'z')) != 0 {
		t.Error("Clear returned subjects of an unknown request")
	}
}

// After its term a request may run again. Its next crash quarantines it at once, for twice as long.
// The probation lasts as long as that next quarantine would.
func TestQuarantineTerms(t *testing.T) {
	l := newTestLedger()
	l.recordAndEvaluate(1, "k")
	l.recordAndEvaluate(2, "k")
	l.recordAndEvaluate(3, "k")
	term := initialTerm
	for n := uint64(4); n < 12; n++ {
		l.advance(term - time.Second)
		if got := l.Expired(); len(got) != 0 {
			t.Fatalf("expired a second before the end of its term of %v", term)
		}
		l.advance(time.Second)
		if got := l.Expired(); len(got) != 1 || got[0] != anyOriginSubject("k") {
			t.Fatalf("expired entries %v after a term of %v", got, term)
		}
		l.Release(anyOriginSubject("k"))
		if statusOf(l, key("k"), 'k') != Allowed {
			t.Fatal("not allowed after its term")
		}
		if got := l.recordAndEvaluate(n, "k"); got != "k" {
			t.Fatalf("%q quarantined by the first crash after its term, want k", got)
		}
		term = min(2*term, maxTerm)
	}
	l.advance(term)
	l.Release(anyOriginSubject("k"))
	l.advance(maxTerm + time.Second)
	if got := l.recordAndEvaluate(20, "k"); got != "" {
		t.Errorf("%q quarantined by a single crash, hours after its term", got)
	}
}

// An entry of another VM takes effect, and the crashes attributed by it do not count against other
// requests.
func TestEntryOfAnotherVM(t *testing.T) {
	l := newTestLedger()
	l.recordAndEvaluate(1, "ka")
	l.recordAndEvaluate(2, "ka")
	if !l.Add(Entry{Subject: anyOriginSubject("k"), Crashes: 3, Term: initialTerm}) {
		t.Error("the entry is not reported as new")
	}
	if l.Add(Entry{Subject: anyOriginSubject("k"), Crashes: 3, Term: initialTerm}) {
		t.Error("the same entry is reported as new again")
	}
	if got := l.recordAndEvaluate(3, "a"); got != "" || statusOf(l, key("k"), 'k') != Quarantined {
		t.Errorf("%q quarantined, want none; status of k is %d", got, statusOf(l, key("k"), 'k'))
	}
}

// Crashes further apart than suspectRetention do not add up.
func TestCrashesExpire(t *testing.T) {
	l := newTestLedger()
	for id := range uint64(6) {
		if got := l.recordAndEvaluate(id, "a"); got != "" {
			t.Fatalf("%q quarantined at crash %d", got, id)
		}
		l.advance(suspectRetention/2 + time.Second)
	}
}

// A flood of different requests that each crash an endpoint stays within the memory limits. A
// repeated request is still quarantined during the flood.
func TestFloodIsBounded(t *testing.T) {
	l := newTestLedger()
	for id := range uint64(20_000) {
		var k Key
		binary.BigEndian.PutUint64(k[:], id)
		l.RecordCrash(Crash{ID: id, Suspects: []Suspect{{Key: k, Origin: 1}, {Key: key("a"), Origin: 2, Streaming: true}}})
		l.advance(10 * time.Millisecond)
	}
	if len(l.crashes) > maxCrashes || len(l.suspects) > maxSuspects {
		t.Errorf("%d crashes and %d suspects are retained", len(l.crashes), len(l.suspects))
	}
	for id := range uint64(maxEntries + 10) {
		var k Key
		binary.BigEndian.PutUint64(k[8:], id+1)
		l.Add(Entry{Subject: Subject{Key: k}, Crashes: 3, Term: initialTerm})
		l.advance(time.Millisecond)
	}
	if len(l.entries) > maxEntries {
		t.Errorf("%d entries are retained", len(l.entries))
	}
	if got := l.recordAndEvaluate(1<<40, "k") + l.recordAndEvaluate(1<<40+1, "k") + l.recordAndEvaluate(1<<40+2, "k"); got != "k" {
		t.Errorf("%q quarantined during a flood, want k", got)
	}
}

// A crash reported with more suspects than an endpoint can run stays within the limit.
func TestCrashWithManySuspectsIsBounded(t *testing.T) {
	l := newTestLedger()
	var list []Suspect
	for i := range 10 * maxSubjectsPerCrash {
		list = append(list, Suspect{Key: key(fmt.Sprint(i)), Origin: 1})
	}
	l.RecordCrash(Crash{ID: 1, Suspects: list})
	if len(l.suspects) > maxSubjectsPerCrash {
		t.Errorf("%d suspects of one crash are retained", len(l.suspects))
	}
}

func BenchmarkRecordCrashInFlood(b *testing.B) {
	l := newTestLedger()
	id := uint64(0)
	for b.Loop() {
		id++
		var list []Suspect
		for i := range uint64(24) {
			var k Key
			binary.BigEndian.PutUint64(k[:], id<<8|i)
			list = append(list, Suspect{Key: k, Origin: Origin(1 + i)})
		}
		l.RecordCrash(Crash{ID: id, Suspects: list})
		l.advance(time.Millisecond)
	}
}

// suspectsFrom returns one suspect per pair of a letter and an origin, as in "k1a2".
func suspectsFrom(text string) []Suspect {
	var list []Suspect
	for i := 0; i+1 < len(text); i += 2 {
		list = append(list, Suspect{Key: key(text[i : i+1]), Origin: Origin(text[i+1]), Request: text[i : i+1]})
	}
	return list
}

// Each pair is a request and the origin that it came from.
func TestQuarantineByOrigin(t *testing.T) {
	for _, tc := range []struct {
		name    string
		crashes []string
		// quarantined and allowed are pairs of a request and an origin.
		quarantined, allowed []string
	}{
		{"from a different origin each time", []string{"k1", "k2", "k3"}, []string{"k1", "k4"}, []string{"a1"}},
		{"always from the same origin", []string{"k1", "k1", "k1"}, []string{"k1", "k2"}, []string{"a1"}},
		{"sent together with harmful requests of the same origin", []string{"v9x9", "v9y9", "v9z9"}, []string{"v9"}, []string{"v1", "x9"}},
		{"the same, with innocent requests of other origins", []string{"v9x9a1", "v9y9b2", "v9z9c3"}, []string{"v9"}, []string{"v1", "a1"}},
		{"with an innocent request at one crash", []string{"k1a1", "k1", "k2", "k1"}, []string{"k1", "k7"}, []string{"a1"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := newTestLedger()
			for id, names := range tc.crashes {
				if delay := l.RecordCrash(Crash{ID: uint64(id), Suspects: suspectsFrom(names)}); delay > 0 {
					l.advance(delay)
				}
				l.Evaluate()
			}
			for want, list := range map[Status][]string{Quarantined: tc.quarantined, Allowed: tc.allowed} {
				for _, pair := range list {
					if got := statusOf(l, key(pair[:1]), Origin(pair[1])); got != want {
						t.Errorf("status of %s is %d, want %d", pair, got, want)
					}
				}
			}
		})
	}
}

func TestSubjectRoundTrip(t *testing.T) {
	for _, want := range []Subject{anyOriginSubject("k"), {Key: key("k"), Origin: 1}, {Key: key("k"), Origin: 1<<32 - 1}} {
		if got, err := ParseSubject(want.String()); err != nil || got != want {
			t.Errorf("%s is parsed as %s, %v", want, got, err)
		}
	}
	for _, text := range []string{"", "zz", key("k").String() + "00", key("k").String() + "@", key("k").String() + "@0", key("k").String() + "@123456789"} {
		var malformed *RowError
		if _, err := ParseSubject(text); !errors.As(err, &malformed) {
			t.Errorf("ParseSubject(%q) returns no RowError: %v", text, err)
		}
	}
}

// statusOf returns the status of a request without parts.
func statusOf(l interface {
	Status(Identity) (Status, Subject)
}, k Key, origin Origin) Status {
	status, _ := l.Status(Identity{Key: k, Origin: origin})
	return status
}
