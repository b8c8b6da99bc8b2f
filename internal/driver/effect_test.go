package driver

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/azuretrestle/azuretrestle/internal/faker"
	"github.com/azuretrestle/azuretrestle/internal/reducer"
	"github.com/azuretrestle/azuretrestle/pkg/classifier"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

// TestNodeReplies guards against reply effects of the node that are encoded wrongly for the caller.
func TestNodeReplies(t *testing.T) {
	expires := time.Date(2026, 5, 6, 7, 8, 9, 0, time.UTC)
	b := newTestbed(t, 0, func(ev reducer.Event) ([]reducer.Effect, bool) {
		switch ev := ev.(type) {
		case reducer.EntriesRequested:
			e := reducer.EntryAddress{Name: "e2", Address: netip.MustParseAddrPort("10.0.0.2:80"), DataCentre: ev.DataCentre}
			return []reducer.Effect{reducer.AnswerEntries{ID: ev.ID, Entries: []reducer.EntryAddress{e}, Expires: expires}}, true
		case reducer.KeysRequested:
			return []reducer.Effect{reducer.AnswerKeys{ID: ev.ID, Keys: ev.IDs}}, true
		case reducer.RequestArrived:
			return []reducer.Effect{reducer.AnswerStored{ID: ev.ID, Status: 201, ContentType: "a/b", Body: []byte(ev.Key)}}, true
		}
		return nil, false
	})
	r := b.do(http.MethodGet, "/entries?DataCentre=dc", nil)
	b.is.Equal(r.body, `{"Entries":[{"Name":"e2","Address":"10.0.0.2:80","DataCentre":"dc"}],"Expires":"2026-05-06T07:08:09Z"}`+"\n")
	var k wireKeys
	b.is.NoErr(json.Unmarshal([]byte(b.do(http.MethodGet, "/keys?Count=3", nil).body), &k))
	b.is.Equal(len(k.Keys), 3)
	for _, count := range []string{"0", "-1", "x", "101"} {
		b.is.Equal(b.do(http.MethodGet, "/keys?Count="+count, nil).status, http.StatusBadRequest)
	}
	stored := b.do(http.MethodPost, "/call/S/Once/x", strings.NewReader("p"))
	b.is.Equal(stored.status, 201)
	b.is.Equal(stored.body, stored.key)
	b.is.Equal(stored.outcome, classifier.OutcomeDone)
}

// TestStoreResponse guards against events that lack data of a once-only request or
// its response: the key, the body digest, the first-attempt mark, or the body to store.
func TestStoreResponse(t *testing.T) {
	var b *testbed
	b = newTestbed(t, 1, func(ev reducer.Event) ([]reducer.Effect, bool) {
		a, ok := ev.(reducer.RequestArrived)
		if !ok {
			return nil, false
		}
		return []reducer.Effect{reducer.Dispatch{
			Attempt: reducer.AttemptID{Request: a.ID, Number: 1}, Service: "S", Upstream: "u0", Address: b.servers[0].Address(),
			Connections: 4, Deadline: a.Now.Add(time.Second), StoreAnswer: a.FirstAttempt, Fresh: true,
		}}, true
	})
	digests := make(map[uint64]bool)
	for _, c := range []struct{ path, body string }{{"x", "a"}, {"first", "b"}, {"x", "b"}} {
		b.client.Timeout = 250 * time.Millisecond
		b.mu.Lock()
		b.events = nil
		b.mu.Unlock()
		sent := b.do(http.MethodPost, "/call/S/Once/"+c.path, strings.NewReader(c.body))
		arrived := waitForEvent[reducer.RequestArrived](b)
		b.is.Equal(arrived.FirstAttempt, c.path == "first")
		b.is.Equal(arrived.Key, sent.key)
		digests[arrived.BodyDigest] = true
		answered := waitForEvent[reducer.UpstreamAnswered](b)
		b.is.Equal(len(answered.Body) > 0, c.path == "first")
		b.is.Equal(answered.ContentType != "", c.path == "first")
	}
	b.is.Equal(len(digests), 2)
	// Each attempt required a fresh connection.
	b.is.Equal(b.servers[0].Accepted(), 3)
}

// TestHeaderLimit guards against request headers of unbounded size.
func TestHeaderLimit(t *testing.T) {
	b := newTestbed(t, 0, nil)
	r := b.do(http.MethodGet, "/call/S/Lookup/"+strings.Repeat("x", 2*defaultLimits.Header), nil)
	b.is.Equal(r.status, http.StatusRequestHeaderFieldsTooLarge)
}

// TestProbe guards against a lost load report, and against a failed probe that counts as successful.
func TestProbe(t *testing.T) {
	var target atomic.Pointer[netip.AddrPort]
	b := newTestbed(t, 1, func(ev reducer.Event) ([]reducer.Effect, bool) {
		_, ok := ev.(reducer.EntriesRequested)
		if !ok {
			return nil, false
		}
		return []reducer.Effect{reducer.Probe{Service: "S", Upstream: "u0", Address: *target.Load(), Deadline: ev.Time().Add(time.Second)}}, true
	})
	probe := func(s *faker.Server) reducer.ProbeAnswered {
		a := s.Address()
		target.Store(&a)
		b.mu.Lock()
		b.events = nil
		b.mu.Unlock()
		b.driver.post(func(s reducer.Stamp) reducer.Event { return reducer.EntriesRequested{Stamp: s} })
		return waitForEvent[reducer.ProbeAnswered](b)
	}
	b.upstreams[0].SetFaults(faker.Faults{Report: &faker.Load{InFlight: 3, Queued: 4}, Draining: true})
	ev := probe(b.servers[0])
	b.is.True(ev.OK && ev.Draining)
	b.is.Equal(ev.Report.InFlight, 3)
	b.is.Equal(ev.Report.Queued, 4)
	b.servers[0].Close()
	ev = probe(b.servers[0])
	b.is.True(!ev.OK && ev.Report == nil)
}

// TestConnections guards against more connections to an upstream than its limit,
// counting kept and single-use ones together.
func TestConnections(t *testing.T) {
	const limit = 3
	is := is.New(t)
	u := &faker.Upstream{Slots: 100, Mean: 5 * time.Millisecond}
	s := faker.Start(newListener(t), u)
	defer s.Close()
	p := newPool(limit)
	defer p.retire()
	var wg sync.WaitGroup
	var failed, maxOpen atomic.Int64
	for i := range 30 {
		wg.Go(func() {
			req, _ := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+s.Address().String()+"/x", http.NoBody)
			resp, err := p.transportFor(i%3 == 0).RoundTrip(req)
			if err != nil {
				failed.Add(1)
				return
			}
			maxOpen.Store(max(maxOpen.Load(), int64(s.Open())))
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		})
	}
	wg.Wait()
	is.Equal(failed.Load(), int64(0))
	// The server may detect the end of a connection after the entry has opened the next one.
	is.True(maxOpen.Load() <= limit+1)
	is.True(p.limiter.count() <= limit)
}

// TestRemovedUpstream guards against connections and metric series that accumulate as hosts are replaced.
func TestRemovedUpstream(t *testing.T) {
	b := newTestbed(t, 1, nil)
	b.is.Equal(b.do(http.MethodGet, "/call/S/Lookup/x", nil).status, http.StatusOK)
	a, err := b.driver.Submit(context.Background(), patcher.Patch{ID: "q", Base: 1, Operations: []patcher.Operation{
		patcher.RemoveUpstream{InService: "S", Name: "u0"},
	}})
	b.is.NoErr(err)
	b.is.Equal(a.Code, classifier.OK)
	// Submit may return before the step that produced the result has ended.
	b.driver.View(func(*reducer.Node) {})
	b.is.Equal(countSeries(b.driver.metrics.attempts), 0)
	b.waitUntil(func() bool { return b.servers[0].Open() == 0 })
}

// TestAdmin guards against metrics, health or readiness that do not reflect the state.
func TestAdmin(t *testing.T) {
	s := &stoppingNode{}
	b := newTestbed(t, 1, s.handle)
	s.testbed = b
	admin := http.NewServeMux()
	admin.Handle("/", b.driver.HealthHandler())
	admin.Handle("/metrics", promhttp.HandlerFor(b.driver.Gatherer(), promhttp.HandlerOpts{}))
	get := func(path string) (int, string) {
		w := httptest.NewRecorder()
		admin.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
		return w.Code, w.Body.String()
	}
	b.do(http.MethodGet, "/call/S/Lookup/x", nil)
	b.do(http.MethodGet, "/call/Unknown/Name/x", nil)
	code, text := get("/metrics")
	b.is.Equal(code, http.StatusOK)
	for _, line := range []string{
		`azuretrestle_requests_total{code="OK",rank="Lookup",service="S"} 1`,
		`azuretrestle_requests_total{code="UnknownService",rank="",service=""} 1`,
		`azuretrestle_attempts_total{result="Answered",service="S",upstream="u0"} 1`,
		`azuretrestle_config_version 1`,
		`azuretrestle_requests_in_flight 0`,
		`azuretrestle_upstreams{service="S",state="Serving"} 1`,
		`azuretrestle_upstreams{service="S",state="Ejected"} 0`,
		`azuretrestle_upstream_state{service="S",state="Serving",upstream="u0"} 1`,
		`azuretrestle_upstream_in_flight{service="S",upstream="u0"} 0`,
		`azuretrestle_member_state{entry="e1",state="Alive"} 1`,
		`azuretrestle_config_newest_version 1`,
		`azuretrestle_log_reachable 1`,
		`azuretrestle_audit_lost_total 0`,
	} {
		if !strings.Contains(text, line+"\n") {
			t.Errorf("metrics do not contain %s", line)
		}
	}
	b.log.SetMode(faker.LogDown)
	waitForEvent[reducer.LogFailed](b)
	_, text = get("/metrics")
	b.is.True(strings.Contains(text, "azuretrestle_log_reachable 0\n"))
	code, _ = get("/readyz")
	b.is.Equal(code, http.StatusOK)
	b.driver.stopping.Store(true)
	code, _ = get("/readyz")
	b.is.Equal(code, http.StatusServiceUnavailable)
	code, _ = get("/healthz")
	b.is.Equal(code, http.StatusOK)
}

func countSeries(c prometheus.Collector) int {
	ch := make(chan prometheus.Metric, 100)
	c.Collect(ch)
	return len(ch)
}
