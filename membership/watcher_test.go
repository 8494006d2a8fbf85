package membership_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/membership"
	"github.com/springweir/springweir/membership/fakelist"
)

func vm(name string) membership.VM {
	return membership.VM{Name: name, Kind: membership.Entry, Zone: "a"}
}

func names(s membership.Snapshot) string {
	out := ""
	for _, v := range s.VMs {
		out += v.Name
		if v.Leaving {
			out += "!"
		}
	}
	return out
}

// TestWatcherFollowsList changes the list in steps and polls once after each.
func TestWatcherFollowsList(t *testing.T) {
	leaving := vm("b")
	leaving.Leaving = true
	steps := []struct {
		name    string
		list    []membership.VM
		down    bool
		want    string
		removed string
		// unsignalled is set when the step must not close the channel of Changed.
		unsignalled bool
	}{
		{name: "down at first", down: true, unsignalled: true},
		{name: "first list", list: []membership.VM{vm("a"), vm("b")}, want: "ab"},
		{name: "unchanged", list: []membership.VM{vm("a"), vm("b")}, want: "ab", unsignalled: true},
		{name: "leaving", list: []membership.VM{vm("a"), leaving}, want: "ab!"},
		{name: "down", list: []membership.VM{vm("a")}, down: true, want: "ab!", unsignalled: true},
		{name: "dropped, one new", list: []membership.VM{vm("a"), vm("c")}, want: "ac", removed: "b"},
		{name: "older copy", list: []membership.VM{vm("a"), leaving, vm("c")}, want: "ac", removed: "b", unsignalled: true},
		{name: "emptied", want: "", removed: "abc"},
	}
	synctest.Test(t, func(t *testing.T) {
		list := fakelist.New()
		w := membership.NewWatcher(list, membership.WatcherConfig{})
		for _, s := range steps {
			list.Set(s.list...)
			list.SetDown(s.down)
			changed := w.Changed()
			if err := w.Poll(t.Context()); (err != nil) != s.down {
				t.Errorf("%s: %v", s.name, err)
			}
			if diff := cmp.Diff(s.want, names(w.Snapshot())); diff != "" {
				t.Errorf("%s: %s", s.name, diff)
			}
			removed := ""
			for _, name := range []string{"a", "b", "c", "never"} {
				if w.Removed(name) {
					removed += name
				}
			}
			if diff := cmp.Diff(s.removed, removed); diff != "" {
				t.Errorf("%s: removed: %s", s.name, diff)
			}
			select {
			case <-changed:
				if s.unsignalled {
					t.Errorf("%s: change signalled", s.name)
				}
			default:
				if !s.unsignalled {
					t.Errorf("%s: change not signalled", s.name)
				}
			}
		}
	})
}

// TestWatcherRun makes the list lag and hang, and checks the age that a reader gets.
func TestWatcherRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := fakelist.New(vm("a"))
		list.SetLag(5 * time.Second)
		w := membership.NewWatcher(list, membership.WatcherConfig{})
		if w.Snapshot().Loaded() {
			t.Error("loaded before the first read")
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			w.Run(ctx)
			close(done)
		}()
		list.Put(vm("b"))
		time.Sleep(4 * time.Second)
		if got := names(w.Snapshot()); got != "a" {
			t.Errorf("before the lag: %q", got)
		}
		time.Sleep(3 * time.Second)
		if got := names(w.Snapshot()); got != "ab" {
			t.Errorf("after the lag: %q", got)
		}
		list.SetDelay(time.Hour)
		time.Sleep(time.Minute)
		s := w.Snapshot()
		age := s.Age(time.Now())
		if names(s) != "ab" || age < time.Minute || age > 62*time.Second {
			t.Errorf("while down: %q, age %v", names(s), age)
		}
		list.SetDelay(0)
		list.Remove("a")
		time.Sleep(10 * time.Second)
		s = w.Snapshot()
		if names(s) != "b" || !w.Removed("a") || s.Age(time.Now()) > 2*time.Second {
			t.Errorf("after: %q, age %v", names(s), s.Age(time.Now()))
		}
		cancel()
		<-done
	})
}

// TestRemovedNamesAreBounded removes more VMs than are remembered.
func TestRemovedNamesAreBounded(t *testing.T) {
	const n = 9000
	list := fakelist.New()
	w := membership.NewWatcher(list, membership.WatcherConfig{})
	for i := range n {
		list.Set(vm(fmt.Sprint(i)))
		if err := w.Poll(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	if w.Removed("0") || !w.Removed(fmt.Sprint(n-2)) {
		t.Errorf("first removed: %v, last removed: %v", w.Removed("0"), w.Removed(fmt.Sprint(n-2)))
	}
}
