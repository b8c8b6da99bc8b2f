package messenger

import (
	"net"
	"sync"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcctx"
)

// transportOf returns the connection of a stream, or nil if it is unknown.
func transportOf(s drpc.Stream) drpc.Transport {
	tr, _ := drpcctx.Transport(s.Context())
	return tr
}

// limitListener limits the number of open incoming connections. Further connections
// wait in the kernel's accept queue.
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
	return &incomingConn{Conn: c, release: sync.OnceFunc(func() { <-l.slots })}, nil
}

// incomingConn is a connection whose reads time out after receiveTimeout.
type incomingConn struct {
	net.Conn
	release func()
}

// Read sets a read deadline and reads.
func (c *incomingConn) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(receiveTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}

// Close closes the connection and frees its slot.
func (c *incomingConn) Close() error {
	c.release()
	return c.Conn.Close()
}

// outgoingConn is a connection whose writes time out after writeTimeout, so that a
// peer that does not read cannot block the sender.
type outgoingConn struct{ net.Conn }

// Write sets a write deadline and writes.
func (c outgoingConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}
