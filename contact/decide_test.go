package contact

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// vm returns an active VM that follows the timeout rule.
func vm(name string, change ...func(*VM)) VM {
	v := VM{Name: name, HasTimeout: true, Listed: true}
	for _, c := range change {
		c(&v)
	}
	return v
}

func excludedAt(rev uint64) func(*VM) { return func(v *VM) { v.ExcludedAt = rev } }
func noTimeout(v *VM)                 { v.HasTimeout = false }
func unlisted(v *VM)                  { v.Listed = false }
func left(v *VM)                      { v.Left = true }

func TestDecide(t *testing.T) {
	const rev, timeoutSince = 7, 4
	acks := func(names ...string) map[string]Ack {
		m := map[string]Ack{}
		for _, n := range names {
			m[n] = Ack{Roster: rev}
		}
		return m
	}
	unresponsive := func(names ...string) map[string]time.Duration {
		m := map[string]time.Duration{}
		for _, n := range names {
			m[n] = ExcludeAfter
		}
		return m
	}
	absent := func(names ...string) map[string]time.Duration {
		m := map[string]time.Duration{}
		for _, n := range names {
			m[n] = UnlistedTimeout
		}
		return m
	}
	removable := func(name string) map[string]bool { return map[string]bool{name: true} }
	abc := []VM{vm("a"), vm("b"), vm("c")}
	tests := []struct {
		name string
		old  []VM
		seen Observed
		want []VM
	}{
		{"no change", abc, Observed{Acks: acks("a", "b", "c")}, abc},
		{"unresponsive for less than ExcludeAfter", abc, Observed{Acks: acks("a", "b"), UnresponsiveFor: map[string]time.Duration{"c": ExcludeAfter - 1}}, abc},
		{"unresponsive for ExcludeAfter", abc, Observed{Acks: acks("a", "b"), UnresponsiveFor: unresponsive("c")}, []VM{vm("a"), vm("b"), vm("c", excludedAt(rev+1))}},
		{"two unresponsive", abc, Observed{Acks: acks("a"), UnresponsiveFor: unresponsive("b", "c")}, abc},
		{"unresponsive without the timeout rule", []VM{vm("a"), vm("b"), vm("c", noTimeout)}, Observed{Acks: acks("a", "b"), UnresponsiveFor: unresponsive("c")}, []VM{vm("a"), vm("b"), vm("c", noTimeout)}},
		{"unresponsive in a zone of two", []VM{vm("a", noTimeout), vm("b", noTimeout)}, Observed{Acks: acks("a"), UnresponsiveFor: unresponsive("b")}, []VM{vm("a", noTimeout), vm("b", noTimeout)}},
		{"unresponsive in a zone of two and never listed", []VM{vm("a", noTimeout), vm("b", unlisted)}, Observed{Acks: acks("a"), UnresponsiveFor: unresponsive("b")}, []VM{vm("a", noTimeout), vm("b", unlisted, excludedAt(rev+1))}},
		{"never listed and unresponsive for UnlistedTimeout", []VM{vm("a"), vm("b", unlisted), vm("c", unlisted)}, Observed{Acks: acks("a"), UnresponsiveFor: absent("b", "c"), Listed: map[string]bool{"a": true}}, []VM{vm("a", noTimeout)}},
		{"never listed and unresponsive for less than UnlistedTimeout", []VM{vm("a"), vm("b", unlisted), vm("c", unlisted)}, Observed{Acks: acks("a"), UnresponsiveFor: map[string]time.Duration{"b": UnlistedTimeout - 1, "c": UnlistedTimeout - 1}, Listed: map[string]bool{"a": true}}, []VM{vm("a"), vm("b", unlisted), vm("c", unlisted)}},
		{"never listed, unresponsive for UnlistedTimeout, list unavailable", []VM{vm("a"), vm("b", unlisted), vm("c", unlisted)}, Observed{Acks: acks("a"), UnresponsiveFor: absent("b", "c")}, []VM{vm("a"), vm("b", unlisted), vm("c", unlisted)}},
		{"listed in a zone of two", []VM{vm("a", noTimeout), vm("b", unlisted)}, Observed{Acks: acks("a", "b"), Listed: map[string]bool{"a": true, "b": true}}, []VM{vm("a", noTimeout), vm("b", noTimeout)}},
		{"excluded and not removable", []VM{vm("a"), vm("b"), vm("c", excludedAt(5))}, Observed{Acks: acks("a", "b"), UnresponsiveFor: unresponsive("c")}, []VM{vm("a"), vm("b"), vm("c", excludedAt(5))}},
		{"excluded and removable", []VM{vm("a"), vm("b"), vm("c", excludedAt(5))}, Observed{Acks: acks("a", "b"), Removable: removable("c")}, []VM{vm("a", noTimeout), vm("b", noTimeout)}},
		{"removable without the timeout rule", []VM{vm("a"), vm("b"), vm("c", excludedAt(5), noTimeout)}, Observed{Acks: acks("a", "b"), Removable: removable("c")}, []VM{vm("a"), vm("b"), vm("c", excludedAt(5), noTimeout)}},
		{"excluded and responds again", []VM{vm("a"), vm("b"), vm("c", excludedAt(5))}, Observed{Acks: acks("a", "b", "c")}, abc},
		{"left and not readmitted", []VM{vm("a"), vm("b"), vm("c", excludedAt(5), left)}, Observed{Acks: acks("a", "b", "c")}, []VM{vm("a"), vm("b"), vm("c", excludedAt(5), left)}},
		{"left and removable in a zone of two", []VM{vm("a", noTimeout), vm("c", excludedAt(5), left, noTimeout)}, Observed{Acks: acks("a", "c"), Removable: removable("c")}, []VM{vm("a", noTimeout)}},
		{"removed from the list", abc, Observed{Acks: acks("a", "b"), Listed: map[string]bool{"a": true, "b": true}}, []VM{vm("a", noTimeout), vm("b", noTimeout)}},
		{"removed from the list but responds", abc, Observed{Acks: acks("a", "b", "c"), Listed: map[string]bool{"a": true, "b": true}}, abc},
		{"not yet on the list", []VM{vm("a"), vm("b"), vm("c", unlisted)}, Observed{Acks: acks("a", "b"), Listed: map[string]bool{"a": true, "b": true}}, []VM{vm("a"), vm("b"), vm("c", unlisted)}},
		{"list unavailable", abc, Observed{Acks: acks("a", "b")}, abc},
		{"rule acknowledged", []VM{vm("a"), vm("b", noTimeout), vm("c")}, Observed{Acks: acks("a", "b", "c")}, abc},
		{"acknowledged a roster older than the rule", []VM{vm("a"), vm("b", noTimeout), vm("c")}, Observed{Acks: map[string]Ack{"a": {}, "b": {Roster: timeoutSince - 1}, "c": {}}}, []VM{vm("a"), vm("b", noTimeout), vm("c")}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			old := Roster{Zone: "z", Revision: rev, VMs: tt.old}
			if len(tt.old) >= MinTimeoutVMs {
				old.TimeoutSince = timeoutSince
			}
			next, changed := Decide(old, tt.seen)
			if diff := cmp.Diff(tt.want, next.VMs); diff != "" {
				t.Errorf("VMs (-want +got):\n%s", diff)
			}
			if want := !cmp.Equal(tt.want, tt.old); changed != want {
				t.Errorf("changed = %v, want %v", changed, want)
			}
		})
	}
}
