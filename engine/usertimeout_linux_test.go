package engine

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// The timeout is the time remaining and never zero, which would select the kernel's
// default of many minutes.
func TestUserTimeoutIsSet(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	tcp := conn.(*net.TCPConn)
	for remaining, want := range map[time.Duration]int{1500 * time.Millisecond: 1500, time.Microsecond: 1, -time.Second: 1} {
		if err := setUserTimeout(tcp, remaining); err != nil {
			t.Fatal(err)
		}
		raw, err := tcp.SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		var got int
		err = raw.Control(func(fd uintptr) {
			got, _ = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		})
		if err != nil || got != want {
			t.Errorf("%v remaining: kernel has %d ms, %v; want %d", remaining, got, err, want)
		}
	}
}
