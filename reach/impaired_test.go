package reach

import (
	"errors"
	"fmt"
	"testing"

	"golang.org/x/sys/unix"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/internal/h1"
	"github.com/springweir/springweir/loadshare"
)

// VMs that are cut off too are no help, and do not keep a request from one that is.
func TestCutOffVMsDoNotUseUpWhatIsAsked(t *testing.T) {
	n := &fakeNetwork{direct: errConnectTimeout, through: map[string]error{}}
	c, d := newTestClient(n, "e")
	vms := []VM{silentVM("helper", "b")}
	for i := range 2 * maxHops {
		name := fmt.Sprint("cut", i)
		vms, n.through[name] = append(vms, vm(name, "a")), reported(failure.EndpointUnreachable, failure.NotRun)
		c.ReceiveImpaired([]uint32{loadshare.Hash(name)})
	}
	c.cfg.VMs = func() []VM { return append([]VM(nil), vms...) }
	if _, err := c.Do(t.Context(), d.Snapshot().Endpoint("e"), &h1.Request{}); err != nil {
		t.Error(err)
	}
}

// A VM that has just started, and does not know the endpoint yet, does not keep a request from one that does.
func TestVMThatDoesNotKnowTheEndpointIsPassedOver(t *testing.T) {
	n := &fakeNetwork{direct: errConnectTimeout, through: map[string]error{"a1": reported(failure.EndpointUnknown, failure.NotRun)}}
	c, d := newTestClient(n, "e")
	if _, err := c.Do(t.Context(), d.Snapshot().Endpoint("e"), &h1.Request{}); err != nil {
		t.Error(err)
	}
}

// What VMs that are cut off say of an endpoint counts for nothing, also if their datagrams do not arrive.
func TestCutOffVMsThatAreNotHeardAreNoEvidence(t *testing.T) {
	n := &fakeNetwork{direct: errConnectTimeout, through: map[string]error{}}
	c, d := newTestClient(n, "e")
	vms := []VM{silentVM("helper", "b")}
	for i := range 20 * maxHops {
		name := fmt.Sprint("cut", i)
		failed := reported(failure.EndpointUnreachable, failure.NotRun)
		failed.Impaired = true
		vms, n.through[name] = append(vms, silentVM(name, "b")), failed
	}
	c.cfg.VMs = func() []VM { return append([]VM(nil), vms...) }
	if _, err := c.Do(t.Context(), d.Snapshot().Endpoint("e"), &h1.Request{}); err != nil {
		t.Error(err)
	}
}

// An endpoint is not taken to be down because the VMs that are asked first are cut off from it too.
func TestCutOffVMsDoNotHideThatAnEndpointIsUp(t *testing.T) {
	n := &fakeNetwork{direct: errConnectRefused, reached: map[string]bool{"f": true}, through: map[string]error{}}
	vms := []VM{vm("helper", "c")}
	for i := range 20 * maxHops {
		name := fmt.Sprint("cut", i)
		failed := reported(failure.EndpointUnreachable, failure.NotRun)
		failed.Impaired = true
		vms, n.through[name] = append(vms, vm(name, []string{"a", "c"}[i%2])), failed
	}
	for range 5 {
		c, d := newTestClient(n, "e", "f")
		c.cfg.VMs = func() []VM { return append([]VM(nil), vms...) }
		if err := c.Connect(t.Context(), d.Snapshot().Endpoint("e")); errors.Is(err, unix.ECONNREFUSED) {
			t.Error("the endpoint counts as down, though a VM reaches it")
		}
	}
}
