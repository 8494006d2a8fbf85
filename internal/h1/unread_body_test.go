package h1

import (
	"net"
	"testing"
	"time"
)

// A peer that leaves a long body unread for a while acknowledges the kernel's window probes and is
// alive. This test waits in real time because the kernel's timers do.
func TestUnreadBodySurvivesSilenceOfPeer(t *testing.T) {
	for _, silence := range []time.Duration{1600 * time.Millisecond, 3 * time.Second} {
		t.Run(silence.String(), func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			p := NewPool(l.Addr().String(), Options{ConnectTimeout: time.Second})
			c, err := p.dial(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			peer, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer peer.Close()
			const size = 64 << 20
			go func() {
				time.Sleep(silence)
				b := make([]byte, 1<<20)
				for {
					if _, err := peer.Read(b); err != nil {
						return
					}
				}
			}()
			start := time.Now()
			if n, err := c.Write(make([]byte, size)); err != nil {
				t.Errorf("after %v, %d of %d bytes: %v", time.Since(start).Round(10*time.Millisecond), n, size, err)
			}
		})
	}
}
