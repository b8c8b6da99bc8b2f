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
	"time"

	"github.com/pkg/errors"
)

const (
	bufferSize = 4 << 10
	// maxHead bounds the status line and the headers of a response, in bytes.
	maxHead = 64 << 10
	// maxMismatchedBody bounds the body of a discarded response to another request, in bytes.
	maxMismatchedBody = 1 << 20
	// maxMismatched bounds the responses to other requests that are discarded.
	maxMismatched = 4
	// earlyResponseWait is how long a response that arrives early waits for the rest
	// of the request to be written.
	earlyResponseWait = 50 * time.Millisecond
	// maxResponses bounds the responses that are read for one request, including
	// those with a 1xx status and those to other requests.
	maxResponses = 8
)

var (
	errMismatched = errors.New("the response belongs to another request")
	errClosed     = errors.New("the connection closed before the response")
	errHeadSize   = errors.New("the head of the response is too large")
)

// headLimiter is a reader that fails once the head of a response exceeds maxHead.
type headLimiter struct {
	io.Reader
	// left is how many more bytes of a head may be read.
	left int
	// inHead is set while a head is read.
	inHead bool
}

// begin starts to count the bytes of a head.
func (l *headLimiter) begin() { l.left, l.inHead = maxHead, true }

// end ends the head; the body is not limited.
func (l *headLimiter) end() { l.inHead = false }

// Read reads at most what the limit leaves.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.inHead {
		return l.Reader.Read(p)
	}
	if l.left <= 0 {
		return 0, errHeadSize
	}
	n, err := l.Reader.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

// result is the response to a request or the error of the exchange.
type result struct {
	response *http.Response
	err      error
}

// exchange is a request in flight. It ends with what comes first: its response, an error or
// the end of its context.
type exchange struct {
	RoundTripOptions
	request *http.Request
	// sent is set unless it is certain that no byte of the request was sent. It belongs to
	// the exchange, since the connection may serve another request before it is read. Only
	// the goroutine that writes the request uses it.
	sent bool
	// result receives the first result; later ones are dropped.
	result  chan result
	endOnce sync.Once
	// written receives the result of writing the request.
	written chan error
	// detach keeps the end of the request's context from closing the connection; it reports
	// false if the connection is being closed.
	detach func() bool
}

// conn is a connection to an upstream. One goroutine reads from it until it is
// closed, so that a close or unexpected bytes are detected while it is idle.
type conn struct {
	net.Conn
	pool *Pool
	head *headLimiter
	in   *bufio.Reader
	// reused is set once the connection has carried a request. The goroutine that reads
	// from the connection sets it between two responses.
	reused      bool
	idleTimeout time.Duration
	closeOnce   sync.Once

	// idleSince and expires are guarded by the pool's mu.
	idleSince time.Time
	expires   time.Time

	mu      sync.Mutex
	pending *exchange
	ended   bool
}

func newConn(p *Pool, nc net.Conn) *conn {
	head := &headLimiter{Reader: nc}
	return &conn{Conn: nc, pool: p, head: head, in: bufio.NewReaderSize(head, bufferSize), idleTimeout: maxIdleTimeout}
}

// requestWriter writes a request to a connection.
type requestWriter struct {
	*conn
	exchange *exchange
}

// Write records that bytes of the request may have been sent.
func (w requestWriter) Write(b []byte) (int, error) {
	n, err := w.Conn.Write(b)
	if n > 0 {
		w.exchange.sent = true
	}
	return n, err
}

// close closes the connection and removes it from the pool's count.
func (c *conn) close() {
	c.closeOnce.Do(func() {
		_ = c.Close()
		// This runs in its own goroutine because the caller may hold the pool's lock.
		go c.pool.release()
	})
}

// hasEnded reports whether the connection can carry no further request.
func (c *conn) hasEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

func newExchange(req *http.Request, options RoundTripOptions) *exchange {
	return &exchange{RoundTripOptions: options, request: req, result: make(chan result, 1), written: make(chan error, 1)}
}

// end ends the exchange with a result, unless it has ended. If it reports false, a response
// in r still belongs to the caller of end.
func (x *exchange) end(r result) bool {
	first := false
	x.endOnce.Do(func() {
		first = true
		x.result <- r
	})
	return first
}

func (c *conn) roundTrip(x *exchange) (*http.Response, error) {
	ctx := x.request.Context()
	x.detach = context.AfterFunc(ctx, func() {
		x.end(result{err: ctx.Err()})
		c.close()
	})
	if !c.setPending(x) {
		x.detach()
		return nil, errClosed
	}
	err := c.writeRequest(x)
	x.written <- err
	if err != nil && !x.sent {
		x.end(result{err: err})
	}
	res := <-x.result
	if res.err != nil {
		x.detach()
		c.close()
	}
	return res.response, res.err
}

func (c *conn) setPending(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return false
	}
	c.pending = x
	return true
}

// writeRequest writes the request. A failed write does not end the connection,
// since the response may already have been sent.
func (c *conn) writeRequest(x *exchange) error {
	out := bufio.NewWriterSize(requestWriter{c, x}, bufferSize)
	if err := x.request.Write(out); err != nil {
		return err
	}
	return out.Flush()
}

// readLoop reads responses until the connection ends or can't be reused.
func (c *conn) readLoop() {
	defer c.close()
	for {
		_, err := c.in.Peek(1)
		x := c.pendingOrEnd()
		if x == nil {
			c.pool.removeIdle(c)
			return
		}
		if err == nil {
			err = c.readResponse(x)
		}
		if err != nil {
			x.end(result{err: errors.Wrap(err, "read response")})
			c.markEnded()
			return
		}
		if !c.reuse() {
			return
		}
	}
}

// pendingOrEnd returns the pending exchange; if there is none, it marks the connection as ended.
func (c *conn) pendingOrEnd() *exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == nil {
		c.ended = true
	}
	return c.pending
}

func (c *conn) markEnded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
}

// readResponse reads the response to the exchange's request and delivers it.
func (c *conn) readResponse(x *exchange) error {
	mismatched := 0
	for range maxResponses {
		c.head.begin()
		resp, err := http.ReadResponse(c.in, x.request) //nolint:bodyclose // The caller of RoundTrip closes it.
		c.head.end()
		if err != nil {
			return err
		}
		if resp.StatusCode < http.StatusOK && resp.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		matched := x.Match == nil || x.Match(resp, c.reused)
		if x.Observe != nil {
			x.Observe(resp.StatusCode, resp.Header, matched)
		}
		if !matched {
			mismatched++
			if err := discardBody(resp); err != nil || mismatched > maxMismatched {
				return errMismatched
			}
			continue
		}
		c.deliver(x, resp)
		return nil
	}
	return errMismatched
}

// discardBody reads a body to its end. If it is too long, the connection has to be
// closed: closing the body would read the rest of it.
func discardBody(resp *http.Response) error {
	if resp.Close {
		return errMismatched
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxMismatchedBody))
	if err == nil && n == maxMismatchedBody {
		return errMismatched
	}
	return err
}

// deliver passes a response to its exchange, or closes it if the exchange has ended. A
// request that is still being written is aborted, and its connection is not reused.
func (c *conn) deliver(x *exchange, resp *http.Response) {
	c.mu.Lock()
	c.pending = nil
	c.mu.Unlock()
	if !c.fullySent(x) {
		_ = c.SetWriteDeadline(time.Unix(1, 0))
	}
	c.idleTimeout = idleTimeout(resp.Header)
	body := &notifyingBody{ReadCloser: resp.Body, detach: x.detach, done: make(chan bool, 1)}
	if resp.Body == http.NoBody {
		body.finish(true)
	}
	resp.Body = body
	delivered := x.end(result{response: resp})
	if !delivered {
		_ = body.Close()
	}
	reusable := <-body.done
	c.mu.Lock()
	if !delivered || !reusable || resp.Close || c.in.Buffered() > 0 || !c.fullySent(x) {
		c.ended = true
	}
	c.mu.Unlock()
}

// fullySent reports whether the request was written within earlyResponseWait.
func (c *conn) fullySent(x *exchange) bool {
	select {
	case err := <-x.written:
		x.written <- err
		return err == nil
	case <-time.After(earlyResponseWait):
		return false
	}
}

// reuse returns the connection to the pool; it reports false if the connection can't be reused.
func (c *conn) reuse() bool {
	c.reused = true
	return !c.hasEnded() && c.idleTimeout > 0 && c.pool.putIdle(c)
}

// idleTimeout returns how long a connection may stay idle after a response with these headers.
func idleTimeout(h http.Header) time.Duration {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return max(min(time.Duration(seconds)*time.Second-idleMargin, maxIdleTimeout), 0)
		}
	}
	return maxIdleTimeout
}

// notifyingBody notifies the connection's goroutine when the body was read to its end or
// closed. The request's context is detached first: once the connection is reused, it must
// not close it any more.
type notifyingBody struct {
	io.ReadCloser
	detach func() bool
	// done receives whether the connection can be reused.
	done chan bool
	once sync.Once
}

// Read reads from the body and reports its end.
func (b *notifyingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.finish(errors.Is(err, io.EOF))
	}
	return n, err
}

// Close abandons the rest of the body.
func (b *notifyingBody) Close() error {
	b.finish(false)
	return nil
}

func (b *notifyingBody) finish(atEOF bool) {
	b.once.Do(func() {
		detached := b.detach()
		b.done <- atEOF && detached
	})
}
