package dialer

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// startEndless starts a fake upstream that responds with a prefix and then repeats a text
// until the client closes the connection. It returns the number of bytes written.
func startEndless(t *testing.T, prefix, repeated string) (netip.AddrPort, *atomic.Int64) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	var written atomic.Int64
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			go writeEndless(c, prefix, repeated, &written)
		}
	}()
	return netip.MustParseAddrPort(lis.Addr().String()), &written
}

func writeEndless(c net.Conn, prefix, repeated string, written *atomic.Int64) {
	defer func() { _ = c.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	block := []byte(strings.Repeat(repeated, 1+(64<<10)/len(repeated)))
	_, err := io.WriteString(c, prefix)
	for err == nil {
		var n int
		n, err = c.Write(block)
		written.Add(int64(n))
	}
}

// TestEndlessResponse guards against an upstream that fills the memory of the entry with
// bytes without end, in the head of a response, in interim responses, in a response to
// another request or in a body that is not read.
func TestEndlessResponse(t *testing.T) {
	// maxWritten exceeds what the socket buffers of both sides hold.
	const maxWritten = 32 << 20
	for _, c := range []struct {
		name, prefix, repeated string
		// ok is set if the response begins well; only its body has no end.
		ok bool
	}{
		{"status line", "", "x", false},
		{"header line", "HTTP/1.1 200 OK\r\nX: ", "x", false},
		{"header lines", "HTTP/1.1 200 OK\r\n", "X: x\r\n", false},
		{"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n", false},
		{"interim response", "HTTP/1.1 103 Early Hints\r\n", "X: x\r\n", false},
		{"response to another request", "HTTP/1.1 200 OK\r\nId: 0\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", false},
		{"responses to other requests", "", "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 0\r\n\r\n", false},
		{"trailer", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: x\r\n", false},
		{"body that is not read", "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", "x", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			address, written := startEndless(t, c.prefix, c.repeated)
			p := New(address, 2)
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://upstream/", nil)
			is.NoErr(err)
			resp, _, err := p.RoundTrip(req, RoundTripOptions{Match: matchID("1")})
			if err == nil {
				_, err = io.CopyN(io.Discard, resp.Body, 1<<10)
				_ = resp.Body.Close()
			}
			is.Equal(err == nil, c.ok)
			waitClosed(p)
			is.Equal(p.Open(), 0)
			is.NoErr(ctx.Err()) // not only the deadline ended it
			time.Sleep(20 * time.Millisecond)
			is.True(written.Load() < maxWritten)
		})
	}
}
