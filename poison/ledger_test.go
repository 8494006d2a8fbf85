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

// settleTime is how long news takes in these tests.
const settleTime = 100 * time.Millisecond

// book is a ledger on a clock that the test moves.
type book struct {
	*Ledger
	time time.Time
}

func newBook() *book {
	b := &book{time: time.Unix(1000, 0)}
	b.Ledger = NewLedger(func() time.Time { return b.time }, func() time.Duration { return settleTime })
	return b
}

func (b *book) pass(d time.Duration) { b.time = b.time.Add(d) }

func key(name string) Key { return KeyOf(request("caller", name, name)) }

// everyone is a request from any address.
func everyone(name string) Subject { return Subject{Key: key(name)} }

// there makes suspects of names; one in capitals had given events.
func there(names string) []Suspect {
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

// crash takes in a crash with the named requests and judges when that is due. It returns the
// names that were convicted.
func (b *book) crash(id uint64, names string) string {
	if wait := b.Crashed(Crash{ID: id, Suspects: there(names)}); wait > 0 {
		b.pass(wait)
	}
	return b.judged()
}

func (b *book) judged() string {
	text := ""
	for _, v := range b.Judge() {
		for c := 'a'; c <= 'z'; c++ {
			if key(string(c)) == v.Subject.Key && v.Subject.Origin == anyOrigin {
				text += string(c)
			}
		}
	}
	return text
}

// A letter is a request that was at work where an endpoint crashed; one in capitals had given
// events before.
func TestWhoIsToBlame(t *testing.T) {
	for _, tc := range []struct {
		name    string
		crashes []string
		// want are the requests convicted after each crash.
		want []string
	}{
		{"alone at three crashes", []string{"k", "k", "k"}, []string{"", "", "k"}},
		{"among others that change", []string{"kab", "kcd", "kef"}, []string{"", "", "k"}},
		{"among others that stream on, and follow it", []string{"kA", "kA", "kA"}, []string{"", "", "k"}},
		{"with one that follows it twice", []string{"ka", "ka", "kb"}, []string{"", "", "k"}},
		{"with one that follows it three times", []string{"ka", "ka", "ka", "k"}, []string{"", "", "", "k"}},
		{"with one that is always there", []string{"ka", "ka", "ka", "ka"}, []string{"", "", "", "both"}},
		{"in the middle of its own stream", []string{"K", "KA", "KB"}, []string{"", "", "k"}},
		{"two that crash endpoints by turns", []string{"ka", "ja", "kb", "jb", "kc", "jc"}, []string{"", "", "", "", "k", "j"}},
		{"two that crash endpoints together", []string{"kj", "kj", "k", "j", "j", "j"}, []string{"", "", "k", "", "", "j"}},
		{"crashes that nobody caused", []string{"ab", "cd", "ef", "gh", "ij"}, []string{"", "", "", "", ""}},
		{"crashes with nobody there", []string{"", "", ""}, []string{"", "", ""}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newBook()
			var got []string
			for i, names := range tc.crashes {
				got = append(got, b.crash(uint64(i), names))
			}
			if last := len(got) - 1; got[last] == "ka" || got[last] == "ak" {
				got[last] = "both"
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("convicted after each crash (-want +got):\n%s", diff)
			}
		})
	}
}

// VMs learn of the same crashes in different orders and in parts, and hold the same to blame.
func TestOrderOfNewsMakesNoDifference(t *testing.T) {
	accounts := []Crash{
		{ID: 1, Suspects: there("k")}, {ID: 1, Suspects: there("ab")}, {ID: 2, Suspects: there("ka")},
		{ID: 2, Suspects: there("C")}, {ID: 3, Suspects: there("kd")}, {ID: 3, Suspects: there("a")},
	}
	for seed := range uint64(50) {
		b := newBook()
		rng := rand.New(rand.NewPCG(seed, 0))
		rng.Shuffle(len(accounts), func(i, j int) { accounts[i], accounts[j] = accounts[j], accounts[i] })
		for _, c := range accounts {
			b.Crashed(c)
			b.pass(time.Millisecond)
		}
		b.pass(settleTime)
		// a was there as often as k: only the next crash tells them apart.
		if got := b.judged(); got != "" {
			t.Fatalf("seed %d: %q convicted although another was there as often", seed, got)
		}
		if got := b.crash(4, "k"); got != "k" {
			t.Fatalf("seed %d: %q convicted, want k", seed, got)
		}
	}
}

// A request is held back while the news of its third crash goes round, and refused after that;
// one that was only near it runs on.
func TestStanding(t *testing.T) {
	b := newBook()
	b.crash(1, "ka")
	b.crash(2, "kb")
	b.Crashed(Crash{ID: 3, Suspects: there("kc")})
	if got := b.Standing(key("k"), 'k'); got != Suspected {
		t.Errorf("while the news goes round it is %d, want suspected", got)
	}
	b.pass(settleTime)
	if got := b.judged(); got != "k" {
		t.Fatalf("convicted %q", got)
	}
	for name, want := range map[string]Standing{"k": Convicted, "a": Free, "b": Free, "c": Free, "d": Free} {
		if got := b.Standing(key(name), Origin(name[0])); got != want {
			t.Errorf("%s is %d, want %d", name, got, want)
		}
	}
	// What k is to blame for is not held against the others any more.
	b.crash(5, "a")
	if got := b.crash(6, "a"); got != "" {
		t.Errorf("%q convicted, after two crashes of its own", got)
	}
}

// A whole answer clears a request, before and after a verdict.
func TestWholeAnswerClears(t *testing.T) {
	b := newBook()
	b.crash(1, "a")
	b.crash(2, "a")
	if len(b.Clear(key("a"), 'a')) == 0 {
		t.Error("nothing was held against it")
	}
	if got := b.crash(3, "a"); got != "" {
		t.Errorf("%q convicted for crashes before its whole answer", got)
	}
	b.crash(4, "a")
	if got := b.crash(5, "a"); got != "a" {
		t.Errorf("%q convicted, want a", got)
	}
	if b.Clear(key("a"), 'a'); b.Standing(key("a"), 'a') != Free {
		t.Error("a verdict outlasts a whole answer")
	}
	if len(b.Clear(key("z"), 'z')) != 0 {
		t.Error("something was held against a request that did nothing")
	}
}

// After its term a request may run again. Its next crash convicts it at once, for twice as
// long; long after that it counts as new.
func TestTermsOfVerdicts(t *testing.T) {
	b := newBook()
	b.crash(1, "k")
	b.crash(2, "k")
	b.crash(3, "k")
	term := firstTerm
	for n := uint64(4); n < 12; n++ {
		b.pass(term - time.Second)
		if got := b.Served(); len(got) != 0 {
			t.Fatalf("served a second before its term of %v was over", term)
		}
		b.pass(time.Second)
		if got := b.Served(); len(got) != 1 || got[0] != everyone("k") {
			t.Fatalf("served %v after a term of %v", got, term)
		}
		b.Release(everyone("k"))
		if b.Standing(key("k"), 'k') != Free {
			t.Fatal("refused after its term")
		}
		if got := b.crash(n, "k"); got != "k" {
			t.Fatalf("%q convicted by the first crash after its term", got)
		}
		term = min(2*term, longestTerm)
	}
	b.pass(term)
	b.Release(everyone("k"))
	b.pass(longestTerm + time.Second)
	if got := b.crash(20, "k"); got != "" {
		t.Errorf("%q convicted by a single crash, hours after its term", got)
	}
}

// A verdict of another VM holds here, and what it explains is not held against others.
func TestVerdictOfAnotherVM(t *testing.T) {
	b := newBook()
	b.crash(1, "ka")
	b.crash(2, "ka")
	if !b.Convicted(Verdict{Subject: everyone("k"), Crashes: 3, Term: firstTerm}) {
		t.Error("the verdict is not new")
	}
	if b.Convicted(Verdict{Subject: everyone("k"), Crashes: 3, Term: firstTerm}) {
		t.Error("the same verdict is new again")
	}
	if got := b.crash(3, "a"); got != "" || b.Standing(key("k"), 'k') != Convicted {
		t.Errorf("%q convicted; k is %d", got, b.Standing(key("k"), 'k'))
	}
}

// Crashes that lie far apart do not add up.
func TestCrashesAreForgotten(t *testing.T) {
	b := newBook()
	for id := range uint64(6) {
		if got := b.crash(id, "a"); got != "" {
			t.Fatalf("%q convicted at crash %d", got, id)
		}
		b.pass(memoryOfSuspects/2 + time.Second)
	}
}

// A flood of requests that each crash an endpoint, by callers that never send the same twice,
// stays within bounds, and the memory of those that do is kept while they come.
func TestFloodIsBounded(t *testing.T) {
	b := newBook()
	for id := range uint64(20_000) {
		var k Key
		binary.BigEndian.PutUint64(k[:], id)
		b.Crashed(Crash{ID: id, Suspects: []Suspect{{Key: k, Origin: 1}, {Key: key("a"), Origin: 2, Streaming: true}}})
		b.pass(10 * time.Millisecond)
	}
	if len(b.crashes) > maxCrashes || len(b.suspects) > maxSuspects {
		t.Errorf("%d crashes and %d suspects are kept", len(b.crashes), len(b.suspects))
	}
	for id := range uint64(maxVerdicts + 10) {
		var k Key
		binary.BigEndian.PutUint64(k[8:], id+1)
		b.Convicted(Verdict{Subject: Subject{Key: k}, Crashes: 3, Term: firstTerm})
		b.pass(time.Millisecond)
	}
	if len(b.verdicts) > maxVerdicts {
		t.Errorf("%d verdicts are kept", len(b.verdicts))
	}
	if got := b.crash(1<<40, "k") + b.crash(1<<40+1, "k") + b.crash(1<<40+2, "k"); got != "k" {
		t.Errorf("in a flood %q is convicted, want k", got)
	}
}

// One crash reported with more requests than an endpoint works on stays within bounds.
func TestCrashWithManySuspectsIsBounded(t *testing.T) {
	b := newBook()
	var list []Suspect
	for i := range 10 * maxPerCrash {
		list = append(list, Suspect{Key: key(fmt.Sprint(i)), Origin: 1})
	}
	b.Crashed(Crash{ID: 1, Suspects: list})
	if len(b.suspects) > maxPerCrash {
		t.Errorf("%d suspects of one crash are kept", len(b.suspects))
	}
}

func BenchmarkCrashInAFlood(b *testing.B) {
	l := newBook()
	id := uint64(0)
	for b.Loop() {
		id++
		var list []Suspect
		for i := range uint64(24) {
			var k Key
			binary.BigEndian.PutUint64(k[:], id<<8|i)
			list = append(list, Suspect{Key: k, Origin: Origin(1 + i)})
		}
		l.Crashed(Crash{ID: id, Suspects: list})
		l.pass(time.Millisecond)
	}
}

// from makes suspects of letters with their origins, as in "k1a2".
func from(text string) []Suspect {
	var list []Suspect
	for i := 0; i+1 < len(text); i += 2 {
		list = append(list, Suspect{Key: key(text[i : i+1]), Origin: Origin(text[i+1]), Request: text[i : i+1]})
	}
	return list
}

// A letter is a request and a digit the address that it came from.
func TestWhoseRequestsAreRefused(t *testing.T) {
	for _, tc := range []struct {
		name    string
		crashes []string
		// refused and free are requests and where they come from.
		refused, free []string
	}{
		{"one that comes from other addresses each time", []string{"k1", "k2", "k3"}, []string{"k1", "k4"}, []string{"a1"}},
		{"one that comes from a single address", []string{"k1", "k1", "k1"}, []string{"k1", "k2"}, []string{"a1"}},
		{"one that is sent along with others that do the harm", []string{"v9x9", "v9y9", "v9z9"}, []string{"v9"}, []string{"v1", "x9"}},
		{"the same, beside innocents of other addresses", []string{"v9x9a1", "v9y9b2", "v9z9c3"}, []string{"v9"}, []string{"v1", "a1"}},
		{"one that is there alone often enough", []string{"k1a1", "k1", "k2", "k1"}, []string{"k1", "k7"}, []string{"a1"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newBook()
			for id, names := range tc.crashes {
				if wait := b.Crashed(Crash{ID: uint64(id), Suspects: from(names)}); wait > 0 {
					b.pass(wait)
				}
				b.Judge()
			}
			for want, list := range map[Standing][]string{Convicted: tc.refused, Free: tc.free} {
				for _, one := range list {
					if got := b.Standing(key(one[:1]), Origin(one[1])); got != want {
						t.Errorf("%s stands at %d, want %d", one, got, want)
					}
				}
			}
		})
	}
}

func TestSubjectsAreWrittenAndRead(t *testing.T) {
	for _, want := range []Subject{everyone("k"), {Key: key("k"), Origin: 1}, {Key: key("k"), Origin: 1<<32 - 1}} {
		if got, err := ParseSubject(want.String()); err != nil || got != want {
			t.Errorf("%s is read as %s, %v", want, got, err)
		}
	}
	for _, text := range []string{"", "zz", key("k").String() + "00", key("k").String() + "@", key("k").String() + "@0", key("k").String() + "@123456789"} {
		var malformed *RowError
		if _, err := ParseSubject(text); !errors.As(err, &malformed) {
			t.Errorf("%q is read without a RowError: %v", text, err)
		}
	}
}
