package loadshare

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/springweir/springweir/freshness"
	"github.com/springweir/springweir/loadshare/sharepb"
)

// vm is an exchange without a socket, and the tracker that it fills.
type vm struct {
	*Exchange
	*freshness.Tracker
}

func newVM(name string) vm {
	tr := freshness.New(nil)
	tr.SetInForce(1)
	x := New(Config{VM: name, Zone: "z", Confirmation: tr.Newest, OnConfirmation: tr.Confirm, OnLoad: func(*sharepb.Load) {}})
	return vm{Exchange: x, Tracker: tr}
}

// tells returns a datagram of one VM to others.
func (v vm) tells(others ...string) *sharepb.Load {
	load := v.load(Report{}, ofVM)
	var to []Peer
	for _, name := range others {
		to = append(to, Peer{Name: name})
	}
	v.confirm(load, to)
	return load
}

func (v vm) age(t *testing.T) time.Duration {
	t.Helper()
	age, known := v.Age()
	if !known {
		t.Fatal("nothing is confirmed")
	}
	return age
}

// However long either way takes, or its VM stands still, a confirmation looks no younger than it is,
// and older only by what the question and its answer took.
func TestConfirmationsAreDatedToTheirQuestions(t *testing.T) {
	for _, tc := range []struct{ there, before, back time.Duration }{
		{0, 0, 0},
		{2 * time.Second, 0, 0},
		{0, 2 * time.Second, 0},
		{0, 0, 2 * time.Second},
	} {
		synctest.Test(t, func(t *testing.T) {
			reader, member := newVM("reader"), newVM("member")
			reader.Confirm(freshness.Confirmation{Version: 1, At: time.Now().Add(-5 * time.Second)})
			time.Sleep(time.Second) // so that no stamp is of the start
			asked := time.Now()
			question := member.tells("reader")
			time.Sleep(tc.there)
			reader.take(question)
			time.Sleep(tc.before)
			answer := reader.tells("member")
			time.Sleep(tc.back)
			member.take(answer)
			took := time.Since(asked)
			if got := member.age(t); got < reader.age(t) || got > reader.age(t)+took+10*time.Millisecond {
				t.Errorf("%v after the question: %v old, the reader's is %v", took, got, reader.age(t))
			}
		})
	}
}

// A confirmation counts only with an echo of a stamp that this very process has sent.
func TestConfirmationsWithoutAnEcho(t *testing.T) {
	for name, change := range map[string]func(*sharepb.Load){
		"no echo":                    func(l *sharepb.Load) { l.Echoes = nil },
		"an earlier process's stamp": func(l *sharepb.Load) { l.Echoes[0].Boot++ },
		"a stamp that lies ahead":    func(l *sharepb.Load) { l.Echoes[0].Stamp += uint64(time.Hour.Microseconds()) },
		"no confirmation":            func(l *sharepb.Load) { l.Confirmation = nil },
	} {
		t.Run(name, func(t *testing.T) {
			reader, member := newVM("reader"), newVM("member")
			reader.Confirm(freshness.Confirmation{Version: 1, At: time.Now()})
			reader.take(member.tells("reader"))
			answer := reader.tells("other", "member")
			change(answer)
			member.take(answer)
			if age, known := member.Age(); known {
				t.Errorf("taken for %v old", age)
			}
		})
	}
}

// A stamp goes back once, to the VM that it came from, also among others.
func TestStampsGoBackOnce(t *testing.T) {
	a, b, c := newVM("a"), newVM("b"), newVM("c")
	c.take(a.tells("c"))
	c.take(b.tells("c"))
	if n := len(c.tells("a", "b", "d").Echoes); n != 2 {
		t.Errorf("%d stamps went back, want 2", n)
	}
	if n := len(c.tells("a", "b", "d").Echoes); n != 0 {
		t.Errorf("%d went back again", n)
	}
}

// A region in which nothing is bounded by the age of knowledge tells nothing of it.
func TestNothingIsToldWithoutABound(t *testing.T) {
	x := New(Config{VM: "x", OnLoad: func(*sharepb.Load) {}})
	load := x.load(Report{}, ofVM)
	x.confirm(load, []Peer{{Name: "y"}})
	if load.Stamp != 0 || load.Echoes != nil || load.Confirmation != nil {
		t.Errorf("told %v", load)
	}
}
