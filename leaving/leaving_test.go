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
	listed := func(s *Set) { s.SetList([]membership.VM{endpoint("e", false)}) }
	tests := []struct {
		name  string
		steps []func(*Set)
		want  Signal
	}{
		{"none", []func(*Set){listed}, ""},
		{"tree", []func(*Set){listed, func(s *Set) { s.SetTree([]string{"e"}) }}, SignalTree},
		{"tree mark removed", []func(*Set){func(s *Set) { s.SetTree([]string{"e"}) }, func(s *Set) { s.SetTree(nil) }}, ""},
		{"list", []func(*Set){func(s *Set) { s.SetList([]membership.VM{endpoint("e", true)}) }}, SignalList},
		{"removed from list", []func(*Set){listed, func(s *Set) { s.SetList(nil) }}, SignalList},
		{"never in list", []func(*Set){func(s *Set) { s.SetList(nil) }}, ""},
		{"entry of the same name", []func(*Set){func(s *Set) {
			s.SetList([]membership.VM{{Name: "e", Kind: membership.Entry, Leaving: true}})
		}}, ""},
		{"endpoint", []func(*Set){listed, func(s *Set) { s.Record("e", "1", true) }}, SignalEndpoint},
		{"late report that it is not leaving", []func(*Set){func(s *Set) { s.Record("e", "1", true) }, func(s *Set) { s.Record("e", "1", false) }}, SignalEndpoint},
		{"restarted", []func(*Set){func(s *Set) { s.Record("e", "1", true) }, func(s *Set) { s.Record("e", "2", false) }}, ""},
		{"restarted but marked in tree", []func(*Set){func(s *Set) { s.SetTree([]string{"e"}) }, func(s *Set) { s.Record("e", "2", false) }}, SignalTree},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := NewSet()
			for _, step := range tt.steps {
				step(s)
			}
			got, _ := s.Leaving("e")
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("signal (-want +got):\n%s", diff)
			}
		})
	}
}

func TestRecordReportsChangeOnce(t *testing.T) {
	s := NewSet()
	got := []bool{s.Record("e", "1", false), s.Record("e", "1", true), s.Record("e", "1", true), s.Record("e", "2", false), s.Record("e", "2", true)}
	if diff := cmp.Diff([]bool{false, true, false, false, true}, got); diff != "" {
		t.Errorf("changes (-want +got):\n%s", diff)
	}
}

// hangingList hangs on every second read until the caller cancels it, and responds to the others.
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

// A mark in the list stops new requests within MaxStopDelay even if the read before it hangs, and
// remains in effect while the list is unavailable.
func TestListStopsWithinBound(t *testing.T) {
	for markedAt := time.Duration(0); markedAt < 2*ListPollInterval; markedAt += 100 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			s, l := NewSet(), &hangingList{}
			l.vms.Store(&[]membership.VM{endpoint("e", false)})
			go s.WatchList(ctx, l)
			time.Sleep(markedAt)
			synctest.Wait()
			l.vms.Store(&[]membership.VM{endpoint("e", true)})
			time.Sleep(MaxStopDelay)
			synctest.Wait()
			if _, leaving := s.Leaving("e"); !leaving {
				t.Errorf("marked at %v: not reported as leaving %v later", markedAt, MaxStopDelay)
			}
		})
	}
}
