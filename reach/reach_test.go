package reach

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/hop"
	"github.com/springweir/springweir/loadshare"
)

func endpoint(id, zone string) *directory.Endpoint {
	return &directory.Endpoint{Registration: directory.Registration{ID: id, Zone: zone, StartedAt: 1}}
}

func vm(name, zone string) VM {
	return VM{Peer: hop.Peer{Name: name, Address: name + ":1"}, Zone: zone}
}

func names(vms []VM) []string {
	var list []string
	for _, vm := range vms {
		list = append(list, vm.Name)
	}
	return list
}

// A VM of the own zone is asked first, then those of other zones in turn, and impaired VMs last.
func TestOrderOfVMs(t *testing.T) {
	now := time.Now()
	tr := NewTracker("a")
	vms := []VM{vm("c1", "c"), vm("b1", "b"), vm("a1", "a"), vm("a2", "a"), vm("b2", "b")}
	e := endpoint("e", "b")
	if diff := cmp.Diff([]string{"a1", "b1", "c1", "a2", "b2"}, names(tr.Choose(now, e, vms, 5))); diff != "" {
		t.Error(diff)
	}
	tr.ReceiveImpaired(now, []uint32{loadshare.Hash("a1")})
	tr.Avoid(now, "b1", e, time.Second)
	tr.Avoid(now, "b2", endpoint("other", "b"), time.Second)
	tr.Avoid(now, "c1", nil, time.Second)
	if diff := cmp.Diff([]string{"a2", "b2", "a1"}, names(tr.Choose(now, e, vms, 5))); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]string{"a2"}, names(tr.Choose(now, e, vms, 1))); diff != "" {
		t.Error(diff)
	}
	later := now.Add(time.Second)
	if diff := cmp.Diff([]string{"a1", "b1", "c1", "a2", "b2"}, names(tr.Choose(later, e, vms, 9))); diff != "" {
		t.Errorf("after everything has expired: %s", diff)
	}
}

func TestBrokenPaths(t *testing.T) {
	now := time.Now()
	tr := NewTracker("a")
	e1, e2 := endpoint("e1", "a"), endpoint("e2", "b")
	if !tr.SetBroken(now, e1) || tr.SetBroken(now, e1) || !tr.Broken(e1) || tr.Broken(e2) {
		t.Error("the path to e1 alone is broken, once")
	}
	if tr.Impaired() {
		t.Error("impaired with one broken path")
	}
	tr.SetBroken(now, e2)
	if !tr.Impaired() {
		t.Error("not impaired with two broken paths")
	}
	restarted := *e1
	restarted.StartedAt = 2
	if tr.Broken(&restarted) {
		t.Error("the path to another incarnation is not known to be broken")
	}
	if !tr.SetOpen(now, e1) || tr.SetOpen(now, e1) || tr.Broken(e1) || tr.NumBroken() != 1 {
		t.Error("the path to e1 is open again")
	}
	tr.Retain(now, func(e *directory.Endpoint) bool { return e.ID != "e2" })
	if tr.NumBroken() != 0 {
		t.Error("the path to an endpoint that is gone is kept")
	}
}

// A broken path is checked at growing intervals, the last of which bounds how late its healing is
// noticed.
func TestChecksOfBrokenPaths(t *testing.T) {
	start := time.Now()
	tr := NewTracker("a")
	tr.SetBroken(start, endpoint("e", "a"))
	var at []time.Duration
	for elapsed := time.Duration(0); elapsed <= 5*time.Second; elapsed += 50 * time.Millisecond {
		if len(tr.Due(start.Add(elapsed), 10)) > 0 {
			at = append(at, elapsed)
		}
	}
	want := []time.Duration{250 * time.Millisecond, 750 * time.Millisecond, 1750 * time.Millisecond, 2750 * time.Millisecond, 3750 * time.Millisecond, 4750 * time.Millisecond}
	if diff := cmp.Diff(want, at); diff != "" {
		t.Error(diff)
	}
	for n := range 20 {
		tr.SetBroken(start, endpoint(fmt.Sprint("f", n), "a"))
	}
	if n := len(tr.Due(start.Add(time.Minute), 8)); n != 8 {
		t.Errorf("%d checks are due at once, want 8", n)
	}
}
