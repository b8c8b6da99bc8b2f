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

// quietAfter is the time without an answer after which a connection is not
// trusted with a once-only request.
const quietAfter = time.Second

var errSealed = errors.New("connection is closed to further writes")

// conn is a connection to an upstream that knows whether anything was written to it.
type conn struct {
	net.Conn
	release    func()
	answeredAt atomic.Int64

	mu     sync.Mutex
	writes uint64
	sealed bool
}

func newConn(c net.Conn, release func()) *conn {
	out := &conn{Conn: c, release: sync.OnceFunc(release)}
	out.answeredAt.Store(time.Now().UnixNano())
	return out
}

// Write counts the write before any byte can leave.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// Read notes when the upstream was last heard.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.answeredAt.Store(time.Now().UnixNano())
	}
	return n, err
}

// Close frees the connection's place.
func (c *conn) Close() error {
	defer c.release()
	return c.Conn.Close()
}

func (c *conn) count() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal makes later writes fail and returns the number of earlier ones.
func (c *conn) seal() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes
}

func (c *conn) quiet(now time.Time) bool {
	return now.Sub(time.Unix(0, c.answeredAt.Load())) > quietAfter
}

// watch follows one attempt over the connections that the transport gives it.
type watch struct {
	onceOnly bool

	mu   sync.Mutex
	conn *conn
	mark uint64
	// sent is set once a connection that the attempt has left took bytes of it.
	sent bool
	// quiet is set if the attempt was kept off a connection that had been quiet too long.
	quiet bool
}

func (w *watch) context(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: w.gotConn})
}

func (w *watch) gotConn(info httptrace.GotConnInfo) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leave()
	c, ok := info.Conn.(*conn)
	if !ok {
		w.sent = true
		return
	}
	w.conn = c
	w.mark = c.count()
	if w.onceOnly && info.Reused && c.quiet(time.Now()) {
		c.seal()
		w.quiet = true
	}
}

// leave must be called with mu held.
func (w *watch) leave() {
	if w.conn != nil && w.conn.seal() != w.mark {
		w.sent = true
	}
	w.conn = nil
}

// settle bars further writes of the attempt and reports whether a byte of it may have left.
func (w *watch) settle() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leave()
	return w.sent
}

// connected reports whether the attempt ever had a connection.
func (w *watch) connected() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.conn != nil || w.sent
}
