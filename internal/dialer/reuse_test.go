package dialer

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestContextOfEarlierRequest guards against a connection that is closed under a request
// because the context of an earlier request on it ends, whose response is complete.
func TestContextOfEarlierRequest(t *testing.T) {
	is := is.New(t)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = lis.Close() }()
	second, release := make(chan struct{}), make(chan struct{})
	go func() {
		c, err := lis.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		in := bufio.NewReader(c)
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		_, _ = io.WriteString(c, okResponse("1", ""))
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		close(second)
		<-release
		_, _ = io.WriteString(c, okResponse("2", "b"))
		_, _ = io.Copy(io.Discard, c)
	}()
	p := New(netip.MustParseAddrPort(lis.Addr().String()), 1)
	defer p.Retire()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	first, cancelFirst := context.WithCancel(ctx)
	defer cancelFirst()
	req, err := http.NewRequestWithContext(first, http.MethodGet, "http://upstream/", nil)
	is.NoErr(err)
	resp, _, err := p.RoundTrip(req, RoundTripOptions{Match: matchID("1")})
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	for p.idleCount() == 0 {
		time.Sleep(time.Millisecond)
	}
	type result struct {
		body string
		sent SendStatus
		err  error
	}
	done := make(chan result, 1)
	go func() {
		var r result
		r.body, r.sent, r.err = get(ctx, p, RoundTripOptions{Match: matchID("2")})
		done <- r
	}()
	<-second
	cancelFirst()
	time.Sleep(20 * time.Millisecond)
	close(release)
	r := <-done
	is.NoErr(r.err)
	is.Equal(r.body, "b")
	is.True(r.sent.Reused)
}

// idleCount returns the number of idle connections.
func (p *Pool) idleCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle)
}
