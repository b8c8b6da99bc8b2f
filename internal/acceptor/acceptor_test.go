package acceptor

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// testTimeout bounds each wait of the tests; none of them is expected to reach it.
const testTimeout = 10 * time.Second

type fixture struct {
	*Server
	address string
}

func startServer(t *testing.T, h http.HandlerFunc) fixture {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(h, zap.NewNop())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(lis)
	}()
	t.Cleanup(func() {
		s.Close()
		<-done
	})
	return fixture{s, lis.Addr().String()}
}

func (f fixture) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", f.address)
	if err != nil {
		t.Fatal(err)
	}
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	t.Cleanup(func() { _ = c.Close() })
	return c, bufio.NewReader(c)
}

func readResponse(t *testing.T, in *bufio.Reader) (status int, body string, closesConn bool) {
	t.Helper()
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(b), resp.Close
}

// TestPipeline guards against pipelined requests that wait for each other, and
// against responses out of order.
func TestPipeline(t *testing.T) {
	is := is.New(t)
	second := make(chan struct{})
	f := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/1" {
			<-second
		} else {
			close(second)
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})
	c, in := f.dial(t)
	_, err := io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
	is.NoErr(err)
	_, first, _ := readResponse(t, in)
	_, next, _ := readResponse(t, in)
	is.Equal(first, "/1")
	is.Equal(next, "/2")
}

// TestCallerDisconnected guards against handlers that keep running after the caller has
// disconnected, also for pipelined requests, and against a cause that names the entry.
func TestCallerDisconnected(t *testing.T) {
	cancelled := make(chan error, 3)
	f := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		cancelled <- context.Cause(r.Context())
	})
	for _, text := range []string{
		"GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n",
		"POST /3 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab",
		"GET /4 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
	} {
		c, _ := f.dial(t)
		_, _ = io.WriteString(c, text)
		time.Sleep(20 * time.Millisecond)
		_ = c.Close()
		for range strings.Count(text, "HTTP") {
			select {
			case cause := <-cancelled:
				if !errors.Is(cause, errCallerDisconnected) {
					t.Error("handler cancelled with cause", cause)
				}
			case <-time.After(testTimeout):
				t.Fatal("handler not cancelled after the caller disconnected:", text)
			}
		}
	}
}

// TestBody guards against truncated request bodies, and against losing the request that follows a body.
func TestBody(t *testing.T) {
	is := is.New(t)
	f := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		_, _ = w.Write(b)
	})
	c, in := f.dial(t)
	_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"+
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ndef\r\n0\r\n\r\n"+
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"+
		"POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n")
	is.NoErr(err)
	for _, want := range []string{"abc", "def", ""} {
		_, got, _ := readResponse(t, in)
		is.Equal(got, want)
	}
	status, _, _ := readResponse(t, in)
	is.Equal(status, http.StatusContinue)
	_, _ = io.WriteString(c, "x")
	_, got, _ := readResponse(t, in)
	is.Equal(got, "x")
}

// TestShutdown guards against a shutdown that interrupts a request in flight or
// leaves idle connections open.
func TestShutdown(t *testing.T) {
	is := is.New(t)
	entered, release := make(chan struct{}), make(chan struct{})
	f := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			close(entered)
			<-release
		}
		_, _ = io.WriteString(w, "done")
	})
	idle, idleIn := f.dial(t)
	_, _ = io.WriteString(idle, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	readResponse(t, idleIn)
	busy, busyIn := f.dial(t)
	_, _ = io.WriteString(busy, "GET /slow HTTP/1.1\r\nHost: a\r\n\r\n")
	<-entered
	stopped := make(chan error, 1)
	go func() { stopped <- f.Shutdown(context.Background()) }()
	_, err := idleIn.ReadByte()
	is.Equal(err, io.EOF)
	close(release)
	_, body, closes := readResponse(t, busyIn)
	is.Equal(body, "done")
	is.True(closes)
	is.NoErr(<-stopped)
}

// TestPipelineDuringStop guards against a planned stop that drops pipelined requests in
// progress: only the last response may close the connection, and none may follow it.
func TestPipelineDuringStop(t *testing.T) {
	for _, c := range []struct {
		name string
		// announce makes the server or the handler ask for the end of the connection.
		announce func(f fixture, h http.Header)
	}{
		{"announced by the server", func(f fixture, _ http.Header) { f.AnnounceClose() }},
		{"asked for by the handler", func(_ fixture, h http.Header) { h.Set("Connection", "close") }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var f fixture
			var started sync.WaitGroup
			started.Add(3)
			release := make(chan struct{})
			f = startServer(t, func(w http.ResponseWriter, r *http.Request) {
				started.Done()
				<-release
				c.announce(f, w.Header())
				_, _ = io.WriteString(w, r.URL.Path)
			})
			conn, in := f.dial(t)
			_, err := io.WriteString(conn, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\nGET /3 HTTP/1.1\r\nHost: a\r\n\r\n")
			is.NoErr(err)
			started.Wait()
			close(release)
			for _, want := range []string{"/1", "/2", "/3"} {
				_, body, closes := readResponse(t, in)
				is.Equal(body, want)
				is.Equal(closes, want == "/3")
			}
			_, err = in.ReadByte()
			is.Equal(err, io.EOF)
		})
	}
}

// TestRequestBehindClosingResponse guards against a request that is handled, but not
// answered, because it arrives after a response that closes the connection has begun.
func TestRequestBehindClosingResponse(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			is := is.New(t)
			var handled atomic.Int64
			release := make(chan struct{})
			f := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
				handled.Add(1)
				w.Header().Set("Content-Length", "2")
				_, _ = io.WriteString(w, "a")
				w.(http.Flusher).Flush()
				<-release
				_, _ = io.WriteString(w, "b")
			})
			f.AnnounceClose()
			c, in := f.dial(t)
			_, err := io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
			is.NoErr(err)
			resp, err := http.ReadResponse(in, nil)
			is.NoErr(err)
			defer func() { _ = resp.Body.Close() }()
			is.True(resp.Close)
			_, err = io.WriteString(c, method+" /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
			is.NoErr(err)
			time.Sleep(20 * time.Millisecond)
			close(release)
			body, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.Equal(string(body), "ab")
			_, err = in.ReadByte()
			is.Equal(err, io.EOF)
			is.Equal(handled.Load(), int64(1))
		})
	}
}

// TestIdleLimitChanges guards against a connection that was idle when the limits changed
// and is closed by the earlier timeout: too early, or long after the new one.
func TestIdleLimitChanges(t *testing.T) {
	const short, long = 100 * time.Millisecond, testTimeout
	for _, c := range []struct {
		name          string
		before, after time.Duration
		closed        bool
	}{
		{"raised", short, long, false},
		{"lowered", long, short, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := startServer(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
			f.SetLimits(Limits{Idle: c.before})
			conn, in := f.dial(t)
			_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			is.NoErr(err)
			readResponse(t, in)
			time.Sleep(short / 2)
			f.SetLimits(Limits{Idle: c.after})
			_ = conn.SetReadDeadline(time.Now().Add(3 * short))
			_, err = in.ReadByte()
			is.Equal(errors.Is(err, io.EOF), c.closed)
		})
	}
}

// TestMalformedBehindClosingResponse guards against a refusal of a malformed request that
// follows a response with "Connection: close".
func TestMalformedBehindClosingResponse(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	f := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		<-release
		w.WriteHeader(http.StatusNoContent)
	})
	c, in := f.dial(t)
	_, err := io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nnonsense\r\n\r\n")
	is.NoErr(err)
	time.Sleep(20 * time.Millisecond)
	f.AnnounceClose()
	close(release)
	status, _, closes := readResponse(t, in)
	is.Equal(status, http.StatusNoContent)
	is.True(closes)
	_, err = in.ReadByte()
	is.Equal(err, io.EOF)
}

// TestMalformedRequest guards against malformed or oversized requests that get no response or stop the server.
func TestMalformedRequest(t *testing.T) {
	f := startServer(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	f.SetLimits(Limits{Header: 100})
	for _, c := range []struct {
		text   string
		status int
	}{
		{"nonsense\r\n\r\n", http.StatusBadRequest},
		{"GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 16<<10) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		{"GET / HTTP/1.1\r\nHost: a\r\n\r\n", http.StatusNoContent},
	} {
		is := is.New(t)
		conn, in := f.dial(t)
		_, _ = io.WriteString(conn, c.text)
		status, _, _ := readResponse(t, in)
		is.Equal(status, c.status)
	}
}

// TestTruncatedResponse guards against a truncated response that the caller takes for
// complete, here because the handler wrote less than the declared Content-Length.
func TestTruncatedResponse(t *testing.T) {
	is := is.New(t)
	f := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "10")
		_, _ = io.WriteString(w, "short")
	})
	c, in := f.dial(t)
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	resp, err := http.ReadResponse(in, nil)
	if err == nil {
		_, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
	}
	is.True(err != nil)
}
