package engine

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// setUserTimeout makes the kernel drop the connection, with all unsent and
// unacknowledged data, after the remaining time. Zero would select the kernel's
// default of many minutes, so the minimum is one millisecond.
func setUserTimeout(c *net.TCPConn, remaining time.Duration) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	millis := max(1, int(remaining/time.Millisecond))
	var sockErr error
	err = raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, millis)
	})
	if err != nil {
		return err
	}
	return sockErr
}
