package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/azuretrestle/azuretrestle/platform"
	"github.com/azuretrestle/azuretrestle/platform/faker"
)

// waitTimeout limits each wait for a condition.
const waitTimeout = 20 * time.Second

// testDeployment is a small deployment on the platform: a store, servers and entries.
type testDeployment struct {
	t *testing.T
	// dir holds the settings files.
	dir     string
	store   *faker.Store
	servers []*faker.Server
	entries []*platformEntry
	// signals holds a channel for each entry that delivers its signals.
	signals []chan os.Signal
	ended   []chan error
	logs    syncBuffer
	client  *http.Client
}

// syncBuffer collects the log lines of all entries.
type syncBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.String()
}

func deploy(t *testing.T, entries int) *testDeployment {
	t.Helper()
	d := &testDeployment{t: t, dir: t.TempDir(), store: &faker.Store{}, client: &http.Client{Transport: &http.Transport{}}}
	t.Cleanup(d.client.CloseIdleConnections)
	store := httptest.NewServer(d.store)
	t.Cleanup(store.Close)
	d.configure(1, "tickets")
	for i, service := range []string{"tickets", "tickets", "other"} {
		s := &faker.Server{ID: fmt.Sprintf("i-%d", i), Service: service, Zone: "a", Slots: 4, Work: 10 * time.Millisecond}
		up := httptest.NewServer(s)
		t.Cleanup(up.Close)
		s.Address = netip.MustParseAddrPort(up.Listener.Addr().String())
		d.servers = append(d.servers, s)
		d.store.Put(faker.TopicServers, s.ID, s.Registration("ready", 1))
	}
	var seeds []netip.AddrPort
	for i := range entries {
		free, err := freePorts(5)
		if err != nil {
			t.Fatal(err)
		}
		if i == 0 {
			seeds = free[1:2]
		}
		d.start(&platform.Settings{
			Name: fmt.Sprintf("e%d", i), DataCentre: "a", Callers: free[0], Peers: free[1], Readiness: free[2], Directory: free[3], Metrics: free[4],
			Seeds: seeds, Store: netip.MustParseAddrPort(store.Listener.Addr().String()), Memory: 256 << 20, Grace: waitTimeout,
			MaxAnswer: time.Second, RepeatRatio: 0.2, RepeatSlack: 100, ProbeRate: 100,
		})
	}
	return d
}

func (d *testDeployment) start(s *platform.Settings) {
	d.t.Helper()
	log := newPlatformLog(&d.logs, s)
	path := d.writeSettings(s)
	e, err := newPlatformEntry(s, log.Logger)
	if err != nil {
		d.t.Fatal(err)
	}
	e.driver.Register(log.collectors()...)
	signals, ended := make(chan os.Signal, 1), make(chan error, 1)
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		ended <- e.run(signals, path)
		log.writer.close()
	}()
	d.entries = append(d.entries, e)
	d.signals = append(d.signals, signals)
	d.ended = append(d.ended, ended)
	d.t.Cleanup(func() {
		e.driver.Close()
		e.store.Close()
		for _, srv := range e.servers {
			srv.close()
		}
		<-finished
	})
	d.wait("entry ready", func() bool { return d.get("http://"+s.Readiness.String()+"/-/readyz") == http.StatusOK })
}

// writeSettings writes the settings file of an entry and returns its path.
func (d *testDeployment) writeSettings(s *platform.Settings) string {
	d.t.Helper()
	b, err := faker.SettingsFile(s)
	if err != nil {
		d.t.Fatal(err)
	}
	path := filepath.Join(d.dir, s.Name+".toml")
	if err := os.WriteFile(path, b, 0o600); err != nil {
		d.t.Fatal(err)
	}
	return path
}

func (d *testDeployment) configure(version int, service string) {
	d.store.Put(faker.TopicOperator, "config", faker.Document(version, service))
}

func (d *testDeployment) wait(what string, ok func() bool) {
	d.t.Helper()
	for deadline := time.Now().Add(waitTimeout); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			d.t.Fatalf("timed out waiting for: %s\n%s", what, d.logs.String())
		}
	}
}

func (d *testDeployment) get(url string) int {
	resp, err := d.client.Get(url)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode
}

// text returns the body of a page, or an empty string if it can't be read.
func (d *testDeployment) text(url string) string {
	resp, err := d.client.Get(url)
	if err != nil {
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	b, _ := io.ReadAll(resp.Body)
	return string(b)
}

// send sends a request to an entry; status 0 means that there was no response.
func (d *testDeployment) send(entry int, method, path, id string) (status int, body, retry string) {
	const timeout = 2 * time.Second
	req, err := faker.NewRequest(context.Background(), method, d.entries[entry].settings.Callers.String(), path, id, timeout)
	if err != nil {
		d.t.Fatal(err)
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return 0, "", ""
	}
	defer func() { _ = resp.Body.Close() }()
	b, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), resp.Header.Get("Retry-After")
}

func (d *testDeployment) runs(id string) int {
	n := 0
	for _, s := range d.servers {
		n += s.Runs(id)
	}
	return n
}

func (d *testDeployment) fault(f faker.Fault) {
	for _, s := range d.servers {
		s.SetFault(f)
	}
}

// TestEntryServes guards against an entry on the platform that does not list all entries,
// serve requests, apply a new configuration version or drain a server, and against an
// invalid record in the store that prevents these.
func TestEntryServes(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 2)
	var answer struct{ Addresses []string }
	d.wait("both entries in the directory", func() bool {
		resp, err := d.client.Get("http://" + d.entries[1].settings.Directory.String() + "/-/resolve?Name=h&Zone=a")
		if err != nil {
			return false
		}
		defer func() { _ = resp.Body.Close() }()
		return json.NewDecoder(resp.Body).Decode(&answer) == nil && len(answer.Addresses) == 2
	})
	status, body, _ := d.send(1, http.MethodGet, "/read/x?q=%2f", "a1")
	is.Equal(status, http.StatusOK)
	is.True(strings.HasSuffix(body, "GET /read/x?q=%2f 0\n"))
	status, _, _ = d.send(0, http.MethodGet, "/none/", "a2")
	is.Equal(status, http.StatusNotFound)
	d.store.Put(faker.TopicOperator, "config", []byte(`{"Version":`))
	d.configure(2, "other")
	for i := range d.entries {
		d.wait("new version", func() bool {
			_, body, _ := d.send(i, http.MethodGet, "/read/x", fmt.Sprint("v", i))
			return strings.HasPrefix(body, "i-2")
		})
	}
	d.store.Put(faker.TopicServers, "i-0", d.servers[0].Registration("draining", 2))
	d.store.Put(faker.TopicServers, "i-9", []byte("not a server"))
	for i := range d.entries {
		served := 0
		d.wait("drain of i-0", func() bool {
			_, body, _ := d.send(i, http.MethodPost, "/post/x", fmt.Sprint("d", i, served))
			if served++; strings.HasPrefix(body, "i-0") {
				served = 0
			}
			return served > 20
		})
	}
	is.Equal(d.get("http://"+d.entries[0].settings.Metrics.String()+"/metrics"), http.StatusOK)
	for _, name := range []string{"store_reads_total", "log_lines_dropped_total", "log_lines_omitted_total"} {
		is.True(strings.Contains(d.text("http://"+d.entries[0].settings.Metrics.String()+"/metrics"), "azuretrestle_"+name))
	}
}

// TestEntryAtMostOnce guards against a second run of a request that must run at most once,
// and against statuses that claim more than is known about the run.
func TestEntryAtMostOnce(t *testing.T) {
	for _, c := range []struct {
		name   string
		fault  faker.Fault
		status int
		runs   int
	}{
		{"served", faker.FaultNone, http.StatusOK, 1},
		{"refused", faker.FaultShed, http.StatusServiceUnavailable, 0},
		{"response lost", faker.FaultReset, http.StatusBadGateway, 1},
		{"no response", faker.FaultSilent, http.StatusGatewayTimeout, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := deploy(t, 1)
			d.fault(c.fault)
			status, _, retry := d.send(0, http.MethodPost, "/post/x", "p1")
			is.Equal(status, c.status)
			is.Equal(d.runs("p1"), c.runs)
			is.Equal(retry != "", status == http.StatusServiceUnavailable)
		})
	}
}

// TestEntryFailureLogLines guards against failed requests whose log line lacks the cause, and
// against attempts that count as not run without a metric for the evidence.
func TestEntryFailureLogLines(t *testing.T) {
	for _, c := range []struct {
		fault faker.Fault
		want  []string
	}{
		{faker.FaultShed, []string{`"request refused"`, `"Code":"UpstreamRefused"`, `"Outcome":"NotRun"`, `"Result":"NotRun"`, `"Connection":`}},
		{faker.FaultReset, []string{`"request failed"`, `"Code":"ConnectionLost"`, `"Outcome":"Unknown"`, `"Result":"Lost"`, `"Cause":"read response: `}},
		{faker.FaultSilent, []string{`"request failed"`, `"Code":"UpstreamTimeout"`, `"Result":"Timeout"`, `"Upstream":"i-`}},
	} {
		d := deploy(t, 1)
		d.fault(c.fault)
		d.send(0, http.MethodPost, "/post/x", "lost-request")
		line := ""
		d.wait("log line", func() bool {
			for l := range strings.Lines(d.logs.String()) {
				if strings.Contains(l, `"Request":"lost-request"`) {
					line = l
				}
			}
			return line != ""
		})
		for _, want := range append(c.want, `"Route":"post"`, `"Version":1`, `"Took":`) {
			if !strings.Contains(line, want) {
				t.Errorf("no %s in %s", want, line)
			}
		}
		metrics := d.text("http://" + d.entries[0].settings.Metrics.String() + "/metrics")
		if counted := !strings.Contains(metrics, "azuretrestle_attempts_not_run_total{evidence=\"Stated\"} 0\n"); counted != (c.fault == faker.FaultShed) {
			t.Errorf("refusals of the upstream counted: %t", counted)
		}
	}
}

// TestEntryStops guards against a planned stop that cuts off a request, leaks a
// goroutine or leaves the entry ready.
func TestEntryStops(t *testing.T) {
	is := is.New(t)
	known := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, known) }) // runs after all cleanups of deploy
	d := deploy(t, 2)
	d.servers[0].Work, d.servers[1].Work = 400*time.Millisecond, 400*time.Millisecond
	statuses := make(chan int, 1)
	go func() {
		status, _, _ := d.send(1, http.MethodGet, "/read/x", "s1")
		statuses <- status
	}()
	d.wait("request in progress", func() bool { return d.runs("s1") > 0 })
	d.signals[1] <- syscall.SIGTERM
	d.wait("entry not ready", func() bool {
		return d.get("http://"+d.entries[1].settings.Readiness.String()+"/-/readyz") == http.StatusServiceUnavailable
	})
	is.Equal(<-statuses, http.StatusOK)
	is.NoErr(<-d.ended[1])
	_, err := net.Dial("tcp", d.entries[1].settings.Callers.String())
	is.True(err != nil)
	d.client.CloseIdleConnections()
}

// TestEntryOutage guards against an entry that stops serving while the store is
// unavailable, or that misses changes made during the outage.
func TestEntryOutage(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 1)
	d.store.SetFault(faker.StoreRefuses)
	calls := d.store.Calls()
	d.wait("store reads during the outage", func() bool { return d.store.Calls() > calls+3 })
	status, _, _ := d.send(0, http.MethodGet, "/read/x", "o1")
	is.Equal(status, http.StatusOK)
	d.configure(2, "other")
	d.store.Expire()
	d.store.SetFault(faker.StoreServes)
	d.wait("new version", func() bool {
		_, body, _ := d.send(0, http.MethodGet, "/read/x", "o2")
		return strings.HasPrefix(body, "i-2")
	})
}

// TestEntryReloads guards against changes of the settings file that have no effect without
// a signal, and against an invalid file that replaces the last valid settings.
func TestEntryReloads(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 1)
	s := *d.entries[0].settings
	other := &faker.Store{}
	moved := httptest.NewServer(other)
	t.Cleanup(moved.Close)
	other.Put(faker.TopicOperator, "config", faker.Document(1, "tickets"))
	other.Put(faker.TopicOperator, "config", faker.Document(2, "other"))
	is.NoErr(os.WriteFile(filepath.Join(d.dir, s.Name+".toml"), []byte("cut sho"), 0o600))
	d.wait("rejected settings", func() bool { return strings.Contains(d.logs.String(), "settings not reloaded") })
	status, _, _ := d.send(0, http.MethodGet, "/read/x", "r0")
	is.Equal(status, http.StatusOK)
	s.Store = netip.MustParseAddrPort(moved.Listener.Addr().String())
	s.RepeatSlack = 7
	d.writeSettings(&s)
	d.wait("reloaded settings", func() bool { return strings.Contains(d.logs.String(), `"RepeatSlack":7`) })
	d.wait("version of the other store", func() bool { return strings.Contains(d.logs.String(), `"Version":2`) })
}
