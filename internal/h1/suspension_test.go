package h1

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/springweir/springweir/internal/clock"
)

// An idle connection is not reused after a suspension of the VM longer than its idle limit:
// the server may have closed it, and a request sent on it could be lost.
func TestIdleConnectionAfterSuspension(t *testing.T) {
	var suspended atomic.Int64 // nanoseconds
	defer clock.Simulate(func() time.Duration { return time.Duration(suspended.Load()) })()
	s := serve(t, echo)
	p := NewPool(s.Addr().String(), Options{})
	for _, step := range []struct {
		suspended time.Duration
		want      int
	}{{0, 1}, {time.Second, 1}, {time.Second + DefaultMaxIdleTime, 2}} {
		suspended.Store(int64(step.suspended))
		a, err := p.Do(t.Context(), &Request{Method: "POST", Target: "/", Host: "h", Body: []byte("x"), HasBody: true})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := a.ReadAll(100); err != nil {
			t.Fatal(err)
		}
		a.Close()
		if got := s.connections(); got != step.want {
			t.Errorf("total suspension %v: %d connections were opened, want %d", step.suspended, got, step.want)
		}
	}
	p.Close()
}
