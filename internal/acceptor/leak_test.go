package acceptor

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
)

// Requests of a caller that leaves, whole and cut.
const (
	leavingGet  = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	leavingPost = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"
)

// TestEndOfLeavingCallers guards against connections and goroutines that stay after a
// caller has left at any point of its requests, by a close, a reset or a half-close.
func TestEndOfLeavingCallers(t *testing.T) {
	known := goleak.IgnoreCurrent()
	texts := map[string]string{"get": leavingGet, "post": leavingPost, "pipelined": leavingGet + leavingGet, "get and post": leavingGet + leavingPost}
	leave := map[string]func(*net.TCPConn){
		"close":      func(c *net.TCPConn) { _ = c.Close() },
		"reset":      func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() },
		"half-close": func(c *net.TCPConn) { _ = c.CloseWrite(); _, _ = io.Copy(io.Discard, c); _ = c.Close() },
	}
	for name, text := range texts {
		for how, end := range leave {
			t.Run(name+", "+how, func(t *testing.T) {
				is := is.New(t)
				f := startServer(t, func(w http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
					select {
					case <-time.After(time.Millisecond):
					case <-r.Context().Done():
					}
					_, _ = io.WriteString(w, "response")
				})
				for n := range len(text) + 1 {
					c, err := net.Dial("tcp", f.address)
					is.NoErr(err)
					_, err = io.WriteString(c, text[:n])
					is.NoErr(err)
					if n%2 == 0 {
						time.Sleep(time.Duration(n%3) * time.Millisecond)
					}
					go end(c.(*net.TCPConn))
				}
				deadline := time.Now().Add(testTimeout)
				for f.Connections() > 0 && time.Now().Before(deadline) {
					time.Sleep(time.Millisecond)
				}
				is.Equal(f.Connections(), 0)
			})
		}
	}
	goleak.VerifyNone(t, known)
}
