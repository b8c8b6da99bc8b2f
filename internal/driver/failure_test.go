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

// TestCallerHangsUp guards against work that goes on for a caller who left,
// before the answer or in the middle of it, and against blaming the upstream.
func TestCallerHangsUp(t *testing.T) {
	for _, size := range []int{0, 64 << 20} {
		t.Run(fmt.Sprint("answer=", size), func(t *testing.T) {
			b := newBench(t, 1, nil)
			b.upstreams[0].Set(faker.Faults{AnswerBytes: size})
			if size == 0 {
				b.upstreams[0].Mean = time.Hour
			}
			c, err := net.Dial("tcp", strings.TrimPrefix(b.entry, "http://"))
			b.is.NoErr(err)
			_, err = io.WriteString(c, "GET /call/S/Lookup/x HTTP/1.1\r\nHost: e\r\n\r\n")
			b.is.NoErr(err)
			b.until(func() bool { return b.upstreams[0].State().Executed > 0 })
			b.is.NoErr(c.Close())
			waitFor[reducer.CallerGone](b)
			ev, ok := last[reducer.UpstreamFinished](b)
			b.is.True(!ok || !ev.Truncated)
			b.until(func() bool { return b.upstreams[0].State().Load == faker.Load{} })
		})
	}
}

// TestSlowPeers guards against callers that hold a request open by sending a
// body or reading an answer at no speed at all.
func TestSlowPeers(t *testing.T) {
	for _, c := range []struct{ name, rank, request string }{
		{"body held", "Once", "Content-Length: 10\r\n\r\nabc"},
		{"body streamed", "Lookup", "Content-Length: 1000000\r\n\r\nabc"},
		{"answer not read", "Lookup", "Content-Length: 0\r\n\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t, 1, nil)
			b.driver.progress = 50 * time.Millisecond
			b.upstreams[0].Set(faker.Faults{AnswerBytes: 64 << 20})
			conn, err := net.Dial("tcp", strings.TrimPrefix(b.entry, "http://"))
			b.is.NoErr(err)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, "POST /call/S/"+c.rank+"/x HTTP/1.1\r\nHost: e\r\n"+c.request)
			b.is.NoErr(err)
			time.Sleep(20 * b.driver.progress)
			b.driver.mu.Lock()
			defer b.driver.mu.Unlock()
			b.is.Equal(len(b.driver.calls), 0)
			b.is.Equal(len(b.driver.attempts), 0)
			b.is.Equal(b.driver.memory.held.Load(), int64(0))
		})
	}
}

// TestHedge guards against a caller who waits for the attempt that its own
// goroutine runs after another attempt has won, and against a loser that goes on.
func TestHedge(t *testing.T) {
	var b *bench
	b = newBench(t, 2, func(ev reducer.Event) ([]reducer.Effect, bool) {
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
	b.until(func() bool { return b.upstreams[0].State().Load == faker.Load{} })
	waitFor[reducer.AttemptFailed](b)
}

// TestPanic guards against a fault in one request that ends the process or leaves the lock held.
func TestPanic(t *testing.T) {
	b := newBench(t, 1, func(ev reducer.Event) ([]reducer.Effect, bool) {
		if a, ok := ev.(reducer.RequestArrived); ok && a.Key != "" && a.BodySize == 5 {
			panic("fault")
		}
		return nil, false
	})
	b.client.Timeout = 100 * time.Millisecond
	b.is.True(b.do(http.MethodPost, "/call/S/Lookup/x", strings.NewReader("panic")).err != nil)
	b.client.Timeout = patience
	b.is.Equal(b.do(http.MethodGet, "/call/S/Lookup/x", nil).status, http.StatusOK)
}

// TestLogDown guards against an outage of the log that stops service.
func TestLogDown(t *testing.T) {
	b := newBench(t, 1, nil)
	b.log.SetMode(faker.LogDown)
	waitFor[reducer.LogFailed](b)
	b.is.Equal(b.do(http.MethodGet, "/call/S/Lookup/x", nil).status, http.StatusOK)
	b.logServer.Close()
	b.is.Equal(b.do(http.MethodGet, "/call/S/Lookup/x", nil).status, http.StatusOK)
}

// TestTwoEntries guards against a break anywhere between a Send effect of one
// entry and the event at another, and against silence once that one has ended.
func TestTwoEntries(t *testing.T) {
	is := is.New(t)
	lis := open(t)
	address := netip.MustParseAddrPort(lis.Addr().String())
	sent := reducer.ConfigRequest{Request: versioner.Request{Next: 7}}
	b := newBench(t, 0, nil, WithPeers(lis, nil))
	a := newBench(t, 0, func(ev reducer.Event) ([]reducer.Effect, bool) {
		_, ok := ev.(reducer.EntriesAsked)
		return []reducer.Effect{reducer.Send{To: "b", Address: address, Incarnation: 1, Message: sent}}, ok
	})
	ask := func() {
		a.driver.post(func(s reducer.Stamp) reducer.Event { return reducer.EntriesAsked{Stamp: s} })
	}
	ask()
	got := waitFor[reducer.PeerMessageReceived](b)
	is.Equal(got.Message, sent)
	is.Equal(got.From, "e1")
	is.Equal(got.FromIncarnation, uint64(1))
	b.driver.Close()
	ask()
	is.Equal(waitFor[reducer.PeerUnreachable](a).Peer, "b")
}

// stopper stands for the node's part in a planned stop: it closes the
// listeners at once and ends when no request is in progress.
type stopper struct {
	// bench is set before the first request.
	bench    *bench
	mu       sync.Mutex
	stopping bool
	// open holds the requests in progress, with whether their answer streams.
	open map[reducer.RequestID]bool
}

func (s *stopper) watch(ev reducer.Event) ([]reducer.Effect, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch ev := ev.(type) {
	case reducer.RequestArrived:
		if s.open == nil {
			s.open = make(map[reducer.RequestID]bool)
		}
		s.open[ev.ID] = false
	case reducer.UpstreamAnswered:
		s.open[ev.Attempt.Request] = true
		if ev.Whole {
			delete(s.open, ev.Attempt.Request)
		}
	case reducer.UpstreamFinished:
		delete(s.open, ev.Attempt.Request)
	case reducer.CallerGone:
		delete(s.open, ev.ID)
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

// idle reports whether all requests have ended; those that were refused are no
// longer among the driver's calls, whose lock is held during a step.
func (s *stopper) idle() bool {
	for id, streams := range s.open {
		if streams || s.bench.driver.calls[id] != nil {
			return false
		}
	}
	return true
}

// TestPlannedStop guards against a request in progress that is cut by a
// planned stop, and against a stop that never ends. The callers start nothing
// new, as they have been told of other entries before the listeners close.
func TestPlannedStop(t *testing.T) {
	const callers = 16
	s := &stopper{}
	b := newBench(t, 2, s.watch)
	s.bench = b
	for _, u := range b.upstreams {
		u.Mean = 300 * time.Millisecond
		u.Set(faker.Faults{AnswerBytes: 2 * maxHeld})
	}
	var leaving atomic.Bool
	var done, cut atomic.Int64
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			for !leaving.Load() {
				r := b.do(http.MethodGet, "/call/S/Lookup/x", nil)
				if r.err != nil || r.status != http.StatusOK || len(r.body) != 2*maxHeld {
					cut.Add(1)
				}
				done.Add(1)
			}
		})
	}
	time.Sleep(450 * time.Millisecond)
	leaving.Store(true)
	time.Sleep(50 * time.Millisecond)
	before := done.Load()
	b.driver.Stop()
	select {
	case <-b.driver.Done():
	case <-time.After(patience):
		t.Fatal("planned stop did not end")
	}
	wg.Wait()
	b.is.True(done.Load() > before)
	b.is.Equal(cut.Load(), int64(0))
	_, err := net.Dial("tcp", strings.TrimPrefix(b.entry, "http://"))
	b.is.True(err != nil)
}

// TestStopAfterRefusal guards against a planned stop that waits for a request
// which was refused. On a busy host requests of TestPlannedStop may be refused.
func TestStopAfterRefusal(t *testing.T) {
	s := &stopper{}
	b := newBench(t, 1, s.watch)
	s.bench = b
	b.upstreams[0].Mean = time.Hour
	r := b.do(http.MethodGet, "/call/S/Lookup/x", nil)
	b.is.Equal(r.status, http.StatusGatewayTimeout)
	b.driver.Stop()
	select {
	case <-b.driver.Done():
	case <-time.After(patience):
		t.Fatal("planned stop did not end")
	}
}

// TestSecondStop guards against a second stop request that waits for requests
// in progress, and against an answer that claims more than is known of them.
func TestSecondStop(t *testing.T) {
	s := &stopper{}
	b := newBench(t, 1, s.watch)
	s.bench = b
	b.upstreams[0].Mean = time.Hour
	ended := make(chan result, 1)
	go func() { ended <- b.do(http.MethodGet, "/call/S/Lookup/x", nil) }()
	b.until(func() bool { return b.upstreams[0].State().Executed > 0 })
	b.driver.Stop()
	begun := time.Now()
	b.driver.Stop()
	b.is.True(time.Since(begun) < time.Second)
	// The caller may still be told that the request may have run.
	got := <-ended
	b.is.True(got.err != nil || got.status == http.StatusBadGateway && got.outcome == classifier.OutcomeUnknown)
}
