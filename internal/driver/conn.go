package driver

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// staleConnAfter is the time without incoming data after which a kept connection
// is not used for a once-only request.
const staleConnAfter = time.Second

var errWritesDisabled = errors.New("connection is sealed against further writes")

// conn is a connection to an upstream that counts the writes to it.
type conn struct {
	net.Conn
	release    func()
	lastReadAt atomic.Int64

	mu             sync.Mutex
	writes         uint64
	writesDisabled bool
}

func newConn(c net.Conn, release func()) *conn {
	out := &conn{Conn: c, release: sync.OnceFunc(release)}
	out.lastReadAt.Store(time.Now().UnixNano())
	return out
}

// Write counts the write before any byte can be sent.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.writesDisabled {
		c.mu.Unlock()
		return 0, errWritesDisabled
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// Read records when data last arrived from the upstream.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.lastReadAt.Store(time.Now().UnixNano())
	}
	return n, err
}

// Close closes the connection and removes it from the limiter's count.
func (c *conn) Close() error {
	defer c.release()
	return c.Conn.Close()
}

func (c *conn) writeCount() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// disableWrites makes later writes fail and returns the number of earlier ones.
func (c *conn) disableWrites() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writesDisabled = true
	return c.writes
}

func (c *conn) stale(now time.Time) bool {
	return now.Sub(time.Unix(0, c.lastReadAt.Load())) > staleConnAfter
}

// connTracker tracks one attempt across the connections that the transport gives it.
type connTracker struct {
	onceOnly bool

	mu           sync.Mutex
	conn         *conn
	writesBefore uint64
	// sent is set if bytes of the attempt may have been written to a connection that it no longer uses.
	sent bool
	// gotStale is set if the transport offered a stale connection, whose writes were then disabled.
	gotStale bool
}

func (t *connTracker) context(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
}

func (t *connTracker) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.detach()
	c, ok := info.Conn.(*conn)
	if !ok {
		t.sent = true
		return
	}
	t.conn = c
	t.writesBefore = c.writeCount()
	if t.onceOnly && info.Reused && c.stale(time.Now()) {
		c.disableWrites()
		t.gotStale = true
	}
}

// detach disables writes on the current connection and records whether the attempt wrote to it; mu is held.
func (t *connTracker) detach() {
	if t.conn != nil && t.conn.disableWrites() != t.writesBefore {
		t.sent = true
	}
	t.conn = nil
}

// disableWrites makes later writes of the attempt fail and reports whether any byte of it may have been sent.
func (t *connTracker) disableWrites() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.detach()
	return t.sent
}

// connected reports whether the attempt has a connection or may have sent bytes on an earlier one.
func (t *connTracker) connected() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.conn != nil || t.sent
}
