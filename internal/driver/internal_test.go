package driver

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/azuretrestle/azuretrestle/internal/balancer"
	"github.com/azuretrestle/azuretrestle/internal/faker"
	"github.com/azuretrestle/azuretrestle/internal/recorder"
	"github.com/azuretrestle/azuretrestle/internal/reducer"
	"github.com/azuretrestle/azuretrestle/pkg/classifier"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testTimeout = 5 * time.Second

func newListener(t *testing.T) net.Listener {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return lis
}

// testbed is an entry on real sockets with fake upstreams and a fake log.
type testbed struct {
	*testing.T
	is        *is.I
	driver    *Driver
	log       *faker.Log
	logServer *faker.Server
	upstreams []*faker.Upstream
	servers   []*faker.Server
	entry     string
	client    *http.Client

	mu sync.Mutex
	// events holds the events of the node in order.
	events []reducer.Event
}

// newTestbed starts an entry. Where handle is not nil and returns true for an
// event, its effects replace those of the node, which does not see the event.
func newTestbed(t *testing.T, upstreams int, handle func(reducer.Event) ([]reducer.Effect, bool), opts ...Option) *testbed {
	t.Helper()
	b := &testbed{T: t, is: is.New(t), log: faker.NewLog()}
	b.client = &http.Client{Transport: &http.Transport{}, Timeout: testTimeout}
	b.logServer = faker.Start(newListener(t), b.log.Handler())
	platform := recorder.NewClient(b.logServer.Address(), b.logServer.Address())
	b.driver = New(reducer.Options{Name: "e1", Incarnation: 1, DataCentre: "a", Seed: 1}, platform, platform, opts...)
	step := b.driver.stepNode
	b.driver.stepNode = func(ev reducer.Event) []reducer.Effect {
		b.mu.Lock()
		b.events = append(b.events, ev)
		b.mu.Unlock()
		if handle != nil {
			if effects, ok := handle(ev); ok {
				return effects
			}
		}
		return step(ev)
	}
	b.driver.Start()
	lis := newListener(t)
	b.entry = "http://" + lis.Addr().String()
	b.driver.Serve(lis)
	for i := range upstreams {
		u := &faker.Upstream{Name: fmt.Sprint("u", i), Slots: 32}
		b.upstreams = append(b.upstreams, u)
		b.servers = append(b.servers, faker.Start(newListener(t), u))
	}
	t.Cleanup(func() {
		b.client.CloseIdleConnections()
		b.driver.Close()
		platform.Close()
		b.logServer.Close()
		for _, s := range b.servers {
			s.Close()
		}
	})
	b.configure()
	return b
}

func (b *testbed) configure() {
	b.Helper()
	rank := func(name string, kind patcher.Kind) patcher.Rank {
		p := patcher.Period{Duration: 2 * time.Second}
		return patcher.Rank{Name: name, Kind: kind, Target: p, Patience: p, MaxQueue: 1000, MaxBody: 8 << 20}
	}
	s := patcher.Service{Name: "S", MaxEntries: 8, Ranks: []patcher.Rank{rank("Once", patcher.OnceOnly), rank("Lookup", patcher.Idempotent)}}
	for i, server := range b.servers {
		s.Upstreams = append(s.Upstreams, patcher.Upstream{
			Name: b.upstreams[i].Name, Address: server.Address(), DataCentre: "a", Slots: 32, Connections: 32,
		})
	}
	a, err := b.driver.Submit(context.Background(), patcher.Patch{ID: "p", Operations: []patcher.Operation{patcher.PutService{Service: s}}})
	b.is.NoErr(err)
	b.is.Equal(a.Code, classifier.OK)
}

// result is the result of a call as the caller sees it.
type result struct {
	key     string
	status  int
	body    string
	outcome classifier.Outcome
	code    string
	// err is set if no complete response arrived.
	err error
}

// do sends a request with a new key. The request is marked as the first attempt with
// that key if the path ends in /first.
func (b *testbed) do(method, path string, body io.Reader) result {
	req, err := http.NewRequest(method, b.entry+path, body)
	if err != nil {
		return result{err: err}
	}
	key := uuid.Must(uuid.NewV7()).String() + "@e1.1"
	req.Header.Set(headerKey, key)
	if strings.HasSuffix(path, "/first") {
		req.Header.Set(headerAttempt, firstAttemptValue)
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return result{key: key, err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return result{
		key: key, status: resp.StatusCode, body: string(text), err: err, code: resp.Header.Get(headerCode),
		outcome: classifier.ParseOutcome(resp.Header.Get(headerOutcome)),
	}
}

// executions returns the number of requests that the first upstream ran. It fails
// the test if one ran twice.
func (b *testbed) executions() int {
	b.Helper()
	runs := b.upstreams[0].AllRuns()
	for _, n := range runs {
		b.is.Equal(n, 1)
	}
	return len(runs)
}

// lastEvent returns the last event of type E.
func lastEvent[E reducer.Event](b *testbed) (E, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range b.events {
		if ev, ok := b.events[len(b.events)-1-i].(E); ok {
			return ev, true
		}
	}
	var zero E
	return zero, false
}

func waitForEvent[E reducer.Event](b *testbed) E {
	b.Helper()
	var ev E
	b.waitUntil(func() (ok bool) {
		ev, ok = lastEvent[E](b)
		return ok
	})
	return ev
}

// waitUntil waits until the condition holds and fails the test after testTimeout.
func (b *testbed) waitUntil(condition func() bool) {
	b.Helper()
	deadline := time.Now().Add(testTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			b.Fatal("condition not met within the test timeout")
		}
		time.Sleep(time.Millisecond)
	}
}

// TestOnceOnlyIsSentOnce guards against net/http retrying a once-only request by
// itself when a kept connection is closed while the request is written or before
// its response, with and without a body and with any method.
func TestOnceOnlyIsSentOnce(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodPut} {
		for _, body := range []string{"", "payment"} {
			t.Run(method+" "+body, func(t *testing.T) {
				b := newTestbed(t, 1, nil)
				// A once-only request uses a kept connection only if data arrived on it recently.
				first := b.do(method, "/call/S/Lookup/x", strings.NewReader(body))
				b.is.Equal(first.status, http.StatusOK)
				b.upstreams[0].SetFaults(faker.Faults{LoseAnswers: true})
				r := b.do(method, "/call/S/Once/x", strings.NewReader(body))
				b.is.Equal(r.outcome, classifier.OutcomeUnknown)
				b.is.Equal(r.code, "304")
				b.is.Equal(b.executions(), 2)
				b.is.Equal(b.servers[0].Accepted(), 1)
			})
		}
	}
}

// closingUpstream responds to one request per connection, without "Connection:
// close", and closes the connection once it has read the next request.
type closingUpstream struct {
	lis      net.Listener
	mu       sync.Mutex
	requests int
}

func (c *closingUpstream) run() {
	for {
		conn, err := c.lis.Accept()
		if err != nil {
			return
		}
		go c.serve(conn)
	}
}

func (c *closingUpstream) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for first := true; ; first = false {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		c.mu.Lock()
		c.requests++
		c.mu.Unlock()
		if !first {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

// TestReusedConnectionCloses guards against a second copy of a once-only request
// when the server closes a kept connection just after the request was written to it,
// and against outcome NotRun for a request whose bytes were sent.
func TestReusedConnectionCloses(t *testing.T) {
	for _, body := range []string{"", "payment"} {
		t.Run("body="+body, func(t *testing.T) {
			b := newTestbed(t, 1, nil)
			c := &closingUpstream{lis: newListener(t)}
			go c.run()
			defer func() { _ = c.lis.Close() }()
			p := newPool(4)
			address := netip.MustParseAddrPort(c.lis.Addr().String())
			attempt := func() (*connTracker, *response, error) {
				in, err := http.NewRequest(http.MethodPost, "/x", http.NoBody)
				b.is.NoErr(err)
				in.Header.Set(headerKey, "k")
				ctx, cancel := context.WithCancel(context.Background())
				t.Cleanup(cancel)
				a := &attempt{call: &call{request: in, path: "/x", rawPath: "/x", onceOnly: true}, pool: p, ctx: ctx, cancel: cancel}
				a.call.buffered.body = []byte(body)
				return b.driver.exchange(reducer.Dispatch{Address: address, Deadline: time.Now().Add(testTimeout)}, a)
			}
			_, resp, err := attempt()
			b.is.NoErr(err)
			_, err = io.ReadAll(resp.rest)
			b.is.NoErr(err)
			tracker, _, err := attempt()
			b.is.True(err != nil)
			b.is.True(tracker.disableWrites())
			time.Sleep(10 * time.Millisecond)
			c.mu.Lock()
			defer c.mu.Unlock()
			b.is.Equal(c.requests, 2)
			p.retire()
		})
	}
}

// TestNotSent guards against outcome Unknown for a once-only request that never
// had a connection, which would keep the caller from retrying.
func TestNotSent(t *testing.T) {
	b := newTestbed(t, 1, nil)
	b.servers[0].Close()
	r := b.do(http.MethodPost, "/call/S/Once/x", strings.NewReader("payment"))
	b.is.Equal(r.outcome, classifier.OutcomeNotRun)
	ev := waitForEvent[reducer.AttemptFailed](b)
	b.is.Equal(ev.Failure, balancer.FailureDial)
	b.is.Equal(ev.Sent, false)
}

// TestStaleConnection guards against a once-only request on a stale connection,
// which may no longer deliver data.
func TestStaleConnection(t *testing.T) {
	b := newTestbed(t, 1, nil)
	b.is.Equal(b.do(http.MethodGet, "/call/S/Lookup/x", nil).status, http.StatusOK)
	b.servers[0].Silence()
	time.Sleep(staleConnAfter + 50*time.Millisecond)
	r := b.do(http.MethodPost, "/call/S/Once/x", strings.NewReader("payment"))
	b.is.Equal(r.status, http.StatusOK)
	b.is.Equal(b.executions(), 2)
	b.is.Equal(b.servers[0].Accepted(), 2)
}

// TestSilentConnection guards against outcome NotRun for a request that was
// written to a connection on which no response then arrived.
func TestSilentConnection(t *testing.T) {
	b := newTestbed(t, 1, nil)
	b.is.Equal(b.do(http.MethodGet, "/call/S/Lookup/x", nil).status, http.StatusOK)
	b.servers[0].Silence()
	r := b.do(http.MethodPost, "/call/S/Once/x", strings.NewReader("payment"))
	b.is.Equal(r.outcome, classifier.OutcomeUnknown)
	b.is.Equal(r.code, "303")
}

// TestTruncatedResponse guards against a truncated response, buffered or streamed, that
// the caller takes for a complete one, as when an upstream is killed while it
// responds.
func TestTruncatedResponse(t *testing.T) {
	for _, c := range []struct {
		name     string
		cutAfter int
		size     int
	}{
		{"buffered", 100, 1000},
		{"streamed", maxBufferedResponse + 100, 2 * maxBufferedResponse},
		{"complete", 0, 4 * maxBufferedResponse},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestbed(t, 1, nil)
			b.upstreams[0].SetFaults(faker.Faults{AnswerBytes: c.size, CutAfter: c.cutAfter})
			r := b.do(http.MethodPost, "/call/S/Once/x", nil)
			if c.cutAfter == 0 {
				b.is.NoErr(r.err)
				b.is.Equal(len(r.body), c.size)
				return
			}
			if r.err == nil {
				b.is.Equal(r.status, http.StatusBadGateway)
				b.is.Equal(r.code, "305")
			}
			b.is.True(len(r.body) < c.size)
		})
	}
}
