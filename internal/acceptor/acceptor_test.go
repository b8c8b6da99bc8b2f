package acceptor

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
)

// patience bounds the waits of the tests; none of them is expected to last.
const patience = 10 * time.Second

type fixture struct {
	*Server
	address string
}

func start(t *testing.T, h http.HandlerFunc) fixture {
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
	_ = c.SetDeadline(time.Now().Add(patience))
	t.Cleanup(func() { _ = c.Close() })
	return c, bufio.NewReader(c)
}

func answer(t *testing.T, in *bufio.Reader) (status int, body string, closes bool) {
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

// TestPipeline guards against pipelined requests that wait for each other, or answers out of order.
func TestPipeline(t *testing.T) {
	is := is.New(t)
	second := make(chan struct{})
	f := start(t, func(w http.ResponseWriter, r *http.Request) {
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
	_, first, _ := answer(t, in)
	_, next, _ := answer(t, in)
	is.Equal(first, "/1")
	is.Equal(next, "/2")
}

// TestCallerGone guards against work that goes on after its caller left, also behind pipelined requests.
func TestCallerGone(t *testing.T) {
	gone := make(chan string, 3)
	f := start(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		gone <- r.URL.Path
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
			case <-gone:
			case <-time.After(patience):
				t.Fatal("the handler still waits", text)
			}
		}
	}
}

// TestBody guards against bodies that are not passed whole, and requests behind them that are lost.
func TestBody(t *testing.T) {
	is := is.New(t)
	f := start(t, func(w http.ResponseWriter, r *http.Request) {
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
		_, got, _ := answer(t, in)
		is.Equal(got, want)
	}
	status, _, _ := answer(t, in)
	is.Equal(status, http.StatusContinue)
	_, _ = io.WriteString(c, "x")
	_, got, _ := answer(t, in)
	is.Equal(got, "x")
}

// TestShutdown guards against a planned stop that cuts a request in progress or keeps idle connections.
func TestShutdown(t *testing.T) {
	is := is.New(t)
	entered, release := make(chan struct{}), make(chan struct{})
	f := start(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			close(entered)
			<-release
		}
		_, _ = io.WriteString(w, "done")
	})
	idle, idleIn := f.dial(t)
	_, _ = io.WriteString(idle, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	answer(t, idleIn)
	busy, busyIn := f.dial(t)
	_, _ = io.WriteString(busy, "GET /slow HTTP/1.1\r\nHost: a\r\n\r\n")
	<-entered
	stopped := make(chan error, 1)
	go func() { stopped <- f.Shutdown(context.Background()) }()
	_, err := idleIn.ReadByte()
	is.Equal(err, io.EOF)
	close(release)
	_, body, closes := answer(t, busyIn)
	is.Equal(body, "done")
	is.True(closes)
	is.NoErr(<-stopped)
}

// TestRetire guards against an answer behind one that closes the connection.
func TestRetire(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	f := start(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/1" {
			<-release
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})
	c, in := f.dial(t)
	_, _ = io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
	time.Sleep(20 * time.Millisecond)
	f.Retire()
	close(release)
	_, body, closes := answer(t, in)
	is.Equal(body, "/1")
	is.True(closes)
	_, err := in.ReadByte()
	is.Equal(err, io.EOF)
}

// TestMalformed guards against requests that can't be read but get no answer, or harm the server.
func TestMalformed(t *testing.T) {
	f := start(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
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
		status, _, _ := answer(t, in)
		is.Equal(status, c.status)
	}
}

// TestAbort guards against a broken answer that looks complete.
func TestAbort(t *testing.T) {
	is := is.New(t)
	f := start(t, func(w http.ResponseWriter, _ *http.Request) {
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
