package dialer

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	bufferSize = 4 << 10
	// maxForeign bounds the body of an answer to another request that is skipped, in bytes.
	maxForeign = 1 << 20
	// maxSkipped bounds the answers to other requests that are skipped.
	maxSkipped = 4
	// sendGrace is how long an early answer waits for the rest of the request to be written.
	sendGrace = 50 * time.Millisecond
	// maxInterim bounds the 1xx answers before the final one.
	maxInterim = 8
)

var (
	errForeign = errors.New("the upstream answered another request")
	errClosed  = errors.New("the connection ended before the answer")
)

// outcome is what an exchange ends with.
type outcome struct {
	response *http.Response
	err      error
}

// exchange is a request whose answer is awaited.
type exchange struct {
	request  *http.Request
	match    Matcher
	answered chan outcome
	// sent holds the result of writing the request.
	sent chan error
}

// conn is a connection to an upstream. One goroutine reads from it for its
// whole life, so that an end or stray bytes are noticed while it is unused.
type conn struct {
	net.Conn
	pool     *Pool
	in       *bufio.Reader
	wrote    atomic.Bool
	lifetime time.Duration
	closing  sync.Once

	// idleSince and expires are guarded by the pool's mu.
	idleSince time.Time
	expires   time.Time

	mu      sync.Mutex
	pending *exchange
	ended   bool
}

func newConn(p *Pool, nc net.Conn) *conn {
	return &conn{Conn: nc, pool: p, in: bufio.NewReaderSize(nc, bufferSize), lifetime: idlePatience}
}

// Write notes that bytes of the request may have left.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if n > 0 {
		c.wrote.Store(true)
	}
	return n, err
}

// close ends the connection and frees its place.
func (c *conn) close() {
	c.closing.Do(func() {
		_ = c.Close()
		// The pool's lock may be held by the caller.
		go c.pool.release()
	})
}

// claim reserves the connection for a request; it reports false if it has ended.
func (c *conn) claim() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return false
	}
	c.wrote.Store(false)
	return true
}

func (c *conn) roundTrip(req *http.Request, match Matcher) (*http.Response, error) {
	ctx := req.Context()
	x := &exchange{request: req, match: match, answered: make(chan outcome, 1), sent: make(chan error, 1)}
	if !c.expect(x) {
		return nil, errClosed
	}
	stop := context.AfterFunc(ctx, c.close)
	writeErr := c.send(req)
	x.sent <- writeErr
	var o outcome
	select {
	case o = <-x.answered:
	default:
		if writeErr != nil && !c.wrote.Load() {
			stop()
			c.close()
			return nil, writeErr
		}
		select {
		case o = <-x.answered:
		case <-ctx.Done():
			o.err = ctx.Err()
		}
	}
	if o.err != nil {
		stop()
		c.close()
		return nil, o.err
	}
	o.response.Body = &answerBody{ReadCloser: o.response.Body, conn: c, stop: stop}
	return o.response, nil
}

func (c *conn) expect(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return false
	}
	c.pending = x
	return true
}

// send writes the request. A failed write ends only the sending, since the
// answer may already be on its way.
func (c *conn) send(req *http.Request) error {
	out := bufio.NewWriterSize(c, bufferSize)
	if err := req.Write(out); err != nil {
		return err
	}
	return out.Flush()
}

// readAnswers reads until the connection ends or can't be used again.
func (c *conn) readAnswers() {
	defer c.close()
	for {
		_, err := c.in.Peek(1)
		x := c.awaited()
		if x == nil {
			c.pool.drop(c)
			return
		}
		if err == nil {
			err = c.answer(x)
		}
		if err != nil {
			x.answered <- outcome{err: errors.Wrap(err, "answer not read")}
			c.end()
			return
		}
		if !c.next() {
			return
		}
	}
}

// awaited returns the exchange whose answer comes next; without one the connection is at its end.
func (c *conn) awaited() *exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == nil {
		c.ended = true
	}
	return c.pending
}

func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
}

// answer reads the exchange's own answer and hands it over.
func (c *conn) answer(x *exchange) error {
	skipped := 0
	for range maxInterim {
		resp, err := http.ReadResponse(c.in, x.request) //nolint:bodyclose // The caller of RoundTrip closes it.
		if err != nil {
			return err
		}
		if resp.StatusCode < http.StatusOK && resp.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		if x.match != nil && !x.match(resp) {
			skipped++
			if err := skip(resp); err != nil || skipped > maxSkipped {
				return errForeign
			}
			continue
		}
		c.deliver(x, resp)
		return nil
	}
	return errForeign
}

func skip(resp *http.Response) error {
	defer func() { _ = resp.Body.Close() }()
	if resp.Close {
		return errForeign
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxForeign))
	if err == nil && n == maxForeign {
		return errForeign
	}
	return err
}

// deliver hands an answer over. A body that is still being sent is broken off,
// and the connection not used again.
func (c *conn) deliver(x *exchange, resp *http.Response) {
	c.mu.Lock()
	c.pending = nil
	c.mu.Unlock()
	if !c.sentWhole(x) {
		_ = c.SetWriteDeadline(time.Unix(1, 0))
	}
	c.lifetime = lifetime(resp.Header)
	body := &watchedBody{ReadCloser: resp.Body, done: make(chan bool, 1)}
	if resp.Body == http.NoBody {
		body.finish(true)
	}
	resp.Body = body
	x.answered <- outcome{response: resp}
	whole := <-body.done
	c.mu.Lock()
	if !whole || resp.Close || c.in.Buffered() > 0 || !c.sentWhole(x) {
		c.ended = true
	}
	c.mu.Unlock()
}

// sentWhole reports whether the request was written, for which it waits a little.
func (c *conn) sentWhole(x *exchange) bool {
	select {
	case err := <-x.sent:
		x.sent <- err
		return err == nil
	case <-time.After(sendGrace):
		return false
	}
}

// next returns the connection to the pool; it reports false if it can't be used again.
func (c *conn) next() bool {
	c.mu.Lock()
	ended := c.ended
	c.mu.Unlock()
	return !ended && c.lifetime > 0 && c.pool.keep(c)
}

// lifetime is how long a connection may stay unused after an answer.
func lifetime(h http.Header) time.Duration {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return max(min(time.Duration(seconds)*time.Second-idleMargin, idlePatience), 0)
		}
	}
	return idlePatience
}

// watchedBody tells the connection's goroutine that the body was read whole or given up.
type watchedBody struct {
	io.ReadCloser
	done chan bool
	once sync.Once
}

// Read passes on the body and notes its end.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.finish(errors.Is(err, io.EOF))
	}
	return n, err
}

// Close gives up what is left of the body.
func (b *watchedBody) Close() error {
	b.finish(false)
	return nil
}

func (b *watchedBody) finish(whole bool) { b.once.Do(func() { b.done <- whole }) }

// answerBody ends the exchange with its body.
type answerBody struct {
	io.ReadCloser
	conn *conn
	stop func() bool
}

// Read passes on the body; after its end the request's context no longer ends the connection.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.stop()
	}
	return n, err
}

// Close gives up what is left of the body.
func (b *answerBody) Close() error {
	b.stop()
	return b.ReadCloser.Close()
}
