package contact

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

func roster(rev uint64, vms ...VM) Roster { return Roster{Zone: "z", Revision: rev, VMs: vms} }

func newTestMember(name string) *Member { return NewMember("z", name, func(Roster) {}) }

// tickFor lets the member run for d.
func tickFor(m *Member, d time.Duration) {
	done := make(chan struct{})
	go m.Run(done)
	time.Sleep(d)
	close(done)
	synctest.Wait()
}

func expectStatus(t *testing.T, m *Member, want Status) {
	t.Helper()
	if got := m.Status(); got != want {
		t.Errorf("status %s, want %s", got, want)
	}
	var refused *UnconfirmedError
	if err := m.Allow(); (err == nil) != (want == Active) || err != nil && !errors.As(err, &refused) {
		t.Errorf("Allow() = %v at status %s", err, want)
	}
}

func TestMemberTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newTestMember("a")
		expectStatus(t, m, NotJoined)
		began := time.Now()
		time.Sleep(time.Second) // the response takes a second
		m.RecordJoin(roster(1, vm("a"), vm("b"), vm("c")), began)
		expectStatus(t, m, Active)
		tickFor(m, Timeout-time.Second-time.Millisecond)
		expectStatus(t, m, Active)
		tickFor(m, time.Millisecond)
		expectStatus(t, m, NoContact)
		m.RecordContact(began) // a response to a request from long before
		expectStatus(t, m, NoContact)
		m.RecordContact(time.Now())
		expectStatus(t, m, Active)
		m.ApplyRoster(roster(2, vm("a", excludedAt(2)), vm("b"), vm("c")))
		expectStatus(t, m, NotJoined)
		m.ApplyRoster(roster(1, vm("a"), vm("b"), vm("c")))
		m.RecordContact(time.Now())
		expectStatus(t, m, NotJoined)
		m.ApplyRoster(roster(3, vm("a"), vm("b"), vm("c")))
		m.RecordContact(time.Now())
		m.StopServing()
		m.RecordContact(time.Now())
		expectStatus(t, m, Stopping)
		if m.ConfirmMember("b") {
			t.Error("a stopped VM confirms a member")
		}
	})
}

func TestMemberOfSmallZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newTestMember("a")
		m.RecordJoin(roster(1, vm("a", noTimeout), vm("b", noTimeout)), time.Now())
		tickFor(m, time.Hour)
		expectStatus(t, m, Active)
		time.Sleep(Timeout) // paused: nothing ticks
		tickFor(m, time.Second)
		expectStatus(t, m, NoContact)
		m.RecordContact(time.Now().Add(-Timeout)) // a contact requested before the pause
		expectStatus(t, m, NoContact)
		m.RecordContact(time.Now())
		tickFor(m, time.Hour)
		expectStatus(t, m, Active)
		// A roster that still has HasTimeout set for the VM binds it.
		m.ApplyRoster(roster(2, vm("a"), vm("b")))
		expectStatus(t, m, NoContact)
		m.RecordContact(time.Now())
		tickFor(m, Timeout)
		expectStatus(t, m, NoContact)
	})
}

// A new process of a VM that has not joined follows the timeout rule in every zone, because its
// predecessor may have left.
func TestUnjoinedMemberTimesOutInSmallZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newTestMember("a")
		m.ApplyRoster(roster(1, vm("a", noTimeout), vm("b", noTimeout)))
		m.RecordContact(time.Now())
		expectStatus(t, m, Active)
		tickFor(m, Timeout)
		expectStatus(t, m, NoContact)
	})
}

func TestMemberConfirmsMembers(t *testing.T) {
	m := newTestMember("a")
	m.ApplyRoster(roster(1, vm("a"), vm("b"), vm("c")))
	if m.ConfirmMember("b") {
		t.Error("a VM that never had contact confirms a member")
	}
	m.RecordContact(time.Now())
	if !m.ConfirmMember("b") || m.ConfirmMember("x") {
		t.Error("ConfirmMember is wrong for an active or an unknown VM")
	}
	m.ApplyRoster(roster(2, vm("a"), vm("b", excludedAt(2)), vm("c")))
	if m.ConfirmMember("b") {
		t.Error("confirms an excluded VM")
	}
}

// scriptedAcks holds the responses of each VM, one for each query.
type scriptedAcks map[string][]Ack

func (s scriptedAcks) query(_ context.Context, v VM) (Ack, error) {
	if len(s[v.Name]) == 0 {
		return Ack{}, &MalformedError{}
	}
	a := s[v.Name][0]
	s[v.Name] = s[v.Name][1:]
	return a, nil
}

func TestStable(t *testing.T) {
	old, ok, other := Ack{Instance: 1, Config: 1}, Ack{Instance: 1, Config: 2}, Ack{Instance: 2, Config: 2}
	tests := []struct {
		name string
		b    []Ack
		want []string
	}{
		{"holds", []Ack{ok, ok}, nil},
		{"holds too little", []Ack{old, ok}, []string{"b"}},
		{"no response", nil, []string{"b"}},
		{"no response in the second round", []Ack{ok}, []string{"b"}},
		{"restarted with an older version", []Ack{ok, {Instance: 2, Config: 1}}, []string{"b"}},
		{"restarted between the rounds", []Ack{ok, other}, []string{"b"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := scriptedAcks{"b": tt.b}
			var missing []string
			err := ConfirmStable(t.Context(), []VM{{Name: "b"}}, s.query, s.query, func(a Ack) bool { return a.Config >= 2 })
			var unstable *UnstableError
			if errors.As(err, &unstable) {
				missing = unstable.Missing
			}
			if diff := cmp.Diff(tt.want, missing); diff != "" {
				t.Errorf("missing (-want +got):\n%s", diff)
			}
		})
	}
}
