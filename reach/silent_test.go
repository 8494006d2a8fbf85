package reach

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sys/unix"

	"github.com/springweir/springweir/internal/h1"
	"github.com/springweir/springweir/loadshare"
)

func silentVM(name, zone string) VM {
	v := vm(name, zone)
	v.Silent = true
	return v
}

// A VM whose datagrams do not arrive is asked nonetheless if no other helps, and counts as responsive once it has
// answered.
func TestSilentVMsAreAskedLast(t *testing.T) {
	now := time.Now()
	tr := NewTracker("a")
	vms := []VM{silentVM("a1", "a"), vm("c1", "c"), vm("b1", "b")}
	tr.ReceiveImpaired(now, []uint32{loadshare.Hash("b1")})
	e := endpoint("e", "b")
	for _, step := range []struct {
		when string
		at   time.Time
		want []string
	}{
		{"before it has answered", now, []string{"c1", "b1", "a1"}},
		{"since it has answered", now.Add(time.Millisecond), []string{"a1", "c1", "b1"}},
		{"some time later", now.Add(time.Millisecond + answeredTTL), []string{"c1", "b1", "a1"}},
	} {
		if step.at == now.Add(time.Millisecond) {
			tr.SetAnswered(step.at, "a1")
		}
		tr.ReceiveImpaired(step.at, []uint32{loadshare.Hash("b1")})
		if diff := cmp.Diff(step.want, names(tr.Choose(step.at, e, vms, 3))); diff != "" {
			t.Errorf("%s: %s", step.when, diff)
		}
	}
}

// A request is served through a VM whose datagrams do not arrive.
func TestVMWithoutDatagramsHelps(t *testing.T) {
	n := &fakeNetwork{direct: errConnectRefused}
	c, d := newTestClient(n, "e")
	c.cfg.VMs = func() []VM { return []VM{silentVM("a1", "a")} }
	if _, err := c.Do(t.Context(), d.Snapshot().Endpoint("e"), &h1.Request{}); err != nil {
		t.Error(err)
	}
	if diff := cmp.Diff([]string{"direct e", "a1 e"}, n.take()); diff != "" {
		t.Error(diff)
	}
}

// The news of a crash does not wait for a VM that is silent since it has ended.
func TestSilentVMsAreNotWaitedForByInquiries(t *testing.T) {
	n := &fakeNetwork{direct: errConnectRefused}
	c, d := newTestClient(n, "e")
	c.cfg.VMs = func() []VM { return []VM{silentVM("a1", "a")} }
	if err := c.Connect(t.Context(), d.Snapshot().Endpoint("e")); !errors.Is(err, unix.ECONNREFUSED) {
		t.Error(err)
	}
	if diff := cmp.Diff([]string{"connect e"}, n.take()); diff != "" {
		t.Error(diff)
	}
}
