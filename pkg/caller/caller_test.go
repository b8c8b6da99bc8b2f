package caller

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azuretrestle/azuretrestle/pkg/classifier"
)

// fakeEntry handles each request to /call with the next step of its script, and repeats the last step.
type fakeEntry struct {
	mu           sync.Mutex
	script       []string
	requests     []http.Header
	entryQueries int
	keyQueries   int
	expires      time.Duration
	listed       []Entry
}

func (f *fakeEntry) start(t *testing.T) netip.AddrPort {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc("/call/", f.call)
	mux.HandleFunc("/entries", func(w http.ResponseWriter, _ *http.Request) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.entryQueries++
		_ = json.NewEncoder(w).Encode(wireEntries{Entries: f.listed, Expires: time.Now().Add(f.expires)})
	})
	mux.HandleFunc("/keys", func(w http.ResponseWriter, _ *http.Request) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.keyQueries++
		_ = json.NewEncoder(w).Encode(wireKeys{Keys: []string{"k" + strconv.Itoa(f.keyQueries), "l" + strconv.Itoa(f.keyQueries)}})
	})
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	a := netip.MustParseAddrPort(s.Listener.Addr().String())
	f.listed = append(f.listed, Entry{Name: "e", Address: a})
	return a
}

// call supports the steps "OK", "lost" (the connection is closed without a response),
// "truncated", "foreign" (a response without the headers of an entry) and "<outcome> <code>".
func (f *fakeEntry) call(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	f.requests = append(f.requests, r.Header.Clone())
	step := f.script[min(len(f.requests), len(f.script))-1]
	f.mu.Unlock()
	switch step {
	case "OK":
		w.Header().Set(headerOutcome, "Done")
		_, _ = w.Write([]byte("answer"))
	case "lost":
		panic(http.ErrAbortHandler)
	case "truncated":
		w.Header().Set(headerOutcome, "Done")
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte("ans"))
	case "foreign":
		w.WriteHeader(http.StatusOK)
	default:
		outcome, code, _ := strings.Cut(step, " ")
		w.Header().Set(headerOutcome, outcome)
		w.Header().Set(headerCode, code)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (f *fakeEntry) calls() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.requests)
}

// TestOutcomes guards against retries that are not safe, and against an outcome
// that is more certain than the attempts allow.
func TestOutcomes(t *testing.T) {
	for _, c := range []struct {
		name     string
		script   string
		onceOnly bool
		key      string
		sent     int
		outcome  string
	}{
		{"response", "OK", false, "", 1, "Done"},
		{"lost then response", "lost,OK", false, "", 2, "Done"},
		{"truncated then response", "truncated,OK", false, "", 2, "Done"},
		{"always lost", "lost", false, "", 3, "Unknown"},
		{"foreign response", "foreign,OK", false, "", 2, "Done"},
		{"full queue", "NotRun 201,OK", false, "", 1, "NotRun"},
		{"unreachable deadline", "NotRun 202,OK", false, "", 1, "NotRun"},
		{"stale entry", "NotRun 206,OK", false, "", 2, "Done"},
		{"unknown service", "NotRun 101,OK", false, "", 1, "NotRun"},
		{"stopping everywhere", "NotRun 205", false, "", 3, "NotRun"},
		{"once-only response", "OK", true, "", 1, "Done"},
		{"once-only lost then response", "lost,OK", true, "", 2, "Done"},
		{"once-only lost then refused", "lost,NotRun 201", true, "", 2, "Unknown"},
		{"once-only refused", "NotRun 201", true, "", 1, "NotRun"},
		{"once-only with an old key refused", "NotRun 201", true, "old", 1, "Unknown"},
		{"once-only key reused", "Unknown 403", true, "", 1, "Unknown"},
		{"once-only result not kept", "lost,Done 406", true, "", 2, "Done"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := &fakeEntry{script: strings.Split(c.script, ","), expires: time.Minute}
			client := New([]netip.AddrPort{f.start(t)})
			defer client.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			_, err := client.Do(ctx, Request{Service: "S", Rank: "R", Path: "/p", OnceOnly: c.onceOnly, Key: c.key})
			outcome := "Done"
			var fail *Failure
			if errors.As(err, &fail) {
				outcome = fail.Outcome.String()
				is.Equal(fail.Attempts, c.sent)
			}
			is.Equal(outcome, c.outcome)
			f.checkRequests(t, c.sent, c.onceOnly, c.key)
		})
	}
}

// checkRequests checks the number of requests that the entry received and their headers for once-only work and the deadline.
func (f *fakeEntry) checkRequests(t *testing.T, sent int, onceOnly bool, key string) {
	t.Helper()
	is := is.New(t)
	f.mu.Lock()
	defer f.mu.Unlock()
	is.Equal(len(f.requests), sent)
	for i, h := range f.requests {
		d, err := time.Parse(time.RFC3339Nano, h.Get(headerDeadline))
		is.NoErr(err)
		is.True(time.Until(d) > 3*time.Second)
		is.Equal(h.Get(headerKey) != "", onceOnly)
		is.Equal(h.Get(headerKey), f.requests[0].Get(headerKey))
		is.Equal(h.Get(headerAttempt) == "1", onceOnly && i == 0 && key == "")
	}
}

// TestNoTransportRetry guards against a retry of once-only work by net/http itself after a
// reused connection is closed without a response.
func TestNoTransportRetry(t *testing.T) {
	is := is.New(t)
	f := &fakeEntry{script: []string{"OK", "lost", "OK"}, expires: time.Minute}
	client := New([]netip.AddrPort{f.start(t)}, WithAttempts(1))
	defer client.Close()
	_, err := client.Do(t.Context(), Request{Service: "S", Rank: "R", OnceOnly: true})
	is.NoErr(err)
	_, err = client.Do(t.Context(), Request{Service: "S", Rank: "R", OnceOnly: true})
	var fail *Failure
	is.True(errors.As(err, &fail))
	is.Equal(fail.Outcome, classifier.OutcomeUnknown)
	is.Equal(fail.Key, "l1")
	is.Equal(f.calls(), 2)
}

// TestEntries guards against a list of entries that is used after its expiry, against
// a query for each request, and against an unreachable entry that makes calls fail.
func TestEntries(t *testing.T) {
	is := is.New(t)
	unreachable := netip.MustParseAddrPort("127.0.0.1:1")
	f := &fakeEntry{script: []string{"OK"}, expires: expiryMargin + 300*time.Millisecond, listed: []Entry{{Name: "dead", Address: unreachable}}}
	client := New([]netip.AddrPort{unreachable, f.start(t)}, WithRetryBudget(1, 10))
	defer client.Close()
	for range 20 {
		_, err := client.Do(t.Context(), Request{Service: "S", Rank: "R"})
		is.NoErr(err)
	}
	is.Equal(f.entryQueries, 1)
	is.Equal(f.calls(), 20)
	time.Sleep(350 * time.Millisecond)
	_, err := client.Do(t.Context(), Request{Service: "S", Rank: "R"})
	is.NoErr(err)
	is.Equal(f.entryQueries, 2)
}

// TestBudget guards against retries beyond the retry budget, which multiply the load when all
// requests fail.
func TestBudget(t *testing.T) {
	is := is.New(t)
	f := &fakeEntry{script: []string{"NotRun 206"}, expires: time.Minute}
	client := New([]netip.AddrPort{f.start(t)}, WithRetryBudget(0.1, 2))
	defer client.Close()
	for range 50 {
		_, err := client.Do(t.Context(), Request{Service: "S", Rank: "R"})
		is.True(err != nil)
	}
	is.True(f.calls() <= 50+2+5) // each request adds a tenth of a token
}

// TestCancelled guards against a call that outlives its context.
func TestCancelled(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer s.Close()
	defer close(release)
	client := New([]netip.AddrPort{netip.MustParseAddrPort(s.Listener.Addr().String())}, WithFixedEntries())
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	begin := time.Now()
	_, err := client.Do(ctx, Request{Service: "S", Rank: "R"})
	var fail *Failure
	is.True(errors.As(err, &fail))
	is.Equal(fail.Outcome, classifier.OutcomeUnknown)
	is.Equal(fail.Code, classifier.UpstreamTimeout)
	is.True(time.Since(begin) < 2*time.Second)
}

// TestRenewKey guards against requests that keep failing because the witness of
// their key is lost, and against a new key after an attempt that may have been executed.
func TestRenewKey(t *testing.T) {
	for _, c := range []struct {
		name           string
		script         string
		keys           []string
		attemptHeaders []string
	}{
		{"silent witness", "NotRun 401,OK", []string{"k1", "k2"}, []string{"1", "1"}},
		{"lost witness", "NotRun 407,OK", []string{"k1", "k2"}, []string{"1", "1"}},
		{"may have run", "Unknown 401,OK", []string{"k1", "k1"}, []string{"1", ""}},
		{"lost connection first", "lost,NotRun 401,OK", []string{"k1", "k1", "k1"}, []string{"1", "", ""}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := &fakeEntry{script: strings.Split(c.script, ","), expires: time.Minute}
			client := New([]netip.AddrPort{f.start(t)})
			defer client.Close()
			a, err := client.Do(t.Context(), Request{Service: "S", Rank: "R", OnceOnly: true})
			is.NoErr(err)
			is.Equal(a.Key, c.keys[len(c.keys)-1])
			for i, h := range f.requests {
				is.Equal(h.Get(headerKey), c.keys[i])
				is.Equal(h.Get(headerAttempt), c.attemptHeaders[i])
			}
		})
	}
}
