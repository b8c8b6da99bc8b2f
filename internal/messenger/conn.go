package messenger

import (
	"net"
	"sync"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcctx"
)

// transportOf returns the connection that a stream runs on, nil if unknown.
func transportOf(s drpc.Stream) drpc.Transport {
	tr, _ := drpcctx.Transport(s.Context())
	return tr
}

// limitListener bounds the open incoming connections; the ones beyond wait in the kernel's backlog.
type limitListener struct {
	net.Listener
	slots chan struct{}
	done  <-chan struct{}
}

// Accept waits for a free slot and a connection.
func (l *limitListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.done:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &incoming{Conn: c, release: sync.OnceFunc(func() { <-l.slots })}, nil
}

// incoming is a connection that ends if it carries nothing for silentAfter.
type incoming struct {
	net.Conn
	release func()
}

// Read reads with a deadline.
func (c *incoming) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(silentAfter)); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}

// Close frees the slot.
func (c *incoming) Close() error {
	c.release()
	return c.Conn.Close()
}

// outgoing is a connection whose writes end if the peer does not read.
type outgoing struct{ net.Conn }

// Write writes with a deadline.
func (c outgoing) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writePatience)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}
