package reach

import (
	"testing"

	"golang.org/x/sys/unix"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/hop"
	"github.com/springweir/springweir/internal/h1"
)

// A VM that did not help as it stopped helps again once it has restarted.
func TestRestartedVMHelpsAgain(t *testing.T) {
	for name, stopped := range map[string]error{
		"it was about to stop":  reported(failure.Stopping, failure.NotRun),
		"its process had ended": &h1.Error{Cause: &hop.ExchangeError{VM: "a1", Cause: unix.ECONNREFUSED}},
	} {
		t.Run(name, func(t *testing.T) {
			n := &fakeNetwork{direct: errConnectRefused, through: map[string]error{"a1": stopped}}
			c, d := newTestClient(n, "e")
			c.cfg.VMs = func() []VM { return []VM{vm("a1", "a")} }
			e := d.Snapshot().Endpoint("e")
			if _, err := c.Do(t.Context(), e, &h1.Request{}); err == nil {
				t.Error("a request was served though no VM helped")
			}
			n.through = nil
			if _, err := c.Do(t.Context(), e, &h1.Request{}); err != nil {
				t.Error(err)
			}
		})
	}
}
