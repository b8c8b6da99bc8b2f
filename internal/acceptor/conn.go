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
	// maxPipelined bounds the requests in flight on one connection.
	maxPipelined = 32
	// lingerTimeout is how long a connection is still read after the last response:
	// closing it with unread bytes would send a reset, which can discard the response.
	lingerTimeout = 500 * time.Millisecond
	// bodyProgressTimeout ends a connection on which no byte of a body was read or written for this long.
	bodyProgressTimeout = 10 * time.Second
	bufferSize          = 4 << 10
)

var errHeaderTooLarge = errors.New("request header exceeds its limit")

// conn is one caller's connection. Its own goroutine reads the requests; each
// request has a goroutine that writes the response once all earlier ones are written.
type conn struct {
	server *Server
	net.Conn
	// limit bounds the bytes that are read for a request header.
	limit io.LimitedReader
	in    *bufio.Reader
	out   *bufio.Writer
	ctx   context.Context
	// cancel cancels the context of all requests; its cause tells who ended the connection.
	cancel        context.CancelCauseFunc
	pipelineSlots chan struct{}

	mu sync.Mutex
	// inFlight counts the requests without a complete response.
	inFlight int
	// last is the request that was passed to the handler last.
	last *exchange
	// readStopped is set once no further request is passed to the handler.
	readStopped bool
	// closingWhenIdle is set once the connection is to be closed as soon as it is idle.
	closingWhenIdle bool
	// awaitingRequest is set while no byte of the next request has been read.
	awaitingRequest bool
	// idleSince is when the connection last became idle.
	idleSince time.Time
}

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{server: s, Conn: nc, pipelineSlots: make(chan struct{}, maxPipelined)}
	c.limit = io.LimitedReader{R: nc, N: math.MaxInt64}
	c.in = bufio.NewReaderSize(&c.limit, bufferSize)
	c.out = bufio.NewWriterSize(nc, bufferSize)
	c.ctx, c.cancel = context.WithCancelCause(context.Background())
	return c
}

// serve reads requests until the connection ends, then waits for their handlers.
func (c *conn) serve() {
	defer c.server.removeConn(c)
	defer c.cancel(errConnClosed)
	prevDone := make(chan struct{})
	close(prevDone)
	for {
		done, err := c.readRequest(prevDone)
		if err != nil {
			c.rejectRequest(prevDone, err)
			break
		}
		prevDone = done
	}
	c.lingerAndClose(prevDone)
}

// lingerAndClose discards further input, waits until all responses are written,
// and closes the connection once the caller has closed its side or lingerTimeout has passed.
func (c *conn) lingerAndClose(prevDone <-chan struct{}) {
	discarded := make(chan struct{})
	go func() {
		defer close(discarded)
		c.limit.N = math.MaxInt64
		_ = c.SetReadDeadline(time.Time{})
		_, _ = io.Copy(io.Discard, c.in)
		c.cancel(errCallerDisconnected)
	}()
	<-prevDone
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	select {
	case <-discarded:
	case <-time.After(lingerTimeout):
	}
	_ = c.Close()
	<-discarded
}

// readRequest reads a request and starts its handler; it returns the channel
// that is closed once the request is answered.
func (c *conn) readRequest(prevDone <-chan struct{}) (chan struct{}, error) {
	if err := c.awaitRequest(); err != nil {
		return nil, err
	}
	limits := c.server.limits.Load()
	_ = c.SetReadDeadline(time.Now().Add(limits.HeaderPatience))
	c.limit.N = int64(limits.Header) + bufferSize
	req, err := http.ReadRequest(c.in)
	if err != nil && c.limit.N <= 0 {
		err = errHeaderTooLarge
	}
	if err != nil {
		return nil, err
	}
	c.limit.N = math.MaxInt64
	_ = c.SetReadDeadline(time.Time{})
	return c.dispatch(req, prevDone)
}

// awaitRequest waits for the first byte of a request.
func (c *conn) awaitRequest() error {
	if !c.setAwaitingRequest(true) {
		return io.EOF
	}
	defer c.setAwaitingRequest(false)
	if c.in.Buffered() > 0 {
		return nil
	}
	c.limit.N = math.MaxInt64
	_, err := c.in.Peek(1)
	return err
}

// setAwaitingRequest records whether a request is awaited and sets the read
// deadline if so; it reports false if no more requests are to be read.
func (c *conn) setAwaitingRequest(awaiting bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitingRequest = awaiting
	if !awaiting {
		return true
	}
	if c.readStopped || c.closingWhenIdle && c.inFlight == 0 && c.in.Buffered() == 0 {
		return false
	}
	if c.inFlight == 0 {
		c.beginIdle()
		return true
	}
	_ = c.SetReadDeadline(time.Time{})
	return true
}

// beginIdle starts the idle timeout; c.mu is held.
func (c *conn) beginIdle() {
	c.idleSince = time.Now()
	c.setIdleDeadline()
}

// setIdleDeadline sets the end of the idle timeout; c.mu is held.
func (c *conn) setIdleDeadline() {
	_ = c.SetReadDeadline(c.idleSince.Add(c.server.limits.Load().Idle))
}

// renewIdleDeadline applies a changed idle timeout to a connection that is idle.
func (c *conn) renewIdleDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.awaitingRequest && c.inFlight == 0 && !c.readStopped && !c.closingWhenIdle {
		c.setIdleDeadline()
	}
}

// closeWhenIdle closes the connection as soon as it is idle.
func (c *conn) closeWhenIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closingWhenIdle = true
	if c.awaitingRequest && c.inFlight == 0 {
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
}

// abort cancels all requests and closes the connection at once.
func (c *conn) abort() {
	c.cancel(errConnClosed)
	_ = c.Close()
}

func (c *conn) dispatch(req *http.Request, prevDone <-chan struct{}) (chan struct{}, error) {
	select {
	case c.pipelineSlots <- struct{}{}:
	case <-c.ctx.Done():
		return nil, c.ctx.Err()
	}
	idempotent := req.Method == http.MethodGet || req.Method == http.MethodHead
	body := &body{ReadCloser: req.Body, conn: c, done: make(chan struct{})}
	if req.Body == http.NoBody || req.ContentLength == 0 {
		body.finish(true)
	}
	if !idempotent || !body.fullyRead() {
		// Only one request at a time may read the connection. A request that must not
		// run twice starts only after all earlier responses are written, since one of
		// them could close the connection and leave it unanswered.
		select {
		case <-prevDone:
		case <-c.ctx.Done():
			return nil, c.ctx.Err()
		}
	}
	body.sendContinue = req.Header.Get("Expect") == "100-continue"
	req.Body = body
	x := &exchange{conn: c, request: req.WithContext(c.ctx), body: body, prevDone: prevDone, done: make(chan struct{})}
	if !c.begin(x) {
		return nil, errConnClosing
	}
	go x.run()
	select {
	case <-body.done:
	case <-c.ctx.Done():
	}
	if !body.fullyRead() || req.Close {
		c.stopReading()
	}
	return x.done, nil
}

// begin records that a request is passed to the handler. It reports false if the
// connection closes after an earlier response, so that the request must not run.
func (c *conn) begin(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readStopped {
		return false
	}
	c.inFlight++
	c.last = x
	return true
}

// stopReading prevents further requests from being read.
func (c *conn) stopReading() {
	c.mu.Lock()
	c.readStopped = true
	c.mu.Unlock()
}

// hasStoppedReading reports whether the connection ends after the responses in progress.
func (c *conn) hasStoppedReading() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readStopped
}

// startResponse reports whether the response that begins is the last one on the
// connection. wantsClose asks for the end of the connection: no further request is
// accepted, but those in progress, which upstreams may have run, get their responses first.
func (c *conn) startResponse(x *exchange, wantsClose bool) (last bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readStopped = c.readStopped || wantsClose
	return c.readStopped && c.last == x
}

// endExchange records the end of an exchange and sets the read deadline of a
// connection that has become idle.
func (c *conn) endExchange() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight--
	if c.inFlight > 0 {
		return
	}
	switch {
	case c.readStopped || c.closingWhenIdle:
		// The expired deadline makes the reading goroutine end the connection.
		if c.awaitingRequest {
			_ = c.SetReadDeadline(time.Unix(1, 0))
		}
	case c.awaitingRequest:
		c.beginIdle()
	}
}

// rejectRequest responds to a request that can't be read, and cancels the context if the caller has disconnected.
func (c *conn) rejectRequest(prevDone <-chan struct{}, err error) {
	var timeout net.Error
	status := 0
	switch {
	case errors.Is(err, errHeaderTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, context.Canceled), errors.Is(err, errConnClosing):
	case errors.As(err, &timeout) && timeout.Timeout():
		// A connection that is idle, is to be closed or sends its header too slowly is closed without a response.
		return
	case errors.As(err, &timeout):
	default:
		status = http.StatusBadRequest
	}
	if status == 0 {
		if !c.hasStoppedReading() {
			c.cancel(errCallerDisconnected)
		}
		return
	}
	<-prevDone
	if c.hasStoppedReading() {
		return
	}
	c.server.logger.Info("request refused", zap.Int("Status", status), zap.NamedError("Cause", err), zap.Stringer("Caller", c.RemoteAddr()))
	_ = c.SetWriteDeadline(time.Now().Add(bodyProgressTimeout))
	_, _ = c.out.WriteString("HTTP/1.1 " + statusLine(status) + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	_ = c.out.Flush()
}
