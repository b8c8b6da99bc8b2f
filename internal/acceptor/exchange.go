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

// maxCollected is the part of an answer of unknown length that is collected to learn its length.
const maxCollected = 8 << 10

var (
	errCallerGone = errors.New("the caller closed the connection")
	errBehindLast = errors.New("an earlier answer closes the connection")
)

func statusLine(status int) string {
	text := http.StatusText(status)
	if text == "" {
		text = "Status " + strconv.Itoa(status)
	}
	return strconv.Itoa(status) + " " + text
}

// exchange is one request with its answer; it is the handler's http.ResponseWriter.
type exchange struct {
	conn    *conn
	request *http.Request
	body    *body
	// turn is closed once all earlier answers are written.
	turn     <-chan struct{}
	answered chan struct{}

	header    http.Header
	status    int
	collected []byte
	// begun is set once the head of the answer is written.
	begun bool
	chunk io.WriteCloser
	// left is the number of bytes that the announced length still lacks.
	left int64
	err  error
}

func (x *exchange) run() {
	c := x.conn
	defer close(x.answered)
	defer func() { <-c.slots }()
	defer c.ended()
	x.header = make(http.Header)
	if !x.handle() {
		<-x.turned()
		c.abort()
		return
	}
	x.complete()
	x.body.finish(false)
}

// turned is closed once the turn has come or the connection has ended.
func (x *exchange) turned() <-chan struct{} {
	select {
	case <-x.turn:
		return x.turn
	case <-x.conn.ctx.Done():
		return x.conn.ctx.Done()
	}
}

// handle reports false if the handler gave the answer up.
func (x *exchange) handle() (ok bool) {
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

// Header returns the headers of the answer.
func (x *exchange) Header() http.Header { return x.header }

// WriteHeader sets the status of the answer.
func (x *exchange) WriteHeader(status int) {
	if x.status == 0 {
		x.status = status
	}
}

// Write writes a part of the answer once its turn has come.
func (x *exchange) Write(b []byte) (int, error) {
	x.WriteHeader(http.StatusOK)
	if !x.begun && x.header.Get("Content-Length") == "" && len(x.collected)+len(b) <= maxCollected {
		x.collected = append(x.collected, b...)
		return len(b), nil
	}
	if err := x.begin(-1); err != nil {
		return 0, err
	}
	return x.write(b)
}

// Flush writes what the answer has so far.
func (x *exchange) Flush() {
	x.WriteHeader(http.StatusOK)
	if x.begin(-1) == nil {
		x.err = x.conn.out.Flush()
	}
}

func (x *exchange) write(b []byte) (int, error) {
	if x.err != nil || x.request.Method == http.MethodHead || len(b) == 0 {
		return len(b), x.err
	}
	_ = x.conn.SetWriteDeadline(time.Now().Add(progressPatience))
	n := 0
	switch {
	case x.chunk != nil:
		n, x.err = x.chunk.Write(b)
	case int64(len(b)) > x.left:
		x.err = http.ErrContentLength
	default:
		n, x.err = x.conn.out.Write(b)
		x.left -= int64(n)
	}
	return n, x.err
}

// begin writes the head of the answer; size is the length of its body, -1 if it is not known.
func (x *exchange) begin(size int64) error {
	if x.begun || x.err != nil {
		return x.err
	}
	select {
	case <-x.turn:
	case <-x.conn.ctx.Done():
		x.err = errCallerGone
		return x.err
	}
	c := x.conn
	closes := x.closes()
	if !c.claim(closes) {
		x.err = errBehindLast
		return x.err
	}
	if closes {
		x.header.Set("Connection", "close")
	}
	x.begun = true
	x.frame(size)
	_ = c.SetWriteDeadline(time.Now().Add(progressPatience))
	_, _ = c.out.WriteString("HTTP/1.1 " + statusLine(x.status) + "\r\n")
	_ = x.header.Write(c.out)
	_, x.err = c.out.WriteString("\r\n")
	collected := x.collected
	x.collected = nil
	if x.err == nil {
		_, _ = x.write(collected)
	}
	return x.err
}

// frame decides how the end of the body is marked.
func (x *exchange) frame(size int64) {
	if size >= 0 && bodyAllowed(x.status) {
		x.header.Set("Content-Length", strconv.FormatInt(size, 10))
	}
	if n, err := strconv.ParseInt(x.header.Get("Content-Length"), 10, 64); err == nil {
		x.left = n
		return
	}
	if bodyAllowed(x.status) && x.request.Method != http.MethodHead {
		x.header.Set("Transfer-Encoding", "chunked")
		x.chunk = httputil.NewChunkedWriter(x.conn.out)
	}
}

func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// closes reports whether the connection ends with this answer.
func (x *exchange) closes() bool {
	return x.request.Close || x.conn.server.retiring.Load() || x.header.Get("Connection") == "close" || !x.body.complete()
}

// complete writes what is left of the answer; the connection is aborted if the answer can't be whole.
func (x *exchange) complete() {
	x.WriteHeader(http.StatusOK)
	err := x.begin(int64(len(x.collected)))
	if err == nil && x.chunk != nil {
		err = x.chunk.Close()
		if err == nil {
			_, err = x.conn.out.WriteString("\r\n")
		}
	}
	if err == nil && x.left > 0 && x.request.Method != http.MethodHead && bodyAllowed(x.status) {
		err = io.ErrUnexpectedEOF
	}
	if err == nil {
		err = x.conn.out.Flush()
	}
	switch {
	case errors.Is(err, errBehindLast):
	case err != nil:
		<-x.turned()
		x.conn.abort()
	case x.header.Get("Connection") == "close":
		// Requests behind this answer count as not read; their work ends.
		x.conn.cancel()
	}
}

// body is the body of a request.
type body struct {
	io.ReadCloser
	conn *conn
	// continues is set until a caller that waits for it is told to send the body.
	continues bool
	// read is closed once the body was read or given up.
	read chan struct{}

	mu    sync.Mutex
	whole bool
	ended bool
}

// Read reads a part of the body and ends the connection if none comes for too long.
func (b *body) Read(p []byte) (int, error) {
	if b.complete() {
		return 0, io.EOF
	}
	if b.continues {
		b.continues = false
		_, _ = b.conn.out.WriteString("HTTP/1.1 100 Continue\r\n\r\n")
		_ = b.conn.out.Flush()
	}
	_ = b.conn.SetReadDeadline(time.Now().Add(progressPatience))
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.finish(errors.Is(err, io.EOF))
		if !errors.Is(err, io.EOF) {
			b.conn.cancel()
		}
	}
	return n, err
}

// Close leaves the rest of the body unread.
func (b *body) Close() error { return nil }

// finish notes the end of the body; only the first call counts.
func (b *body) finish(whole bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return
	}
	b.ended = true
	b.whole = whole
	close(b.read)
}

func (b *body) complete() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.whole
}

var _ http.Flusher = (*exchange)(nil)
