package commander

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azuretrestle/azuretrestle/platform"
	"github.com/azuretrestle/azuretrestle/platform/faker"
)

// endlessMemory is the memory of the entry in TestEntryEndlessResponse, in bytes.
const endlessMemory = 128 << 20

// TestEntryEndlessResponse guards against an entry that runs out of memory, or refuses the
// requests to other services, because the servers of one service send bytes without end.
func TestEntryEndlessResponse(t *testing.T) {
	const head = faker.SuccessHead
	const chunked = head + "Transfer-Encoding: chunked\r\n\r\n"
	kilobyte := strings.Repeat("x", 1<<10)
	for _, c := range []struct {
		name   string
		server *faker.EndlessServer
	}{
		{"status line", &faker.EndlessServer{Repeated: "x"}},
		{"blank lines", &faker.EndlessServer{Repeated: "\r\n"}},
		{"header line", &faker.EndlessServer{Prefix: head + "X: ", Repeated: "x"}},
		{"header lines", &faker.EndlessServer{Prefix: head, Repeated: "X: x\r\n"}},
		{"shortest header lines", &faker.EndlessServer{Prefix: head, Repeated: "a:\r\n"}},
		{"folded header line", &faker.EndlessServer{Prefix: head + "X: x\r\n", Repeated: " x\r\n"}},
		{"interim responses", &faker.EndlessServer{Repeated: "HTTP/1.1 100 Continue\r\n\r\n"}},
		{"body", &faker.EndlessServer{Prefix: head + "\r\n", Repeated: kilobyte}},
		{"body of a failure", &faker.EndlessServer{Prefix: faker.FailureHead + "\r\n", Repeated: kilobyte}},
		{"body of a refusal", &faker.EndlessServer{Prefix: faker.RefusalHead + "\r\n", Repeated: kilobyte}},
		{"body beyond any length", &faker.EndlessServer{Prefix: head + "Content-Length: 9223372036854775807\r\n\r\n", Repeated: kilobyte}},
		{"declared body", &faker.EndlessServer{Prefix: head + "Content-Length: 16777216\r\n\r\n"}},
		{"chunks", &faker.EndlessServer{Prefix: chunked, Repeated: "400\r\n" + kilobyte + "\r\n"}},
		{"shortest chunks", &faker.EndlessServer{Prefix: chunked, Repeated: "1\r\nx\r\n"}},
		{"chunk", &faker.EndlessServer{Prefix: chunked + "7fffffffffffff\r\n", Repeated: kilobyte}},
		{"chunk size", &faker.EndlessServer{Prefix: chunked, Repeated: "0"}},
		{"chunk extension", &faker.EndlessServer{Prefix: chunked + "1;", Repeated: "x"}},
		{"trailer", &faker.EndlessServer{Prefix: chunked + "0\r\n", Repeated: "X: x\r\n"}},
		{"bytes after the response", &faker.EndlessServer{Prefix: head + "Content-Length: 2\r\n\r\nok", Repeated: "x"}},
		{"response to another request", &faker.EndlessServer{Prefix: strings.Replace(chunked, "ID", "other", 1), Repeated: "400\r\n" + kilobyte + "\r\n"}},
		{"head of a health check", &faker.EndlessServer{Prefix: "HTTP/1.1 200 OK\r\n", Repeated: "X: x\r\n", HealthToo: true}},
		{"body of a health check", &faker.EndlessServer{Prefix: "HTTP/1.1 200 OK\r\n\r\n", Repeated: kilobyte, HealthToo: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			c.server.ID = "i-9"
			c.server.BlockTime = 2 * time.Millisecond
			e := startEndless(t, c.server)
			e.load(time.Now().Add(time.Second))
			is.True(e.endless.Load() > 0)
			is.True(e.sound.Load() > 0)
			select {
			case <-e.exited:
				t.Fatal("the entry ended")
			default:
			}
			is.Equal(e.metric(`azuretrestle_bodies_rejected_total{size="small"}`), "0")
			peak := e.peakMemory()
			t.Logf("peak memory %d MB, %d bytes sent without end, %d requests to sound servers", peak>>20, c.server.Written(), e.sound.Load())
			if !raceDetector { // it multiplies the memory of the process
				is.True(peak < endlessMemory)
			}
		})
	}
}

// endlessEntry is an entry in a process of its own, with the service tickets, whose
// servers send bytes without end, and the service other, whose servers are sound.
type endlessEntry struct {
	t        *testing.T
	settings *platform.Settings
	process  *os.Process
	exited   chan struct{}
	logs     syncBuffer
	client   http.Client
	// endless and sound count the requests to the two services.
	endless, sound atomic.Int64
}

// startEndless starts the servers, the store and the entry.
func startEndless(t *testing.T, faulty *faker.EndlessServer) *endlessEntry {
	t.Helper()
	store := &faker.Store{}
	store.Put(faker.TopicOperator, "config", faker.Document(1, "other"))
	for i := range 3 {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = lis.Close() })
		go faulty.Serve(lis)
		up := httptest.NewServer(&faker.Server{ID: fmt.Sprint("i-", i), Service: "other", Slots: 6})
		t.Cleanup(up.Close)
		for _, s := range []*faker.Server{
			{ID: fmt.Sprint("i-9", i), Service: "tickets", Zone: "a", Slots: 6, Address: addressOf(lis)},
			{ID: fmt.Sprint("i-", i), Service: "other", Zone: "a", Slots: 6, Address: addressOf(up.Listener)},
		} {
			store.Put(faker.TopicServers, s.ID, s.Registration("ready", 1))
		}
	}
	storeServer := httptest.NewServer(store)
	t.Cleanup(storeServer.Close)
	free, err := freePorts(5)
	if err != nil {
		t.Fatal(err)
	}
	e := &endlessEntry{t: t, exited: make(chan struct{}), settings: &platform.Settings{
		Name: "e0", DataCentre: "a", Callers: free[0], Peers: free[1], Readiness: free[2], Directory: free[3], Metrics: free[4],
		Seeds: free[1:2], Store: addressOf(storeServer.Listener), Memory: endlessMemory, Grace: waitTimeout,
		MaxAnswer: time.Second, RepeatRatio: 0.2, RepeatSlack: 100, ProbeRate: 100,
	}}
	e.start()
	return e
}

func addressOf(lis net.Listener) netip.AddrPort { return netip.MustParseAddrPort(lis.Addr().String()) }

// start starts the entry's process, which is this test binary, and waits until it is ready.
func (e *endlessEntry) start() {
	e.t.Helper()
	text, err := faker.SettingsFile(e.settings)
	if err != nil {
		e.t.Fatal(err)
	}
	path := filepath.Join(e.t.TempDir(), "settings.toml")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		e.t.Fatal(err)
	}
	c := exec.Command(os.Args[0], "entry") //nolint:noctx // The cleanup ends the process.
	c.Args[0] = "azuretrestle"             // TestMain runs the command of this name.
	c.Env = append(os.Environ(), platform.SettingsVariable+"="+path)
	// Only Write takes the lock of the buffer; this hides ReadFrom, which exec would use.
	output := struct{ io.Writer }{&e.logs}
	c.Stdout, c.Stderr = output, output
	if err := c.Start(); err != nil {
		e.t.Fatal(err)
	}
	e.process = c.Process
	go func() {
		defer close(e.exited)
		_ = c.Wait()
	}()
	e.t.Cleanup(func() {
		e.client.CloseIdleConnections()
		_ = c.Process.Kill()
		<-e.exited
	})
	for deadline := time.Now().Add(waitTimeout); !faker.Ready(context.Background(), &e.client, e.settings.Readiness); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			e.t.Fatal("the entry did not become ready")
		}
	}
}

// load sends requests to both services until the given time. Those to sound servers must
// succeed, or be refused as not run: beside load, these servers may answer probes too late.
func (e *endlessEntry) load(until time.Time) {
	const endlessCallers, soundCallers = 10, 2
	body := strings.Repeat("b", 20<<10)
	var callers sync.WaitGroup
	for i := range endlessCallers {
		callers.Go(func() {
			for n := 0; time.Now().Before(until); n++ {
				_, _ = e.send(http.MethodPost, "/post/x", fmt.Sprintf("e%d-%d", i, n), "")
				e.endless.Add(1)
			}
		})
	}
	for i := range soundCallers {
		callers.Go(func() {
			for n := 0; time.Now().Before(until); n++ {
				id := fmt.Sprintf("s%d-%d", i, n)
				status, err := e.send(http.MethodGet, "/read/x", id, body)
				switch status {
				case http.StatusOK:
				case http.StatusServiceUnavailable:
					e.t.Logf("request %s to a sound server was refused: %s", id, e.logLine(id))
				default:
					e.t.Errorf("request %s to a sound server got status %d, error %v: %s", id, status, err, e.logLine(id))
				}
				e.sound.Add(1)
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	callers.Wait()
}

// logLine returns the entry's log line of a request.
func (e *endlessEntry) logLine(id string) string {
	for line := range strings.Lines(e.logs.String()) {
		if strings.Contains(line, fmt.Sprintf(`"Request":%q`, id)) {
			return line
		}
	}
	return "no log line"
}

// metric returns the value of a series that the entry serves.
func (e *endlessEntry) metric(series string) string {
	resp, err := e.client.Get("http://" + e.settings.Metrics.String() + "/metrics")
	if err != nil {
		e.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		e.t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, series+" "); ok {
			return strings.TrimSpace(value)
		}
	}
	return "not served"
}

// send sends a request and returns the status of the response, or an error if there was none.
func (e *endlessEntry) send(method, path, id, body string) (status int, err error) {
	req, err := faker.NewRequest(context.Background(), method, e.settings.Callers.String(), path, id, waitTimeout)
	if err != nil {
		return 0, err
	}
	req.Body, req.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
	resp, err := e.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, nil
}

// peakMemory returns the largest resident memory of the entry's process so far, in bytes,
// or 0 if the system does not tell.
func (e *endlessEntry) peakMemory() int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", e.process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if kilobytes, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			n, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(kilobytes), " kB"), 10, 64)
			return n << 10
		}
	}
	return 0
}
