package soaker

import (
	"bufio"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// echo serves lines on a listener until the test ends.
func echo(t *testing.T) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				in := bufio.NewReader(c)
				for {
					line, err := in.ReadString('\n')
					if err != nil {
						return
					}
					_, _ = c.Write([]byte(line))
				}
			}()
		}
	}()
	return lis.Addr().String()
}

// line reports whether a line comes back over a connection within the patience.
func line(c net.Conn, patience time.Duration) bool {
	_ = c.SetDeadline(time.Now().Add(patience))
	if _, err := c.Write([]byte("x\n")); err != nil {
		return false
	}
	answer, err := bufio.NewReader(c).ReadString('\n')
	return err == nil && answer == "x\n"
}

// TestProxy guards against a fault that does not reach the connections, or does not end.
func TestProxy(t *testing.T) {
	const soon, long = 200 * time.Millisecond, 10 * time.Second
	for _, tt := range []struct {
		mode Mode
		// old, fresh and after tell whether a connection from before works, a new one
		// works, and the one from before works after the fault.
		old, fresh, after bool
	}{
		{ModePass, true, true, true},
		{ModeDelay, true, true, true},
		{ModeReset, false, false, false},
		{ModeOneWay, false, false, true},
		{ModeSilence, false, true, false},
	} {
		t.Run(tt.mode.String(), func(t *testing.T) {
			is := is.New(t)
			p, err := newProxy("127.0.0.1:0", echo(t))
			is.NoErr(err)
			defer p.close()
			dial := func() net.Conn {
				c, err := net.Dial("tcp", p.address())
				is.NoErr(err)
				return c
			}
			patience := func(works bool) time.Duration {
				if works {
					return long
				}
				return soon
			}
			old := dial()
			is.True(line(old, long))
			p.setMode(tt.mode)
			is.Equal(line(old, patience(tt.old)), tt.old)
			fresh := dial()
			is.Equal(line(fresh, patience(tt.fresh)), tt.fresh)
			p.setMode(ModePass)
			is.Equal(line(old, patience(tt.after)), tt.after)
			_ = old.Close()
			_ = fresh.Close()
		})
	}
}
