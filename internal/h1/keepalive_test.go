package h1

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// dropSegments makes the kernel drop all segments that arrive at a connection, or accept them again.
func dropSegments(t *testing.T, c *net.TCPConn, drop bool) {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	err2 := raw.Control(func(fd uintptr) {
		if !drop {
			err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
			return
		}
		none := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
		err = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &none})
	})
	if err != nil || err2 != nil {
		t.Fatal(err, err2)
	}
}

// A connection with keep-alive probes survives a network that loses packets for less than UserTimeout.
// This test waits in real time because the kernel's timers do.
func TestKeepAliveSurvivesShortLossOfPackets(t *testing.T) {
	for _, tc := range []struct {
		name       string
		from, till time.Duration
	}{
		{"no loss", 0, 0},
		{"lost from 0 to 0.5 s, between probes", 0, 500 * time.Millisecond},
		{"lost from 0.9 to 1.2 s", 900 * time.Millisecond, 1200 * time.Millisecond},
		{"lost for 1 s", 200 * time.Millisecond, 1200 * time.Millisecond},
		{"lost for 1.6 s", 0, 1600 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			p := NewPool(l.Addr().String(), Options{KeepAlive: time.Second, ConnectTimeout: time.Second})
			c, err := p.dial(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			served, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer served.Close()
			peer := served.(*net.TCPConn)
			start := time.Now()
			if tc.till > 0 {
				time.Sleep(tc.from)
				dropSegments(t, peer, true)
				time.Sleep(tc.till - tc.from)
				dropSegments(t, peer, false)
			}
			_ = c.SetReadDeadline(start.Add(3500 * time.Millisecond))
			_, err = c.Read(make([]byte, 1))
			if ne, ok := err.(net.Error); !ok || !ne.Timeout() || time.Since(start) < 3400*time.Millisecond {
				t.Errorf("the kernel closed the connection after %v: %v", time.Since(start).Round(10*time.Millisecond), err)
			}
		})
	}
}

// A UserTimeout between the second and the third probe makes the kernel close the connection of a dead
// peer when the third is due, and keep one whose peer was lost for less than two.
func TestKeepAliveNoticesDeadPeer(t *testing.T) {
	const (
		tooEarly = 2500 * time.Millisecond
		tooLate  = 3500 * time.Millisecond
	)
	for name, lost := range map[string]time.Duration{"lost for 1.6 s": 1600 * time.Millisecond, "dead": time.Hour} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			p := NewPool(l.Addr().String(), Options{KeepAlive: time.Second, UserTimeout: 2300 * time.Millisecond, ConnectTimeout: time.Second})
			c, err := p.dial(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			served, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer served.Close()
			peer, start := served.(*net.TCPConn), time.Now()
			dropSegments(t, peer, true)
			if lost < tooLate {
				time.Sleep(lost)
				dropSegments(t, peer, false)
			}
			_ = c.SetReadDeadline(start.Add(tooLate))
			_, err = c.Read(make([]byte, 1))
			after := time.Since(start)
			ne, ok := err.(net.Error)
			survived := ok && ne.Timeout() && after >= tooLate
			t.Logf("%v: %v", after.Round(time.Millisecond), err)
			if dead := lost > tooLate; survived == dead || dead && after < tooEarly {
				t.Errorf("after %v: %v", after.Round(time.Millisecond), err)
			}
		})
	}
}
