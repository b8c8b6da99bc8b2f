package dialer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// TestSetUserTimeout guards against connections that accept data for minutes
// although none of it arrives.
func TestSetUserTimeout(t *testing.T) {
	is := is.New(t)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = lis.Close() }()
	var d net.Dialer
	SetUserTimeout(&d, 1500*time.Millisecond)
	c, err := d.DialContext(context.Background(), "tcp", lis.Addr().String())
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	raw, err := c.(*net.TCPConn).SyscallConn()
	is.NoErr(err)
	got := 0
	is.NoErr(raw.Control(func(fd uintptr) {
		got, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}))
	is.NoErr(err)
	is.Equal(got, 1500)
}
