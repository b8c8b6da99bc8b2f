package dialer

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// SetUserTimeout sets TCP_USER_TIMEOUT, which closes a connection if sent data
// is not acknowledged within the given time. Without it, writes to a connection whose
// state is lost somewhere on the path succeed for a quarter of an hour.
func SetUserTimeout(d *net.Dialer, after time.Duration) {
	d.Control = func(_, _ string, c syscall.RawConn) error {
		var sockErr error
		err := c.Control(func(fd uintptr) {
			sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(after.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return sockErr
	}
}
