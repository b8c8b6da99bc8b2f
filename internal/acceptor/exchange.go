package acceptor

import (
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// maxBuffered bounds the part of a response of unknown length that is buffered
// to determine its Content-Length, in bytes.
const maxBuffered = 8 << 10

var (
	errCallerDisconnected = errors.New("the caller closed the connection")
	errConnClosed         = errors.New("the entry closed the connection")
	errConnClosing        = errors.New("an earlier response closes the connection")
)

func statusLine(status int) string {
	text := http.StatusText(status)
	if text == "" {
		text = "Status " + strconv.Itoa(status)
	}
	return strconv.Itoa(status) + " " + text
}

// exchange is one request with its response; it is the handler's http.ResponseWriter.
type exchange struct {
	conn    *conn
	request *http.Request
	body    *body
	// prevDone is closed once all earlier responses are written.
	prevDone <-chan struct{}
	done     chan struct{}

	header   http.Header
	status   int
	buffered []byte
	// wroteHeader is set once the status line and the headers are written.
	wroteHeader bool
	chunkWriter io.WriteCloser
	// remaining is the number of bytes still missing from the declared Content-Length.
	remaining int64
	err       error
}

func (x *exchange) run() {
	c := x.conn
	defer close(x.done)
	defer func() { <-c.pipelineSlots }()
	defer c.endExchange()
	x.header = make(http.Header)
	if !x.callHandler() {
		<-x.prevDoneOrCancelled()
		c.abort()
		return
	}
	x.finish()
	x.body.finish(false)
}

// prevDoneOrCancelled waits until all earlier responses are written or the
// connection has ended, and returns a closed channel.
func (x *exchange) prevDoneOrCancelled() <-chan struct{} {
	select {
	case <-x.prevDone:
		return x.prevDone
	case <-x.conn.ctx.Done():
		return x.conn.ctx.Done()
	}
}

// callHandler runs the handler and reports false if it panicked.
func (x *exchange) callHandler() (ok bool) {
	defer func() {
		p := recover()
		if p == nil {
			return
		}
		if p != http.ErrAbortHandler { //nolint:errorlint // A panic value, compared as net/http does.
			x.conn.server.logger.Error("handler panicked", zap.Any("Panic", p), zap.Stack("Stack"))
		}
		ok = false
	}()
	x.conn.server.handler.ServeHTTP(x, x.request)
	return true
}

// Header returns the headers of the response.
func (x *exchange) Header() http.Header { return x.header }

// WriteHeader sets the status of the response; only the first call has an effect.
func (x *exchange) WriteHeader(status int) {
	if x.status == 0 {
		x.status = status
	}
}

// Write buffers a short body; otherwise it waits until all earlier responses are written and writes b.
func (x *exchange) Write(b []byte) (int, error) {
	x.WriteHeader(http.StatusOK)
	if !x.wroteHeader && x.header.Get("Content-Length") == "" && len(x.buffered)+len(b) <= maxBuffered {
		x.buffered = append(x.buffered, b...)
		return len(b), nil
	}
	if err := x.writeHead(-1); err != nil {
		return 0, err
	}
	return x.write(b)
}

// Flush sends the part of the response that has been written so far.
func (x *exchange) Flush() {
	x.WriteHeader(http.StatusOK)
	if x.writeHead(-1) == nil {
		x.err = x.conn.out.Flush()
	}
}

func (x *exchange) write(b []byte) (int, error) {
	if x.err != nil || x.request.Method == http.MethodHead || len(b) == 0 {
		return len(b), x.err
	}
	_ = x.conn.SetWriteDeadline(time.Now().Add(bodyProgressTimeout))
	n := 0
	switch {
	case x.chunkWriter != nil:
		n, x.err = x.chunkWriter.Write(b)
	case int64(len(b)) > x.remaining:
		x.err = http.ErrContentLength
	default:
		n, x.err = x.conn.out.Write(b)
		x.remaining -= int64(n)
	}
	return n, x.err
}

// writeHead writes the status line and the headers; bodySize is the length of
// the body, or -1 if it is unknown.
func (x *exchange) writeHead(bodySize int64) error {
	if x.wroteHeader || x.err != nil {
		return x.err
	}
	select {
	case <-x.prevDone:
	case <-x.conn.ctx.Done():
		x.err = errCallerDisconnected
		return x.err
	}
	c := x.conn
	wantsClose := x.wantsClose()
	x.header.Del("Connection")
	if c.startResponse(x, wantsClose) {
		x.header.Set("Connection", "close")
	}
	x.wroteHeader = true
	x.setFraming(bodySize)
	_ = c.SetWriteDeadline(time.Now().Add(bodyProgressTimeout))
	_, _ = c.out.WriteString("HTTP/1.1 " + statusLine(x.status) + "\r\n")
	_ = x.header.Write(c.out)
	_, x.err = c.out.WriteString("\r\n")
	buffered := x.buffered
	x.buffered = nil
	if x.err == nil {
		_, _ = x.write(buffered)
	}
	return x.err
}

// setFraming chooses Content-Length or chunked encoding for the body.
func (x *exchange) setFraming(bodySize int64) {
	if bodySize >= 0 && bodyAllowed(x.status) {
		x.header.Set("Content-Length", strconv.FormatInt(bodySize, 10))
	}
	if n, err := strconv.ParseInt(x.header.Get("Content-Length"), 10, 64); err == nil {
		x.remaining = n
		return
	}
	if bodyAllowed(x.status) && x.request.Method != http.MethodHead {
		x.header.Set("Transfer-Encoding", "chunked")
		x.chunkWriter = httputil.NewChunkedWriter(x.conn.out)
	}
}

func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// wantsClose reports whether the connection is to end after the requests in progress.
func (x *exchange) wantsClose() bool {
	return x.request.Close || x.conn.server.closeAfterResponse.Load() || x.header.Get("Connection") == "close" || !x.body.fullyRead()
}

// finish writes the rest of the response; it aborts the connection if the response can't be completed.
func (x *exchange) finish() {
	x.WriteHeader(http.StatusOK)
	err := x.writeHead(int64(len(x.buffered)))
	if err == nil && x.chunkWriter != nil {
		err = x.chunkWriter.Close()
		if err == nil {
			_, err = x.conn.out.WriteString("\r\n")
		}
	}
	if err == nil && x.remaining > 0 && x.request.Method != http.MethodHead && bodyAllowed(x.status) {
		err = io.ErrUnexpectedEOF
	}
	if err == nil {
		err = x.conn.out.Flush()
	}
	if err != nil {
		<-x.prevDoneOrCancelled()
		x.conn.abort()
	}
}

type body struct {
	io.ReadCloser
	conn *conn
	// sendContinue is set until "100 Continue" is sent to a caller that expects it.
	sendContinue bool
	// done is closed once the body was read to its end or abandoned.
	done chan struct{}

	mu    sync.Mutex
	atEOF bool
	ended bool
}

// Read reads a part of the body and ends the connection if no byte arrives within bodyProgressTimeout.
func (b *body) Read(p []byte) (int, error) {
	if b.fullyRead() {
		return 0, io.EOF
	}
	if b.sendContinue {
		b.sendContinue = false
		_, _ = b.conn.out.WriteString("HTTP/1.1 100 Continue\r\n\r\n")
		_ = b.conn.out.Flush()
	}
	_ = b.conn.SetReadDeadline(time.Now().Add(bodyProgressTimeout))
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.finish(errors.Is(err, io.EOF))
		if !errors.Is(err, io.EOF) {
			b.conn.cancel(errors.Wrap(err, "request body"))
		}
	}
	return n, err
}

// Close leaves the rest of the body unread.
func (b *body) Close() error { return nil }

// finish records the end of the body; only the first call has an effect.
func (b *body) finish(atEOF bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return
	}
	b.ended = true
	b.atEOF = atEOF
	close(b.done)
}

func (b *body) fullyRead() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.atEOF
}

var _ http.Flusher = (*exchange)(nil)
