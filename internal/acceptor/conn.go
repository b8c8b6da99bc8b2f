package acceptor

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
)

const (
	// maxPipelined bounds the requests of one connection that are in progress.
	maxPipelined = 32
	// lingerPeriod is how long a connection is read after the last answer, since
	// closing it with unread bytes would reset it before the answer is read.
	lingerPeriod = 500 * time.Millisecond
	// progressPatience ends a connection that moves no byte of a body for this long.
	progressPatience = 10 * time.Second
	readBuffer       = 4 << 10
)

var errHeaderTooLarge = errors.New("request header exceeds its limit")

// conn is one caller's connection. Its own goroutine reads the requests; each
// request is handled in a goroutine that writes the answer once its turn comes.
type conn struct {
	server *Server
	net.Conn
	limit io.LimitedReader
	in    *bufio.Reader
	out   *bufio.Writer
	ctx   context.Context
	// cancel ends the context of all requests.
	cancel context.CancelFunc
	slots  chan struct{}

	mu sync.Mutex
	// open counts the requests without a complete answer.
	open int
	// last is set once no further request is to be read.
	last bool
	// final is set once an answer that closes the connection has begun.
	final bool
	// waking is set once the connection is to close when it is idle.
	waking bool
	// waiting is set while no part of a request has been read.
	waiting bool
}

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{server: s, Conn: nc, slots: make(chan struct{}, maxPipelined)}
	c.limit = io.LimitedReader{R: nc, N: math.MaxInt64}
	c.in = bufio.NewReaderSize(&c.limit, readBuffer)
	c.out = bufio.NewWriterSize(nc, readBuffer)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// serve reads requests until the connection ends, then waits for their handlers.
func (c *conn) serve() {
	defer c.server.forget(c)
	defer c.cancel()
	turn := make(chan struct{})
	close(turn)
	for {
		next, err := c.next(turn)
		if err != nil {
			c.refuse(turn, err)
			break
		}
		turn = next
	}
	c.finish(turn)
}

// finish discards what the caller still sends until it closes the connection
// or all answers are written, then closes it.
func (c *conn) finish(turn <-chan struct{}) {
	lingering := make(chan struct{})
	go func() {
		defer close(lingering)
		c.limit.N = math.MaxInt64
		_ = c.SetReadDeadline(time.Time{})
		_, _ = io.Copy(io.Discard, c.in)
		c.cancel()
	}()
	<-turn
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	select {
	case <-lingering:
	case <-time.After(lingerPeriod):
	}
	_ = c.Close()
	<-lingering
}

// next reads a request and starts its handler; it returns the channel that is
// closed once the request is answered.
func (c *conn) next(turn <-chan struct{}) (chan struct{}, error) {
	if err := c.await(); err != nil {
		return nil, err
	}
	limits := c.server.limits.Load()
	_ = c.SetReadDeadline(time.Now().Add(limits.HeaderPatience))
	c.limit.N = int64(limits.Header) + readBuffer
	req, err := http.ReadRequest(c.in)
	if err != nil && c.limit.N <= 0 {
		err = errHeaderTooLarge
	}
	if err != nil {
		return nil, err
	}
	c.limit.N = math.MaxInt64
	_ = c.SetReadDeadline(time.Time{})
	return c.handle(req, turn)
}

// await waits for the first byte of a request.
func (c *conn) await() error {
	if !c.setWaiting(true) {
		return io.EOF
	}
	defer c.setWaiting(false)
	if c.in.Buffered() > 0 {
		return nil
	}
	c.limit.N = math.MaxInt64
	_, err := c.in.Peek(1)
	return err
}

// setWaiting sets the deadline of an idle connection; it reports false if no more requests are to be read.
func (c *conn) setWaiting(waiting bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = waiting
	if !waiting {
		return true
	}
	if c.last || c.waking && c.open == 0 && c.in.Buffered() == 0 {
		return false
	}
	deadline := time.Time{}
	if c.open == 0 {
		deadline = time.Now().Add(c.server.limits.Load().Idle)
	}
	_ = c.SetReadDeadline(deadline)
	return true
}

// wake closes the connection once it is idle.
func (c *conn) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waking = true
	if c.waiting && c.open == 0 {
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
}

// abort ends the connection at once.
func (c *conn) abort() {
	c.cancel()
	_ = c.Close()
}

func (c *conn) handle(req *http.Request, turn <-chan struct{}) (chan struct{}, error) {
	select {
	case c.slots <- struct{}{}:
	case <-c.ctx.Done():
		return nil, c.ctx.Err()
	}
	idempotent := req.Method == http.MethodGet || req.Method == http.MethodHead
	body := &body{ReadCloser: req.Body, conn: c, read: make(chan struct{})}
	if req.Body == http.NoBody || req.ContentLength == 0 {
		body.finish(true)
	}
	if !idempotent || !body.complete() {
		// Only one request at a time reads the connection, and what must not run
		// twice starts only once it is certain that it will be answered.
		select {
		case <-turn:
		case <-c.ctx.Done():
			return nil, c.ctx.Err()
		}
	}
	body.continues = req.Header.Get("Expect") == "100-continue"
	req.Body = body
	x := &exchange{conn: c, request: req.WithContext(c.ctx), body: body, turn: turn, answered: make(chan struct{})}
	c.begin()
	go x.run()
	select {
	case <-body.read:
	case <-c.ctx.Done():
	}
	if !body.complete() || req.Close {
		c.stop()
	}
	return x.answered, nil
}

func (c *conn) begin() {
	c.mu.Lock()
	c.open++
	c.mu.Unlock()
}

// stop lets no further request be read.
func (c *conn) stop() {
	c.mu.Lock()
	c.last = true
	c.mu.Unlock()
}

// claim lets an answer begin; it reports false behind one that closes the connection.
func (c *conn) claim(closes bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.final {
		return false
	}
	c.final = closes
	c.last = c.last || closes
	return true
}

// ended notes an answer that is complete.
func (c *conn) ended() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open--
	if c.open > 0 {
		return
	}
	switch {
	case c.last || c.waking:
		// The reader sees the deadline and ends the connection.
		if c.waiting {
			_ = c.SetReadDeadline(time.Unix(1, 0))
		}
	case c.waiting:
		_ = c.SetReadDeadline(time.Now().Add(c.server.limits.Load().Idle))
	}
}

// refuse answers a request that can't be read, and ends the context if the caller is gone.
func (c *conn) refuse(turn <-chan struct{}, err error) {
	var timeout net.Error
	status := 0
	switch {
	case errors.Is(err, errHeaderTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, context.Canceled):
	case errors.As(err, &timeout) && timeout.Timeout():
		// An idle connection, or one that is to close, ends without an answer.
		return
	case errors.As(err, &timeout):
	default:
		status = http.StatusBadRequest
	}
	if status == 0 {
		c.mu.Lock()
		closing := c.last
		c.mu.Unlock()
		if !closing {
			c.cancel()
		}
		return
	}
	c.server.logger.Info("request refused", zap.Int("Status", status), zap.NamedError("Cause", err), zap.Stringer("Caller", c.RemoteAddr()))
	<-turn
	_ = c.SetWriteDeadline(time.Now().Add(progressPatience))
	_, _ = c.out.WriteString("HTTP/1.1 " + statusLine(status) + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	_ = c.out.Flush()
}
