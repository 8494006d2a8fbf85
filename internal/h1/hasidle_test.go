package h1

import (
	"net"
	"testing"
	"time"
)

// A connection that no request would reuse does not count as open: with a broken path, a request that
// relies on it waits for a dial that hangs.
func TestHasIdleIgnoresConnectionsThatAreNotReused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	p := NewPool(l.Addr().String(), Options{MaxIdleTime: time.Millisecond})
	defer p.Close()
	if err := p.Connect(t.Context()); err != nil {
		t.Fatal(err)
	}
	time.Sleep(10 * time.Millisecond)
	if p.HasIdle() && p.takeIdle(p.opts.MaxIdleTime) == nil {
		t.Error("HasIdle reports a connection that is too old to be reused")
	}
}
