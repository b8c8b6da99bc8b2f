package sizer

import (
	"net"
	"sync/atomic"
)

// CountingListener counts the bytes read and written on the connections that it accepts.
type CountingListener struct {
	net.Listener
	Bytes *atomic.Int64
}

// Accept returns the next connection, or the error of the underlying listener.
func (l CountingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{c, l.Bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}
