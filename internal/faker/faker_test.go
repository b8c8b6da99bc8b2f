package faker

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func start(t *testing.T, h http.Handler) (*Server, *http.Client, string) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := Start(lis, h)
	c := &http.Client{Transport: &http.Transport{}, Timeout: 5 * time.Second}
	t.Cleanup(func() {
		c.CloseIdleConnections()
		s.Close()
	})
	return s, c, "http://" + s.Address().String()
}

// call sends a request and returns the response; the status is 0 if no complete response arrived.
func call(c *http.Client, method, url, body string) (int, string, http.Header) {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, "", nil
	}
	req.Header.Set("Idempotency-Key", "k")
	resp, err := c.Do(req)
	if err != nil {
		return 0, "", nil
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "", nil
	}
	return resp.StatusCode, string(b), resp.Header
}

// TestUpstreamFaults guards against a fault that the control endpoint accepts but
// that has no effect, so that failure tests pass without a failure.
func TestUpstreamFaults(t *testing.T) {
	for _, c := range []struct {
		name, control string
		status, runs  int
		load          string
		minDuration   time.Duration
	}{
		{"healthy", `{}`, 200, 1, "1 0", 0},
		{"draining", `{"Draining":true}`, 503, 0, "0 0", 0},
		{"shedding", `{"Shedding":true}`, 503, 0, "0 0", 0},
		{"fail fast", `{"FailFast":true}`, 500, 0, "", 0},
		{"lost response", `{"LoseAnswers":true}`, 0, 1, "", 0},
		{"truncated response", `{"AnswerBytes":100,"CutAfter":50}`, 0, 1, "", 0},
		{"padded response", `{"AnswerBytes":100}`, 200, 1, "1 0", 0},
		{"false load report", `{"Report":{"InFlight":7,"Queued":9}}`, 200, 1, "7 9", 0},
		{"stale load report", `{"ReportLag":"1h"}`, 200, 1, "0 0", 0},
		{"straggling", `{"Straggle":40}`, 200, 1, "1 0", 40 * time.Millisecond},
		{"unknown field", `{"Other":1}`, 200, 1, "1 0", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			u := &Upstream{Name: "u", Slots: 1, Mean: time.Millisecond}
			_, client, base := start(t, u)
			status, state, _ := call(client, http.MethodPost, base+"/control", c.control)
			is.Equal(status, 200)
			is.True(strings.Contains(state, `"Executed":0`))
			// On a reused connection, net/http would retry a lost request by itself.
			client.CloseIdleConnections()
			startedAt := time.Now()
			status, _, h := call(client, http.MethodPost, base+"/x", "body")
			is.Equal(status, c.status)
			is.Equal(u.Runs("k"), c.runs)
			is.Equal(h.Get("Azuretrestle-Load"), c.load)
			is.Equal(h.Get("Azuretrestle-Not-Run") != "", c.status == 503)
			is.True(time.Since(startedAt) >= c.minDuration)
		})
	}
}

// TestUpstreamSlots guards against more concurrent requests than slots and queue
// allow, and against a slot that a cancelled request never releases.
func TestUpstreamSlots(t *testing.T) {
	is := is.New(t)
	hold := make(chan struct{})
	u := &Upstream{Slots: 1, Queue: 1, Work: func(*http.Request) time.Duration { <-hold; return time.Hour }}
	_, client, base := start(t, u)
	ctx, cancel := context.WithCancel(context.Background())
	statuses := make(chan int, 3)
	for range 3 {
		go func() {
			req, _ := http.NewRequestWithContext(ctx, http.MethodGet, base, http.NoBody)
			resp, err := client.Do(req)
			if err != nil {
				statuses <- 0
				return
			}
			_ = resp.Body.Close()
			statuses <- resp.StatusCode
		}()
	}
	is.Equal(<-statuses, http.StatusServiceUnavailable)
	cancel()
	close(hold)
	is.Equal(<-statuses, 0)
	is.Equal(<-statuses, 0)
	deadline := time.Now().Add(5 * time.Second)
	for u.State().Load != (Load{}) && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	is.Equal(u.State().Load, Load{})
}

// TestSilence guards against responses on silent connections, and against Silence
// affecting control requests or new connections.
func TestSilence(t *testing.T) {
	is := is.New(t)
	_, client, base := start(t, &Upstream{Slots: 1})
	status, _, _ := call(client, http.MethodGet, base, "")
	is.Equal(status, 200)
	fresh := &http.Client{Transport: &http.Transport{}, Timeout: 5 * time.Second}
	defer fresh.CloseIdleConnections()
	status, _, _ = call(fresh, http.MethodPost, base+"/control", `{"Silence":true}`)
	is.Equal(status, 200)
	client.Timeout = 50 * time.Millisecond
	status, _, _ = call(client, http.MethodGet, base, "")
	is.Equal(status, 0)
	newer := &http.Client{Transport: &http.Transport{}, Timeout: 5 * time.Second}
	defer newer.CloseIdleConnections()
	status, _, _ = call(newer, http.MethodGet, base, "")
	is.Equal(status, 200)
}

// TestUpstreamSettings guards against Unhealthy, MaxConnections or Chill having no effect.
// TestUpstreamFaults can't cover these, since a single response doesn't show them.
func TestUpstreamSettings(t *testing.T) {
	is := is.New(t)
	u := &Upstream{Slots: 1, Cold: time.Hour, ColdFactor: 5}
	s, client, base := start(t, u)
	status, _, _ := call(client, http.MethodGet, base+"/health", "")
	is.Equal(status, 200)
	status, _, _ = call(client, http.MethodPost, base+"/control", `{"Unhealthy":true,"MaxConnections":1,"Chill":true}`)
	is.Equal(status, 200)
	status, _, _ = call(client, http.MethodGet, base+"/health", "")
	is.Equal(status, 503)
	other := &http.Client{Transport: &http.Transport{}, Timeout: 5 * time.Second}
	defer other.CloseIdleConnections()
	status, _, _ = call(other, http.MethodGet, base+"/health", "")
	is.Equal(status, 0)
	is.Equal(s.Open(), 1)
	now := time.Now()
	is.True(u.slowStartFactor(now) > 4.9)
	is.Equal(u.slowStartFactor(now.Add(2*time.Hour)), 1.0)
}

// TestLog guards against log faults that have no effect or that lose acknowledged records.
func TestLog(t *testing.T) {
	is := is.New(t)
	_, client, base := start(t, NewLog().Handler())
	post := func(path, body string) int {
		// On a reused connection, net/http would retry a lost append by itself.
		client.CloseIdleConnections()
		status, _, _ := call(client, http.MethodPost, base+path, body)
		return status
	}
	tail := func() uint64 {
		_, body, _ := call(client, http.MethodGet, base+"/streams/S?From=0", "")
		var p page
		is.NoErr(json.Unmarshal([]byte(body), &p))
		return p.Tail - p.First
	}
	is.Equal(post("/streams/S", "a"), 200)
	is.Equal(post("/control", `{"Mode":"Down"}`), 200)
	is.Equal(post("/streams/S", "b"), 503)
	is.Equal(post("/control", `{"Mode":"LosesAnswers"}`), 200)
	is.Equal(post("/streams/S", "c"), 0)
	is.Equal(tail(), uint64(2))
	is.Equal(post("/control", `{"Expire":{"S":1}}`), 200)
	is.Equal(tail(), uint64(1))
	is.Equal(post("/control", `{"Retention":"1ns"}`), 200)
	is.Equal(tail(), uint64(0))
}

// TestListLag guards against a change that is visible before its lag has passed.
func TestListLag(t *testing.T) {
	is := is.New(t)
	l := new(List)
	l.SetHosts([]Host{{Name: "a"}})
	l.SetLag(time.Hour)
	l.SetHosts([]Host{{Name: "b"}})
	now := time.Now()
	hosts, ok := l.visible(now)
	is.True(ok)
	is.Equal(hosts[0].Name, "a")
	hosts, _ = l.visible(now.Add(2 * time.Hour))
	is.Equal(hosts[0].Name, "b")
}
