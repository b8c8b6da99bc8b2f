package soaker

import (
	"bytes"
	"net"
	"sync"
)

// repeatingListener accepts connections on which a faulty server repeats its refusals.
type repeatingListener struct{ net.Listener }

// Accept returns the next connection.
func (l repeatingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &repeatingConn{Conn: c}, nil
}

// repeatingConn writes a refusal once more before the next response.
type repeatingConn struct {
	net.Conn

	mu      sync.Mutex
	refusal []byte
}

// refusals are the beginnings of the responses that are repeated.
var refusals = [][]byte{[]byte("HTTP/1.1 421 "), []byte("HTTP/1.1 503 ")}

// Write writes a response, which the server passes whole if it has no body.
func (c *repeatingConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	repeated := c.refusal
	c.refusal = nil
	if _, err := c.Conn.Write(repeated); err != nil {
		return 0, err
	}
	for _, beginning := range refusals {
		if bytes.HasPrefix(b, beginning) {
			c.refusal = bytes.Clone(b)
		}
	}
	return c.Conn.Write(b)
}
