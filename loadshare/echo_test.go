package loadshare

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/springweir/springweir/freshness"
	"github.com/springweir/springweir/loadshare/sharepb"
)

// testVM is an Exchange without a socket, and the tracker that it updates.
type testVM struct {
	*Exchange
	*freshness.Tracker
}

func newTestVM(name string) testVM {
	tr := freshness.New(nil)
	tr.SetInForce(1)
	x := New(Config{VM: name, Zone: "z", Confirmation: tr.Newest, OnConfirmation: tr.Confirm, OnLoad: func(*sharepb.Load) {}})
	return testVM{Exchange: x, Tracker: tr}
}

// datagramTo returns a datagram of this VM to others.
func (v testVM) datagramTo(others ...string) *sharepb.Load {
	load := v.newLoad(Report{}, scopeVM)
	var to []Peer
	for _, name := range others {
		to = append(to, Peer{Name: name})
	}
	v.addConfirmation(load, to)
	return load
}

func (v testVM) age(t *testing.T) time.Duration {
	t.Helper()
	age, known := v.Age()
	if !known {
		t.Fatal("nothing is confirmed")
	}
	return age
}

// Whatever the delays in either direction and the pauses of either VM, a confirmation never appears
// younger than it is, and older by no more than the round trip.
func TestConfirmationsAreDatedFromEchoedStamp(t *testing.T) {
	for _, tc := range []struct{ requestDelay, processing, responseDelay time.Duration }{
		{0, 0, 0},
		{2 * time.Second, 0, 0},
		{0, 2 * time.Second, 0},
		{0, 0, 2 * time.Second},
	} {
		synctest.Test(t, func(t *testing.T) {
			reader, member := newTestVM("reader"), newTestVM("member")
			reader.Confirm(freshness.Confirmation{Version: 1, At: time.Now().Add(-5 * time.Second)})
			time.Sleep(time.Second) // so that no stamp has the minimum value
			sent := time.Now()
			request := member.datagramTo("reader")
			time.Sleep(tc.requestDelay)
			reader.handle(request)
			time.Sleep(tc.processing)
			response := reader.datagramTo("member")
			time.Sleep(tc.responseDelay)
			member.handle(response)
			roundTrip := time.Since(sent)
			if got := member.age(t); got < reader.age(t) || got > reader.age(t)+roundTrip+10*time.Millisecond {
				t.Errorf("%v after the request: age %v, the reader's is %v", roundTrip, got, reader.age(t))
			}
		})
	}
}

// A confirmation is accepted only with an echo of a stamp that was sent by the same process.
func TestConfirmationsWithoutValidEchoAreIgnored(t *testing.T) {
	for name, change := range map[string]func(*sharepb.Load){
		"no echo":                    func(l *sharepb.Load) { l.Echoes = nil },
		"an earlier process's stamp": func(l *sharepb.Load) { l.Echoes[0].Boot++ },
		"a stamp in the future":      func(l *sharepb.Load) { l.Echoes[0].Stamp += uint64(time.Hour.Microseconds()) },
		"no confirmation":            func(l *sharepb.Load) { l.Confirmation = nil },
	} {
		t.Run(name, func(t *testing.T) {
			reader, member := newTestVM("reader"), newTestVM("member")
			reader.Confirm(freshness.Confirmation{Version: 1, At: time.Now()})
			reader.handle(member.datagramTo("reader"))
			response := reader.datagramTo("other", "member")
			change(response)
			member.handle(response)
			if age, known := member.Age(); known {
				t.Errorf("accepted with age %v", age)
			}
		})
	}
}

// A stamp is sent back once, to the VM that sent it, also in a datagram to several VMs.
func TestStampsAreEchoedOnce(t *testing.T) {
	a, b, c := newTestVM("a"), newTestVM("b"), newTestVM("c")
	c.handle(a.datagramTo("c"))
	c.handle(b.datagramTo("c"))
	if n := len(c.datagramTo("a", "b", "d").Echoes); n != 2 {
		t.Errorf("%d stamps were echoed, want 2", n)
	}
	if n := len(c.datagramTo("a", "b", "d").Echoes); n != 0 {
		t.Errorf("%d were echoed again", n)
	}
}

// Without a bound on the age of the configuration, no stamps and confirmations are sent.
func TestNoConfirmationWithoutAgeBound(t *testing.T) {
	x := New(Config{VM: "x", OnLoad: func(*sharepb.Load) {}})
	load := x.newLoad(Report{}, scopeVM)
	x.addConfirmation(load, []Peer{{Name: "y"}})
	if load.Stamp != 0 || load.Echoes != nil || load.Confirmation != nil {
		t.Errorf("sent %v", load)
	}
}
