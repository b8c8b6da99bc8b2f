package driver

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azuretrestle/azuretrestle/internal/faker"
	"github.com/azuretrestle/azuretrestle/internal/reducer"
	"github.com/azuretrestle/azuretrestle/internal/versioner"
	"github.com/azuretrestle/azuretrestle/pkg/classifier"
)

// TestCallerDisconnects guards against work that continues after its caller has
// disconnected, before or during the response, and against counting the
// disconnect as a failure of the upstream.
func TestCallerDisconnects(t *testing.T) {
	for _, size := range []int{0, 64 << 20} {
		t.Run(fmt.Sprint("answer=", size), func(t *testing.T) {
			b := newTestbed(t, 1, nil)
			b.upstreams[0].SetFaults(faker.Faults{AnswerBytes: size})
			if size == 0 {
				b.upstreams[0].Mean = time.Hour
			}
			c, err := net.Dial("tcp", strings.TrimPrefix(b.entry, "http://"))
			b.is.NoErr(err)
			_, err = io.WriteString(c, "GET /call/S/Lookup/x HTTP/1.1\r\nHost: e\r\n\r\n")
			b.is.NoErr(err)
			b.waitUntil(func() bool { return b.upstreams[0].State().Executed > 0 })
			b.is.NoErr(c.Close())
			waitForEvent[reducer.CallerDisconnected](b)
			ev, ok := lastEvent[reducer.UpstreamFinished](b)
			b.is.True(!ok || !ev.Truncated)
			b.waitUntil(func() bool { return b.upstreams[0].State().Load == faker.Load{} })
		})
	}
}

// TestSlowPeers guards against callers that keep a request open by stalling while
// they send the body or read the response.
func TestSlowPeers(t *testing.T) {
	for _, c := range []struct{ name, rank, request string }{
		{"body buffered", "Once", "Content-Length: 10\r\n\r\nabc"},
		{"body streamed", "Lookup", "Content-Length: 1000000\r\n\r\nabc"},
		{"answer not read", "Lookup", "Content-Length: 0\r\n\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestbed(t, 1, nil)
			b.driver.stallTimeout = 50 * time.Millisecond
			b.upstreams[0].SetFaults(faker.Faults{AnswerBytes: 64 << 20})
			conn, err := net.Dial("tcp", strings.TrimPrefix(b.entry, "http://"))
			b.is.NoErr(err)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, "POST /call/S/"+c.rank+"/x HTTP/1.1\r\nHost: e\r\n"+c.request)
			b.is.NoErr(err)
			time.Sleep(20 * b.driver.stallTimeout)
			b.driver.mu.Lock()
			defer b.driver.mu.Unlock()
			b.is.Equal(len(b.driver.calls), 0)
			b.is.Equal(len(b.driver.attempts), 0)
			b.is.Equal(b.driver.bodyMemory.total.used.Load(), int64(0))
		})
	}
}

// TestHedge guards against a caller that still waits for the inline attempt after
// another attempt has won, and against a losing attempt that is not cancelled.
func TestHedge(t *testing.T) {
	var b *testbed
	b = newTestbed(t, 2, func(ev reducer.Event) ([]reducer.Effect, bool) {
		switch ev := ev.(type) {
		case reducer.RequestArrived:
			var out []reducer.Effect
			for i, s := range b.servers {
				out = append(out, reducer.Dispatch{
					Attempt: reducer.AttemptID{Request: ev.ID, Number: uint32(i + 1)}, Service: "S", Upstream: b.upstreams[i].Name,
					Address: s.Address(), Connections: 4, Deadline: ev.Now.Add(time.Hour),
				})
			}
			return out, true
		case reducer.UpstreamAnswered:
			return []reducer.Effect{reducer.Relay{Attempt: ev.Attempt}}, true
		}
		return nil, false
	})
	b.upstreams[0].Mean = time.Hour
	r := b.do(http.MethodGet, "/call/S/Lookup/x", nil)
	b.is.Equal(r.body, "u1 GET /x 0\n")
	b.waitUntil(func() bool { return b.upstreams[0].State().Load == faker.Load{} })
	waitForEvent[reducer.AttemptFailed](b)
}

// TestPanic guards against a panic in one request that ends the process or leaves the driver's lock held.
func TestPanic(t *testing.T) {
	b := newTestbed(t, 1, func(ev reducer.Event) ([]reducer.Effect, bool) {
		if a, ok := ev.(reducer.RequestArrived); ok && a.Key != "" && a.BodySize == 5 {
			panic("fault")
		}
		return nil, false
	})
	b.client.Timeout = 100 * time.Millisecond
	b.is.True(b.do(http.MethodPost, "/call/S/Lookup/x", strings.NewReader("panic")).err != nil)
	b.client.Timeout = testTimeout
	b.is.Equal(b.do(http.MethodGet, "/call/S/Lookup/x", nil).status, http.StatusOK)
}

// TestLogDown guards against an outage of the log that stops the serving of requests.
func TestLogDown(t *testing.T) {
	b := newTestbed(t, 1, nil)
	b.log.SetMode(faker.LogDown)
	waitForEvent[reducer.LogFailed](b)
	b.is.Equal(b.do(http.MethodGet, "/call/S/Lookup/x", nil).status, http.StatusOK)
	b.logServer.Close()
	b.is.Equal(b.do(http.MethodGet, "/call/S/Lookup/x", nil).status, http.StatusOK)
}

// TestTwoEntries guards against a failure anywhere between a Send effect of one
// entry and the event at another, and against a missing PeerUnreachable event once
// the other entry has ended.
func TestTwoEntries(t *testing.T) {
	is := is.New(t)
	lis := newListener(t)
	address := netip.MustParseAddrPort(lis.Addr().String())
	sent := reducer.ConfigRequest{Request: versioner.Request{Next: 7}}
	b := newTestbed(t, 0, nil, WithPeers(lis, nil))
	a := newTestbed(t, 0, func(ev reducer.Event) ([]reducer.Effect, bool) {
		_, ok := ev.(reducer.EntriesRequested)
		return []reducer.Effect{reducer.Send{To: "b", Address: address, Incarnation: 1, Message: sent}}, ok
	})
	send := func() {
		a.driver.post(func(s reducer.Stamp) reducer.Event { return reducer.EntriesRequested{Stamp: s} })
	}
	send()
	got := waitForEvent[reducer.PeerMessageReceived](b)
	is.Equal(got.Message, sent)
	is.Equal(got.From, "e1")
	is.Equal(got.FromIncarnation, uint64(1))
	b.driver.Close()
	send()
	is.Equal(waitForEvent[reducer.PeerUnreachable](a).Peer, "b")
}

// stoppingNode replaces the node's handling of a planned stop: it closes the
// listeners at once and ends the driver when no request is in progress.
type stoppingNode struct {
	// testbed is set before the first request.
	testbed  *testbed
	mu       sync.Mutex
	stopping bool
	// inFlight holds the requests in progress; the value is true while the response is streamed.
	inFlight map[reducer.RequestID]bool
}

func (s *stoppingNode) handle(ev reducer.Event) ([]reducer.Effect, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch ev := ev.(type) {
	case reducer.RequestArrived:
		if s.inFlight == nil {
			s.inFlight = make(map[reducer.RequestID]bool)
		}
		s.inFlight[ev.ID] = false
	case reducer.UpstreamAnswered:
		s.inFlight[ev.Attempt.Request] = true
		if ev.Whole {
			delete(s.inFlight, ev.Attempt.Request)
		}
	case reducer.UpstreamFinished:
		delete(s.inFlight, ev.Attempt.Request)
	case reducer.CallerDisconnected:
		delete(s.inFlight, ev.ID)
	case reducer.StopRequested:
		s.stopping = true
		return []reducer.Effect{reducer.Stop{Phase: reducer.StopListening}}, true
	case reducer.TimerFired:
		if s.stopping && s.idle() {
			return []reducer.Effect{reducer.Stop{Phase: reducer.StopDone}}, true
		}
	}
	return nil, false
}

// idle reports whether all requests have ended. Refused ones are no longer in the
// driver's calls. The driver's lock is held, since idle is called during a step.
func (s *stoppingNode) idle() bool {
	for id, streams := range s.inFlight {
		if streams || s.testbed.driver.calls[id] != nil {
			return false
		}
	}
	return true
}

// TestPlannedStop guards against a request in progress that is cut off by a planned
// stop, and against a stop that never ends. The callers start no new requests, as
// in production, where they learn of other entries before the listeners close.
func TestPlannedStop(t *testing.T) {
	const callers = 16
	s := &stoppingNode{}
	b := newTestbed(t, 2, s.handle)
	s.testbed = b
	for _, u := range b.upstreams {
		u.Mean = 300 * time.Millisecond
		u.SetFaults(faker.Faults{AnswerBytes: 2 * maxBufferedResponse})
	}
	var stopCalls atomic.Bool
	var finished, incomplete atomic.Int64
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			for !stopCalls.Load() {
				r := b.do(http.MethodGet, "/call/S/Lookup/x", nil)
				if r.err != nil || r.status != http.StatusOK || len(r.body) != 2*maxBufferedResponse {
					incomplete.Add(1)
				}
				finished.Add(1)
			}
		})
	}
	time.Sleep(450 * time.Millisecond)
	stopCalls.Store(true)
	time.Sleep(50 * time.Millisecond)
	before := finished.Load()
	b.driver.Stop()
	select {
	case <-b.driver.Done():
	case <-time.After(testTimeout):
		t.Fatal("planned stop did not end")
	}
	wg.Wait()
	b.is.True(finished.Load() > before)
	b.is.Equal(incomplete.Load(), int64(0))
	_, err := net.Dial("tcp", strings.TrimPrefix(b.entry, "http://"))
	b.is.True(err != nil)
}

// TestStopAfterRefusal guards against a planned stop that still waits for a request
// which ended with a refusal, here after a time-out. On a busy host, requests of
// TestPlannedStop may be refused.
func TestStopAfterRefusal(t *testing.T) {
	s := &stoppingNode{}
	b := newTestbed(t, 1, s.handle)
	s.testbed = b
	b.upstreams[0].Mean = time.Hour
	r := b.do(http.MethodGet, "/call/S/Lookup/x", nil)
	b.is.Equal(r.status, http.StatusGatewayTimeout)
	b.driver.Stop()
	select {
	case <-b.driver.Done():
	case <-time.After(testTimeout):
		t.Fatal("planned stop did not end")
	}
}

// TestStopWithUnusedConnection guards against a planned stop that waits for seconds because
// a caller holds a connection on which it has sent nothing.
func TestStopWithUnusedConnection(t *testing.T) {
	s := &stoppingNode{}
	b := newTestbed(t, 1, s.handle)
	s.testbed = b
	c, err := net.Dial("tcp", strings.TrimPrefix(b.entry, "http://"))
	b.is.NoErr(err)
	defer func() { _ = c.Close() }()
	b.is.Equal(b.do(http.MethodGet, "/call/S/Lookup/x", nil).status, http.StatusOK) // c was accepted before
	b.driver.Stop()
	select {
	case <-b.driver.Done():
	case <-time.After(4 * unusedTimeout):
		t.Fatal("planned stop did not end")
	}
}

// TestSecondStop guards against a second stop request that waits for requests in
// progress, and against a reply to their callers other than outcome Unknown.
func TestSecondStop(t *testing.T) {
	s := &stoppingNode{}
	b := newTestbed(t, 1, s.handle)
	s.testbed = b
	b.upstreams[0].Mean = time.Hour
	ended := make(chan result, 1)
	go func() { ended <- b.do(http.MethodGet, "/call/S/Lookup/x", nil) }()
	b.waitUntil(func() bool { return b.upstreams[0].State().Executed > 0 })
	b.driver.Stop()
	start := time.Now()
	b.driver.Stop()
	b.is.True(time.Since(start) < time.Second)
	// The caller gets either an error or a reply with outcome Unknown.
	got := <-ended
	b.is.True(got.err != nil || got.status == http.StatusBadGateway && got.outcome == classifier.OutcomeUnknown)
}
