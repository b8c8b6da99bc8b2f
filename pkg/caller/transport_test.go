package caller

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// connectionTracker tracks the state of the connections of a server.
type connectionTracker struct {
	mu     sync.Mutex
	states map[net.Conn]http.ConnState
}

func (c *connectionTracker) observe(conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.states == nil {
		c.states = make(map[net.Conn]http.ConnState)
	}
	c.states[conn] = s
}

func (c *connectionTracker) open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, s := range c.states {
		if s != http.StateClosed {
			n++
		}
	}
	return n
}

func (c *connectionTracker) waitForOpen(t *testing.T, want int) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); c.open() != want; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d connections are open, want %d", c.open(), want)
		}
	}
}

// TestIdleConnections guards against keeping an idle connection to an entry that has
// announced its stop or is no longer listed: the entry closes the connection, and a
// request sent on it at that moment is lost. It also guards against closing
// connections to other entries.
func TestIdleConnections(t *testing.T) {
	is := is.New(t)
	var closing [2]bool
	var trackers [2]connectionTracker
	var address [2]netip.AddrPort
	var hold sync.WaitGroup
	for i := range address {
		s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			hold.Wait()
			if closing[i] && r.URL.Path == "/last" {
				w.Header().Set("Connection", "close")
			}
		}))
		s.Config.ConnState = trackers[i].observe
		s.Start()
		t.Cleanup(s.Close)
		address[i] = netip.MustParseAddrPort(s.Listener.Addr().String())
	}
	pool := &transportPool{}
	client := &http.Client{Transport: pool}
	get := func(i int, path string) {
		resp, err := client.Get("http://" + address[i].String() + path)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
	}
	fill := func(i int) {
		hold.Add(1)
		var work sync.WaitGroup
		for range 4 {
			work.Go(func() { get(i, "/") })
		}
		trackers[i].waitForOpen(t, 4)
		hold.Done()
		work.Wait()
	}
	fill(0)
	fill(1)
	closing[0] = true
	get(0, "/last")
	trackers[0].waitForOpen(t, 0)
	is.Equal(trackers[1].open(), 4)
	fill(0)
	pool.retainOnly([]Entry{{Address: address[0]}})
	trackers[1].waitForOpen(t, 0)
	is.Equal(trackers[0].open(), 4)
	pool.CloseIdleConnections()
	trackers[0].waitForOpen(t, 0)
}

// TestExpiryMargin guards against a request that is sent just before the list of
// entries expires and so arrives after a planned stop has closed the listeners.
func TestExpiryMargin(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		left      time.Duration
		unexpired bool
	}{{0, false}, {50 * time.Millisecond, false}, {time.Second, true}} {
		d := directory{list: []Entry{{Name: "e"}}, expires: now.Add(c.left)}
		_, unexpired := d.unexpired(now)
		is.New(t).Equal(unexpired, c.unexpired)
	}
}
