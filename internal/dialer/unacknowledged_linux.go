package dialer

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// EndUnacknowledged makes connections of a dialer end once what was sent is not
// acknowledged for the given time. Without it a connection of which something on
// the way has lost track takes data for a quarter of an hour.
func EndUnacknowledged(d *net.Dialer, after time.Duration) {
	d.Control = func(_, _ string, c syscall.RawConn) error {
		var problem error
		err := c.Control(func(fd uintptr) {
			problem = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(after.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return problem
	}
}
