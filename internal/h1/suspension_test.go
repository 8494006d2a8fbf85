package h1

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/springweir/springweir/internal/clock"
)

// A connection that was kept while the VM was suspended is not used again: its server may
// have closed it, and a request sent on it could be lost.
func TestKeptConnectionAfterASuspension(t *testing.T) {
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
			t.Errorf("after a suspension of %v in all %d connections were opened, want %d", step.suspended, got, step.want)
		}
	}
	p.Close()
}
