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

const patience = 5 * time.Second

func open(t *testing.T) net.Listener {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return lis
}

// bench is an entry on real sockets with upstreams and a log.
type bench struct {
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
	// events are those that the node got, in order.
	events []reducer.Event
}

// newBench starts an entry; decide, if not nil, handles the events that it returns true for in place of the node.
func newBench(t *testing.T, upstreams int, decide func(reducer.Event) ([]reducer.Effect, bool), opts ...Option) *bench {
	t.Helper()
	b := &bench{T: t, is: is.New(t), log: faker.NewLog()}
	b.client = &http.Client{Transport: &http.Transport{}, Timeout: patience}
	b.logServer = faker.Start(open(t), b.log.Handler())
	platform := recorder.NewClient(b.logServer.Address(), b.logServer.Address())
	b.driver = New(reducer.Options{Name: "e1", Incarnation: 1, DataCentre: "a", Seed: 1}, platform, platform, opts...)
	step := b.driver.decide
	b.driver.decide = func(ev reducer.Event) []reducer.Effect {
		b.mu.Lock()
		b.events = append(b.events, ev)
		b.mu.Unlock()
		if decide != nil {
			if effects, ok := decide(ev); ok {
				return effects
			}
		}
		return step(ev)
	}
	b.driver.Start()
	lis := open(t)
	b.entry = "http://" + lis.Addr().String()
	b.driver.Serve(lis)
	for i := range upstreams {
		u := &faker.Upstream{Name: fmt.Sprint("u", i), Slots: 32}
		b.upstreams = append(b.upstreams, u)
		b.servers = append(b.servers, faker.Start(open(t), u))
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

func (b *bench) configure() {
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

// result is what a caller sees of a call.
type result struct {
	key     string
	status  int
	body    string
	outcome classifier.Outcome
	code    string
	// err is set if no complete answer came.
	err error
}

func (b *bench) do(method, path string, body io.Reader) result {
	req, err := http.NewRequest(method, b.entry+path, body)
	if err != nil {
		return result{err: err}
	}
	key := uuid.Must(uuid.NewV7()).String() + "@e1.1"
	req.Header.Set(headerKey, key)
	if strings.HasSuffix(path, "/first") {
		req.Header.Set(headerAttempt, firstAttempt)
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

// ran returns how many requests the first upstream ran; none may have run twice.
func (b *bench) ran() int {
	b.Helper()
	runs := b.upstreams[0].AllRuns()
	for _, n := range runs {
		b.is.Equal(n, 1)
	}
	return len(runs)
}

// last returns the last event of type E.
func last[E reducer.Event](b *bench) (E, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range b.events {
		if ev, ok := b.events[len(b.events)-1-i].(E); ok {
			return ev, true
		}
	}
	var none E
	return none, false
}

func waitFor[E reducer.Event](b *bench) E {
	b.Helper()
	var ev E
	b.until(func() (ok bool) {
		ev, ok = last[E](b)
		return ok
	})
	return ev
}

// until fails the test unless the condition comes to hold.
func (b *bench) until(condition func() bool) {
	b.Helper()
	deadline := time.Now().Add(patience)
	for !condition() {
		if time.Now().After(deadline) {
			b.Fatal("condition did not come to hold")
		}
		time.Sleep(time.Millisecond)
	}
}

// TestOnceOnlyIsSentOnce guards against net/http sending a once-only request
// a second time by itself when a kept connection ends as the request is
// written or before its answer, with and without a body, by any method.
func TestOnceOnlyIsSentOnce(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodPut} {
		for _, body := range []string{"", "payment"} {
			t.Run(method+" "+body, func(t *testing.T) {
				b := newBench(t, 1, nil)
				// Once-only work opens a connection unless the upstream answered lately.
				warm := b.do(method, "/call/S/Lookup/x", strings.NewReader(body))
				b.is.Equal(warm.status, http.StatusOK)
				b.upstreams[0].Set(faker.Faults{LoseAnswers: true})
				r := b.do(method, "/call/S/Once/x", strings.NewReader(body))
				b.is.Equal(r.outcome, classifier.OutcomeUnknown)
				b.is.Equal(r.code, "304")
				b.is.Equal(b.ran(), 2)
				b.is.Equal(b.servers[0].Accepted(), 1)
			})
		}
	}
}

// closer is an upstream that answers one request per connection, announces
// nothing, and closes the connection once the next request begins to arrive.
type closer struct {
	lis      net.Listener
	mu       sync.Mutex
	requests int
}

func (c *closer) run() {
	for {
		conn, err := c.lis.Accept()
		if err != nil {
			return
		}
		go c.serve(conn)
	}
}

func (c *closer) serve(conn net.Conn) {
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

// TestKeptConnectionCloses guards against a second copy of a once-only
// request when the server closes a kept connection at the moment of writing,
// and against telling "not run" for a request whose bytes have left.
func TestKeptConnectionCloses(t *testing.T) {
	for _, body := range []string{"", "payment"} {
		t.Run("body="+body, func(t *testing.T) {
			b := newBench(t, 1, nil)
			c := &closer{lis: open(t)}
			go c.run()
			defer func() { _ = c.lis.Close() }()
			p := newPool(4)
			address := netip.MustParseAddrPort(c.lis.Addr().String())
			attempt := func() (*watch, *answer, error) {
				in, err := http.NewRequest(http.MethodPost, "/x", http.NoBody)
				b.is.NoErr(err)
				in.Header.Set(headerKey, "k")
				ctx, cancel := context.WithCancel(context.Background())
				t.Cleanup(cancel)
				a := &attempt{call: &call{request: in, path: "/x", rawPath: "/x", onceOnly: true}, pool: p, ctx: ctx, cancel: cancel}
				a.call.held.body = []byte(body)
				return b.driver.exchange(reducer.Dispatch{Address: address, Deadline: time.Now().Add(patience)}, a)
			}
			_, ans, err := attempt()
			b.is.NoErr(err)
			_, err = io.ReadAll(ans.rest)
			b.is.NoErr(err)
			w, _, err := attempt()
			b.is.True(err != nil)
			b.is.True(w.settle())
			time.Sleep(10 * time.Millisecond)
			c.mu.Lock()
			defer c.mu.Unlock()
			b.is.Equal(c.requests, 2)
			p.retire()
		})
	}
}

// TestNotSent guards against "unknown" for a once-only request that never had
// a connection, which would keep the caller from trying again.
func TestNotSent(t *testing.T) {
	b := newBench(t, 1, nil)
	b.servers[0].Close()
	r := b.do(http.MethodPost, "/call/S/Once/x", strings.NewReader("payment"))
	b.is.Equal(r.outcome, classifier.OutcomeNotRun)
	ev := waitFor[reducer.AttemptFailed](b)
	b.is.Equal(ev.Failure, balancer.FailureDial)
	b.is.Equal(ev.Sent, false)
}

// TestQuietConnection guards against a once-only request on a kept connection
// that has not answered lately and may have gone silent.
func TestQuietConnection(t *testing.T) {
	b := newBench(t, 1, nil)
	b.is.Equal(b.do(http.MethodGet, "/call/S/Lookup/x", nil).status, http.StatusOK)
	b.servers[0].Silence()
	time.Sleep(quietAfter + 50*time.Millisecond)
	r := b.do(http.MethodPost, "/call/S/Once/x", strings.NewReader("payment"))
	b.is.Equal(r.status, http.StatusOK)
	b.is.Equal(b.ran(), 2)
	b.is.Equal(b.servers[0].Accepted(), 2)
}

// TestSilentConnection guards against "not run" for a request that was
// written to a connection which then went silent.
func TestSilentConnection(t *testing.T) {
	b := newBench(t, 1, nil)
	b.is.Equal(b.do(http.MethodGet, "/call/S/Lookup/x", nil).status, http.StatusOK)
	b.servers[0].Silence()
	r := b.do(http.MethodPost, "/call/S/Once/x", strings.NewReader("payment"))
	b.is.Equal(r.outcome, classifier.OutcomeUnknown)
	b.is.Equal(r.code, "303")
}

// TestBrokenAnswer guards against a part of an answer that a caller takes for
// the whole, held or streamed, and against an upstream killed in mid-answer.
func TestBrokenAnswer(t *testing.T) {
	for _, c := range []struct {
		name string
		cut  int
		size int
	}{
		{"held", 100, 1000},
		{"streamed", maxHeld + 100, 2 * maxHeld},
		{"whole", 0, 4 * maxHeld},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t, 1, nil)
			b.upstreams[0].Set(faker.Faults{AnswerBytes: c.size, CutAfter: c.cut})
			r := b.do(http.MethodPost, "/call/S/Once/x", nil)
			if c.cut == 0 {
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
