package leaving

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/membership"
)

func endpoint(name string, leaving bool) membership.VM {
	return membership.VM{Name: name, Kind: membership.Endpoint, Leaving: leaving}
}

func TestSignals(t *testing.T) {
	present := func(s *Set) { s.SetList([]membership.VM{endpoint("e", false)}) }
	tests := []struct {
		name string
		do   []func(*Set)
		want Signal
	}{
		{"none", []func(*Set){present}, ""},
		{"tree", []func(*Set){present, func(s *Set) { s.SetTree([]string{"e"}) }}, SignalTree},
		{"tree takes back", []func(*Set){func(s *Set) { s.SetTree([]string{"e"}) }, func(s *Set) { s.SetTree(nil) }}, ""},
		{"list", []func(*Set){func(s *Set) { s.SetList([]membership.VM{endpoint("e", true)}) }}, SignalList},
		{"list drops", []func(*Set){present, func(s *Set) { s.SetList(nil) }}, SignalList},
		{"list never had it", []func(*Set){func(s *Set) { s.SetList(nil) }}, ""},
		{"an entry of that name", []func(*Set){func(s *Set) {
			s.SetList([]membership.VM{{Name: "e", Kind: membership.Entry, Leaving: true}})
		}}, ""},
		{"endpoint", []func(*Set){present, func(s *Set) { s.Record("e", "1", true) }}, SignalEndpoint},
		{"a late report of it staying", []func(*Set){func(s *Set) { s.Record("e", "1", true) }, func(s *Set) { s.Record("e", "1", false) }}, SignalEndpoint},
		{"started anew", []func(*Set){func(s *Set) { s.Record("e", "1", true) }, func(s *Set) { s.Record("e", "2", false) }}, ""},
		{"endpoint back but tree says so", []func(*Set){func(s *Set) { s.SetTree([]string{"e"}) }, func(s *Set) { s.Record("e", "2", false) }}, SignalTree},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := NewSet()
			for _, do := range tt.do {
				do(s)
			}
			got, _ := s.Leaving("e")
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("signal (-want +got):\n%s", diff)
			}
		})
	}
}

func TestNoteIsNewsOnce(t *testing.T) {
	s := NewSet()
	got := []bool{s.Record("e", "1", false), s.Record("e", "1", true), s.Record("e", "1", true), s.Record("e", "2", false), s.Record("e", "2", true)}
	if diff := cmp.Diff([]bool{false, true, false, false, true}, got); diff != "" {
		t.Errorf("news (-want +got):\n%s", diff)
	}
}

// hangingList hangs on every second read until its caller gives up, and
// answers the others.
type hangingList struct {
	vms   atomic.Pointer[[]membership.VM]
	reads int
}

func (l *hangingList) VMs(ctx context.Context) ([]membership.VM, error) {
	l.reads++
	if l.reads%2 == 0 {
		<-ctx.Done()
		return nil, &membership.UnavailableError{Cause: ctx.Err()}
	}
	return *l.vms.Load(), nil
}

// A mark on the list stops new work within MaxStopDelay, also when the read before
// it hangs, and stays when the list is then out of reach.
func TestListStopsWithinBound(t *testing.T) {
	for at := time.Duration(0); at < 2*ListPollInterval; at += 100 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			s, l := NewSet(), &hangingList{}
			l.vms.Store(&[]membership.VM{endpoint("e", false)})
			go s.WatchList(ctx, l)
			time.Sleep(at)
			synctest.Wait()
			l.vms.Store(&[]membership.VM{endpoint("e", true)})
			time.Sleep(MaxStopDelay)
			synctest.Wait()
			if _, is := s.Leaving("e"); !is {
				t.Errorf("marked at %v: still gets work %v later", at, MaxStopDelay)
			}
		})
	}
}
