package poison

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/loadshare/sharepb"
	"github.com/springweir/springweir/prompt"
	"github.com/springweir/springweir/relay"
	"github.com/springweir/springweir/table"
)

func partKey(name rune) Key { return PartKey("m", string(name)) }

// suspectsWithParts parses suspects, separated by spaces: a lower-case letter names the request, followed by
// the digits that name its parts. A capital letter is a request that had emitted events.
func suspectsWithParts(text string) []Suspect {
	var list []Suspect
	for _, field := range strings.Fields(text) {
		s := suspectsNamed(field[:1])[0]
		for _, part := range field[1:] {
			s.Parts = append(s.Parts, SuspectPart{Key: partKey(part), ID: string(part)})
		}
		list = append(list, s)
	}
	return list
}

// quarantinedAfter records the crash of one endpoint and returns the names of the requests and parts that are
// quarantined then.
func (l *testLedger) quarantinedAfter(id uint64, suspects string) string {
	if delay := l.RecordCrash(Crash{ID: id, Suspects: suspectsWithParts(suspects)}); delay > 0 {
		l.advance(delay)
	}
	var names []string
	for _, e := range l.Evaluate() {
		for c := 'a'; c <= 'z'; c++ {
			if e.Subject == (Subject{Key: key(string(c))}) {
				names = append(names, string(c))
			}
		}
		for c := '0'; c <= '9'; c++ {
			if e.Subject == (Subject{Key: partKey(c), Part: true}) {
				names = append(names, string(c))
			}
		}
	}
	slices.Sort(names)
	return strings.Join(names, "")
}

// Each crash is given by the requests that were running on the endpoint and their parts. "+1" is a complete
// answer on part 1 instead.
func TestPartAttribution(t *testing.T) {
	for _, tc := range []struct {
		name   string
		events []string
		// want lists what is quarantined after each event.
		want []string
	}{
		{"different requests with one part", []string{"a1", "b1", "c1"}, []string{"", "", "1"}},
		{"requests that are tried twice", []string{"a1", "a1", "b1"}, []string{"", "", "1"}},
		{"beside other parts and requests", []string{"a12 x3", "b14 y", "c15 z3"}, []string{"", "", "1"}},
		{"beside requests that had emitted events", []string{"a1 X2", "b1 X2 Y3", "c1 Z2"}, []string{"", "", "1"}},
		{"a request that crashes endpoints whatever its parts", []string{"a1", "a1", "a1"}, []string{"", "", "a"}},
		{"such a request, and one with the same part beside another", []string{"a1", "a1", "a1", "b1 c2", "d2"}, []string{"", "", "a", "", ""}},
		{"a request is quarantined before others come with its part", []string{"a1", "a1", "a1", "b1", "b1"}, []string{"", "", "a", "", "1"}},
		{"a part that was answered meanwhile", []string{"a1", "b1", "+1", "c1", "d1"}, []string{"", "", "", "", ""}},
		{"it crashes endpoints after that", []string{"a1", "+1", "b1", "c1", "d1"}, []string{"", "", "", "", "1"}},
		{"two parts that always come together", []string{"a12", "b12", "c12", "d12"}, []string{"", "", "", "12"}},
		{"the fourth crash tells two parts apart", []string{"a12", "b12", "c12", "d1"}, []string{"", "", "", "1"}},
		{"two harmful parts", []string{"a1", "b2", "c1", "d2", "e1", "f2"}, []string{"", "", "", "", "1", "2"}},
		{"an innocent request at each crash", []string{"a1 x", "b1 x", "c1 x", "d1"}, []string{"", "", "", "1"}},
		{"unrelated crashes", []string{"a1", "b2", "c3", "d4", "e5"}, []string{"", "", "", "", ""}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := newTestLedger()
			for i, event := range tc.events {
				got := ""
				if part, answered := strings.CutPrefix(event, "+"); answered {
					l.ClearPart(partKey(rune(part[0])))
				} else {
					got = l.quarantinedAfter(uint64(i+1), event)
				}
				if got != tc.want[i] {
					t.Errorf("after event %d (%s): %q quarantined, want %q", i+1, event, got, tc.want[i])
				}
				l.advance(time.Second)
			}
		})
	}
}

// A request is refused because of its part, and requests without the part are not.
func TestStatusOfParts(t *testing.T) {
	l := newTestLedger()
	for i, suspects := range []string{"a12", "b13", "c14"} {
		l.quarantinedAfter(uint64(i+1), suspects)
	}
	for _, tc := range []struct {
		parts string
		want  Status
	}{{"1", Quarantined}, {"91", Quarantined}, {"", Allowed}, {"2", Allowed}, {"234", Allowed}} {
		id := Identity{Key: key("new"), Origin: 9}
		for _, part := range tc.parts {
			id.Parts = append(id.Parts, partKey(part))
		}
		if got, _ := l.Status(id); got != tc.want {
			t.Errorf("status of a request with parts %q is %d, want %d", tc.parts, got, tc.want)
		}
	}
	if got := l.ClearPart(partKey('1')); len(got) != 1 {
		t.Errorf("an answer on the part cleared %v", got)
	}
	if got, _ := l.Status(Identity{Key: key("new"), Parts: []Key{partKey('1')}}); got != Allowed {
		t.Errorf("status %d after the part was answered, want Allowed", got)
	}
}

// A request with a suspected part is held back like a repetition of a suspect, by the key that all such
// requests share.
func TestSuspicionOfParts(t *testing.T) {
	l := newTestLedger()
	l.quarantinedAfter(1, "a1")
	l.quarantinedAfter(2, "b1")
	want := Evidence{Crashes: 2, Key: partKey('1')}
	if got := l.Suspicion(Identity{Key: key("c"), Origin: 'c', Parts: []Key{partKey('2'), partKey('1')}}); got != want {
		t.Errorf("evidence %+v, want %+v", got, want)
	}
	if got := l.Suspicion(Identity{Key: key("c"), Origin: 'c', Parts: []Key{partKey('2')}}); got != (Evidence{}) {
		t.Errorf("evidence %+v against a request without the part", got)
	}
}

// Answers on a part speak for it at crashes that occur together, and no longer once crashes go on without any
// further answer.
func TestAnswersExonerateParts(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, tc := range []struct {
		name string
		// answers and crashes are times since the start, in the order in which they occur.
		answers, crashes []time.Duration
		want             []bool
	}{
		{"never answered", nil, []time.Duration{0}, []bool{false}},
		{"answered before", []time.Duration{0}, []time.Duration{time.Second}, []bool{true}},
		{"answered long ago", []time.Duration{0}, []time.Duration{answeredRetention + 1}, []bool{false}},
		{"several crashes together", []time.Duration{0}, []time.Duration{1 * time.Second, 1100 * time.Millisecond, 2400 * time.Millisecond}, []bool{true, true, true}},
		{"crashes go on", []time.Duration{0}, []time.Duration{1 * time.Second, 2 * time.Second, 3 * time.Second, 4 * time.Second}, []bool{true, true, false, false}},
		{"an answer between crashes", []time.Duration{0, 2500 * time.Millisecond}, []time.Duration{1 * time.Second, 3 * time.Second, 4 * time.Second}, []bool{true, true, true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			a := newAnsweredParts()
			part, next := partKey('1'), 0
			for i, at := range tc.crashes {
				for ; next < len(tc.answers) && tc.answers[next] <= at; next++ {
					a.add([]Key{part}, start.Add(tc.answers[next]))
				}
				if got := a.exonerate(part, start.Add(at)); got != tc.want[i] {
					t.Errorf("crash %d: exonerated %v, want %v", i+1, got, tc.want[i])
				}
			}
		})
	}
}

// The parts that are remembered are bounded, and the oldest are dropped first.
func TestAnsweredPartsAreBounded(t *testing.T) {
	a, now := newAnsweredParts(), time.Unix(1000, 0)
	id := func(n int) Key { return PartKey("m", fmt.Sprint(n)) }
	for n := range 3 * maxAnsweredParts {
		a.add([]Key{id(n)}, now)
	}
	if len(a.parts.values) != maxAnsweredParts || len(a.parts.order) != maxAnsweredParts {
		t.Errorf("%d parts in %d places are remembered, want %d", len(a.parts.values), len(a.parts.order), maxAnsweredParts)
	}
	if a.exonerate(id(0), now) || !a.exonerate(id(3*maxAnsweredParts-1), now) {
		t.Error("the oldest part is remembered, or the newest is not")
	}
}

// A crash is announced in datagrams that fit, and another VM reads the same suspects and parts from them.
func TestCrashMessages(t *testing.T) {
	c := Crash{ID: 7}
	for n := range 100 {
		s := Suspect{Key: key(fmt.Sprint(n)), Origin: Origin(n + 1), Streaming: n%3 == 0}
		for p := range n % 4 {
			s.Parts = append(s.Parts, SuspectPart{Key: PartKey("m", fmt.Sprint(n/(1+p)))})
		}
		c.Suspects = append(c.Suspects, s)
	}
	got := Crash{ID: 7}
	for _, message := range crashMessages(c) {
		if n := proto.Size(message); n > 1300 {
			t.Errorf("a message has %d bytes", n)
		}
		got.Suspects = append(got.Suspects, crashOf(message).Suspects...)
	}
	if diff := cmp.Diff(c, got); diff != "" {
		t.Error(diff)
	}
	if list := crashMessages(Crash{ID: 7}); len(list) != 1 || len(list[0].Suspects) != 0 {
		t.Errorf("a crash without suspects is announced as %v", list)
	}
}

// What another VM sent in error is skipped.
func TestMalformedCrashMessage(t *testing.T) {
	good := key("a")
	c := crashOf(&sharepb.Crash{Id: 1, Parts: [][]byte{[]byte("short")}, Suspects: []*sharepb.Suspect{
		{Key: []byte("short")}, {Key: good[:], Parts: []uint32{0, 1, 4_000_000_000}},
	}})
	if want := (Crash{ID: 1, Suspects: []Suspect{{Key: good, Origin: 1}}}); !cmp.Equal(c, want) {
		t.Errorf("decoded %+v, want %+v", c, want)
	}
}

func TestParsePartSubject(t *testing.T) {
	part := Subject{Key: partKey('1'), Part: true}
	if got, err := ParseSubject(part.String()); err != nil || got != part {
		t.Errorf("%v is parsed as %v, %v", part, got, err)
	}
	for _, text := range []string{"part-", "part-00", "part-" + part.Key.String() + "@1", part.String() + "0"} {
		if got, err := ParseSubject(text); err == nil {
			t.Errorf("%q is parsed as %v", text, got)
		}
	}
}

// promptRequest returns a generation request with shared parts, one letter each, and one of its own.
func promptRequest(id, parts string) *relay.Request {
	r := request("1.2.3.4", id, "body of "+id)
	r.Prompt = &prompt.Prompt{Model: "m"}
	for _, part := range parts + "!" {
		name := string(part)
		if part == '!' {
			name = id
		}
		r.Prompt.Parts = append(r.Prompt.Parts, prompt.Part{ID: name, Tokens: 10})
	}
	return r
}

// refusesPart reports whether a VM refuses requests with a part.
func refusesPart(v *testVM, parts string) bool {
	_, failed := v.Check(promptRequest("probe-"+v.name, parts))
	return failed != nil && failed.Code == failure.PartCrashesEndpoints
}

// A part that crashes endpoints is refused by every VM in time, whichever fault occurs while that is found out,
// although each VM saw one crash only.
func TestQuarantinedPartReachesEveryVM(t *testing.T) {
	const allowed = 3 * time.Second
	for _, tc := range []struct {
		name string
		// between is called after each crash, with its number.
		between func(r *testRegion, n int)
	}{
		{"none", func(*testRegion, int) {}},
		{"each VM dies after its crash is announced", func(r *testRegion, n int) {
			time.Sleep(broadcastDelay)
			r.kill(r.vms[fmt.Sprint("vm", n)])
		}},
		{"a VM starts afterwards", func(r *testRegion, n int) {
			if n == quarantineThreshold-1 {
				time.Sleep(time.Second)
				r.start("vm9")
			}
		}},
		{"a VM is partitioned meanwhile", func(r *testRegion, n int) { r.vms["vm4"].partitioned = n < quarantineThreshold-1 }},
		{"the store is unavailable", func(r *testRegion, _ int) { r.store.SetDown(true) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newTestRegion(t, 5)
				defer r.stopAll()
				time.Sleep(time.Second)
				r.run(r.vms["vm3"], promptRequest("sound", "s1"), r.endpoints(1)[0], 100*time.Millisecond)
				for n, e := range r.endpoints(quarantineThreshold) {
					q := promptRequest(fmt.Sprint("bad", n), fmt.Sprint("s", "p", n))
					r.addPoison(string(q.Body))
					r.run(r.vms[fmt.Sprint("vm", n)], q, e, time.Second)
					tc.between(r, n)
				}
				time.Sleep(allowed)
				for name, v := range r.vms {
					if !refusesPart(v, "p") || !refusesPart(v, "xp") {
						t.Errorf("%s does not refuse the part", name)
					}
					if refusesPart(v, "s") || refusesPart(v, "12") {
						t.Errorf("%s refuses parts that requests with the harmful one also have", name)
					}
				}
			})
		})
	}
}

// An answer on any VM speaks for a part at a crash that another VM reports.
func TestAnswerOnOtherVMExoneratesPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRegion(t, 3)
		defer r.stopAll()
		r.run(r.vms["vm2"], promptRequest("sound", "s"), r.endpoints(1)[0], 100*time.Millisecond)
		for n, e := range r.endpoints(4) { // a rack is lost
			q := promptRequest(fmt.Sprint("unlucky", n), "s")
			time.AfterFunc(50*time.Millisecond, func() { r.crash(e) })
			go r.run(r.vms[fmt.Sprint("vm", n%2)], q, e, time.Second)
		}
		time.Sleep(3 * time.Second)
		for name, v := range r.vms {
			if refusesPart(v, "s") {
				t.Errorf("%s refuses a part that another VM had answered", name)
			}
		}
	})
}

// A quarantined part that is answered after all, by a run that was in progress, is free on all VMs.
func TestAnsweredPartIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRegion(t, 3)
		defer r.stopAll()
		go r.run(r.vms["vm1"], promptRequest("slow", "p"), r.endpoints(1)[0], 10*time.Second)
		for n, e := range r.endpoints(quarantineThreshold) {
			q := promptRequest(fmt.Sprint("bad", n), "p")
			r.addPoison(string(q.Body))
			r.run(r.vms["vm0"], q, e, time.Second)
		}
		time.Sleep(3 * time.Second)
		if !refusesPart(r.vms["vm2"], "p") {
			t.Fatal("the part is not refused")
		}
		time.Sleep(10 * time.Second)
		for name, v := range r.vms {
			if refusesPart(v, "p") {
				t.Errorf("%s still refuses the part", name)
			}
		}
		if rows, _, err := r.store.List(t.Context(), Table); err != nil || len(rows) != 0 {
			t.Errorf("%d rows remain, %v", len(rows), err)
		}
	})
}

// TestGoldenPartRow fails if another build, or this one after an upgrade, no longer reads the row of a part.
func TestGoldenPartRow(t *testing.T) {
	want := Entry{Subject: Subject{Key: Key([]byte("0123456789abcdef")), Part: true}, Crashes: 3, Term: 10 * time.Minute}
	const row, value = "part-30313233343536373839616263646566", `{"crashes":3,"term-s":600}`
	if got := string(goldenRow(t, want)); got != "springweir-poison\n"+row+"\n"+value {
		t.Errorf("wrote %q", got)
	}
	e, err := decodeEntry(table.Row{Key: table.Key{Table: Table, Row: row}, Value: []byte(value)})
	if err != nil || e != want {
		t.Errorf("the row decodes to %+v (%v), want %+v", e, err, want)
	}
}

// Requests for different models share no part, whatever the ID.
func TestPartKeyDependsOnModel(t *testing.T) {
	if PartKey("m", "1") == PartKey("n", "1") || PartKey("m", "1") == PartKey("m", "2") || PartKey("ab", "c") == PartKey("a", "bc") {
		t.Error("different parts have the same key")
	}
}
