package contact

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// vm returns a VM in good standing that follows the lapse rule.
func vm(name string, change ...func(*VM)) VM {
	v := VM{Name: name, HasTimeout: true, Listed: true}
	for _, c := range change {
		c(&v)
	}
	return v
}

func shunnedAt(rev uint64) func(*VM) { return func(v *VM) { v.ExcludedAt = rev } }
func noLapse(v *VM)                  { v.HasTimeout = false }
func unlisted(v *VM)                 { v.Listed = false }
func left(v *VM)                     { v.Left = true }

func TestDecide(t *testing.T) {
	const rev, ruled = 7, 4
	acks := func(names ...string) map[string]Ack {
		m := map[string]Ack{}
		for _, n := range names {
			m[n] = Ack{Roster: rev}
		}
		return m
	}
	long := func(names ...string) map[string]time.Duration {
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
	settled := func(name string) map[string]bool { return map[string]bool{name: true} }
	abc := []VM{vm("a"), vm("b"), vm("c")}
	tests := []struct {
		name string
		old  []VM
		seen Observed
		want []VM
	}{
		{"nothing happens", abc, Observed{Acks: acks("a", "b", "c")}, abc},
		{"silent for a moment", abc, Observed{Acks: acks("a", "b"), Silent: map[string]time.Duration{"c": ExcludeAfter - 1}}, abc},
		{"silent for long", abc, Observed{Acks: acks("a", "b"), Silent: long("c")}, []VM{vm("a"), vm("b"), vm("c", shunnedAt(rev+1))}},
		{"two silent", abc, Observed{Acks: acks("a"), Silent: long("b", "c")}, abc},
		{"silent without the lapse rule", []VM{vm("a"), vm("b"), vm("c", noLapse)}, Observed{Acks: acks("a", "b"), Silent: long("c")}, []VM{vm("a"), vm("b"), vm("c", noLapse)}},
		{"silent in a zone of two", []VM{vm("a", noLapse), vm("b", noLapse)}, Observed{Acks: acks("a"), Silent: long("b")}, []VM{vm("a", noLapse), vm("b", noLapse)}},
		{"silent in a zone of two and never listed", []VM{vm("a", noLapse), vm("b", unlisted)}, Observed{Acks: acks("a"), Silent: long("b")}, []VM{vm("a", noLapse), vm("b", unlisted, shunnedAt(rev+1))}},
		{"never listed and silent for very long", []VM{vm("a"), vm("b", unlisted), vm("c", unlisted)}, Observed{Acks: acks("a"), Silent: absent("b", "c"), Listed: map[string]bool{"a": true}}, []VM{vm("a", noLapse)}},
		{"never listed and nearly silent for so long", []VM{vm("a"), vm("b", unlisted), vm("c", unlisted)}, Observed{Acks: acks("a"), Silent: map[string]time.Duration{"b": UnlistedTimeout - 1, "c": UnlistedTimeout - 1}, Listed: map[string]bool{"a": true}}, []VM{vm("a"), vm("b", unlisted), vm("c", unlisted)}},
		{"never listed, silent for very long, list out of reach", []VM{vm("a"), vm("b", unlisted), vm("c", unlisted)}, Observed{Acks: acks("a"), Silent: absent("b", "c")}, []VM{vm("a"), vm("b", unlisted), vm("c", unlisted)}},
		{"listed in a zone of two", []VM{vm("a", noLapse), vm("b", unlisted)}, Observed{Acks: acks("a", "b"), Listed: map[string]bool{"a": true, "b": true}}, []VM{vm("a", noLapse), vm("b", noLapse)}},
		{"shunned and not settled", []VM{vm("a"), vm("b"), vm("c", shunnedAt(5))}, Observed{Acks: acks("a", "b"), Silent: long("c")}, []VM{vm("a"), vm("b"), vm("c", shunnedAt(5))}},
		{"shunned and settled", []VM{vm("a"), vm("b"), vm("c", shunnedAt(5))}, Observed{Acks: acks("a", "b"), Settled: settled("c")}, []VM{vm("a", noLapse), vm("b", noLapse)}},
		{"settled without the lapse rule", []VM{vm("a"), vm("b"), vm("c", shunnedAt(5), noLapse)}, Observed{Acks: acks("a", "b"), Settled: settled("c")}, []VM{vm("a"), vm("b"), vm("c", shunnedAt(5), noLapse)}},
		{"shunned and back", []VM{vm("a"), vm("b"), vm("c", shunnedAt(5))}, Observed{Acks: acks("a", "b", "c")}, abc},
		{"left is not taken back", []VM{vm("a"), vm("b"), vm("c", shunnedAt(5), left)}, Observed{Acks: acks("a", "b", "c")}, []VM{vm("a"), vm("b"), vm("c", shunnedAt(5), left)}},
		{"left and settled in a zone of two", []VM{vm("a", noLapse), vm("c", shunnedAt(5), left, noLapse)}, Observed{Acks: acks("a", "c"), Settled: settled("c")}, []VM{vm("a", noLapse)}},
		{"gone from the list", abc, Observed{Acks: acks("a", "b"), Listed: map[string]bool{"a": true, "b": true}}, []VM{vm("a", noLapse), vm("b", noLapse)}},
		{"gone from the list but answers", abc, Observed{Acks: acks("a", "b", "c"), Listed: map[string]bool{"a": true, "b": true}}, abc},
		{"not yet on the list", []VM{vm("a"), vm("b"), vm("c", unlisted)}, Observed{Acks: acks("a", "b"), Listed: map[string]bool{"a": true, "b": true}}, []VM{vm("a"), vm("b"), vm("c", unlisted)}},
		{"list out of reach", abc, Observed{Acks: acks("a", "b")}, abc},
		{"rule acknowledged", []VM{vm("a"), vm("b", noLapse), vm("c")}, Observed{Acks: acks("a", "b", "c")}, abc},
		{"rule acknowledged on a roster before it", []VM{vm("a"), vm("b", noLapse), vm("c")}, Observed{Acks: map[string]Ack{"a": {}, "b": {Roster: ruled - 1}, "c": {}}}, []VM{vm("a"), vm("b", noLapse), vm("c")}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			old := Roster{Zone: "z", Revision: rev, VMs: tt.old}
			if len(tt.old) >= MinTimeoutVMs {
				old.TimeoutSince = ruled
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
