package loader

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fakeSystem fakes an entry with its upstreams. Most faults violate an invariant;
// "refused" and "slow" don't.
type fakeSystem struct {
	fault string
	mu    sync.Mutex
	keys  int
	runs  map[string]int
}

func (f *fakeSystem) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch r.URL.Path {
	case "/entries":
		a := r.Context().Value(http.LocalAddrContextKey)
		_, _ = fmt.Fprintf(w, `{"Entries":[{"Name":"e","Address":"%s"}],"Expires":%q}`, a, time.Now().Add(time.Minute).Format(time.RFC3339Nano))
	case "/keys":
		f.keys++
		_, _ = fmt.Fprintf(w, `{"Keys":["k%d"]}`, f.keys)
	default:
		f.call(w, r)
	}
}

func (f *fakeSystem) call(w http.ResponseWriter, r *http.Request) {
	path := "/" + strings.SplitN(r.URL.Path, "/", 5)[4]
	if f.fault == "wrong path" {
		path += "0"
	}
	if f.fault == "slow" {
		time.Sleep(2 * time.Millisecond)
	}
	if f.fault != "done but not run" && f.fault != "refused" {
		f.runs[r.Header.Get("Idempotency-Key")]++
	}
	if f.fault == "run twice" {
		f.runs[r.Header.Get("Idempotency-Key")]++
	}
	if f.fault == "refused but run" || f.fault == "refused" {
		w.Header().Set("Azuretrestle-Outcome", "NotRun")
		w.Header().Set("Azuretrestle-Code", "201")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Azuretrestle-Outcome", "Done")
	_, _ = fmt.Fprintf(w, "t1 %s %s %d\n", r.Method, path, max(r.ContentLength, 0))
}

func (f *fakeSystem) count(key string) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[key], nil
}

func (f *fakeSystem) run(t *testing.T) *Report {
	t.Helper()
	f.runs = make(map[string]int)
	s := httptest.NewServer(f)
	t.Cleanup(s.Close)
	rep, err := Run(t.Context(), Options{
		Seeds: []netip.AddrPort{netip.MustParseAddrPort(s.Listener.Addr().String())},
		Ranks: []Rank{
			{Service: "S", Name: "Lookup", Rate: 400, Target: time.Second, Patience: 2 * time.Second},
			{Service: "S", Name: "Posting", OnceOnly: true, Rate: 200, Target: time.Second, Patience: 2 * time.Second, Body: 10},
		},
		Duration: 300 * time.Millisecond, Seed: 7, Runs: f.count,
	})
	is.New(t).NoErr(err)
	return rep
}

// TestInvariants guards against violations that the generator doesn't detect, against
// false reports of a violation, and against requests without a result.
func TestInvariants(t *testing.T) {
	for _, c := range []struct{ fault, wantBroken string }{
		{"", ""},
		{"refused", ""},
		{"wrong path", "wrong answer to S/Lookup"},
		{"run twice", "S/Posting: key k"},
		{"refused but run", "was refused as not run with QueueFull and ran"},
		{"done but not run", "was answered and never ran"},
	} {
		t.Run(c.fault, func(t *testing.T) {
			is := is.New(t)
			f := &fakeSystem{fault: c.fault}
			rep := f.run(t)
			is.Equal(len(rep.Broken) > 0, c.wantBroken != "")
			is.True(strings.Contains(strings.Join(rep.Broken, "\n"), c.wantBroken))
			for _, r := range rep.Ranks {
				is.True(r.Offered > 20)
				is.Equal(r.Offered, r.Within+r.Late+r.Wrong+r.NotRun+r.Unknown+r.NotSent)
			}
		})
	}
}

// TestDirect guards against direct load that goes through an entry, skips an
// upstream or doesn't count executions.
func TestDirect(t *testing.T) {
	is := is.New(t)
	var list []netip.AddrPort
	var served [2]atomic.Int64
	f := &fakeSystem{runs: make(map[string]int)}
	for i := range served {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			served[i].Add(1)
			r.URL.Path = "/call/S/Posting" + r.URL.Path
			f.mu.Lock()
			defer f.mu.Unlock()
			f.call(w, r)
		}))
		t.Cleanup(s.Close)
		list = append(list, netip.MustParseAddrPort(s.Listener.Addr().String()))
	}
	rep, err := Run(t.Context(), Options{
		Direct:   map[string][]netip.AddrPort{"S": list},
		Ranks:    []Rank{{Service: "S", Name: "Posting", OnceOnly: true, Rate: 200, Target: time.Second, Patience: 2 * time.Second}},
		Duration: 300 * time.Millisecond, Seed: 7, Runs: f.count,
	})
	is.NoErr(err)
	is.Equal(len(rep.Broken), 0)
	is.True(rep.Ranks[0].Offered > 20)
	is.Equal(rep.Ranks[0].Executions, map[int]int{1: rep.Ranks[0].Offered})
	is.True(served[0].Load()-served[1].Load() <= 1)
	is.True(served[1].Load() <= served[0].Load())
}

// TestOpenLoop guards against latency that excludes the time a request waits in
// the generator. The system serves one request at a time, more slowly than they
// are offered, so a closed loop would measure only 2 ms.
func TestOpenLoop(t *testing.T) {
	is := is.New(t)
	f := &fakeSystem{fault: "slow"}
	rep := f.run(t)
	is.True(rep.Ranks[0].P99 > 20*time.Millisecond)
}

// TestSchedule guards against starts that differ between runs of one seed, or that miss the rate.
func TestSchedule(t *testing.T) {
	is := is.New(t)
	r := &run{options: Options{Seed: 3, Ranks: []Rank{{Rate: 100}, {Rate: 0}}}, begin: time.Unix(0, 0)}
	a, b := r.schedules(), r.schedules()
	is.Equal(len(a), 1)
	var last time.Time
	for range 10_000 {
		last = a[0].next()
		is.Equal(last, b[0].next())
	}
	seconds := last.Sub(r.begin).Seconds()
	is.True(seconds > 95 && seconds < 105)

	r.options.Ranks[0].Surge = Surge{From: 10 * time.Second, To: 20 * time.Second, Rate: 1000}
	s := r.schedules()[0]
	var counts [3]int
	for at := s.next(); at.Before(time.Unix(30, 0)); at = s.next() {
		counts[at.Unix()/10]++
	}
	for i, want := range []int{1000, 10_000, 1000} {
		is.True(counts[i] > want*85/100 && counts[i] < want*115/100)
	}
}

// TestOutput guards against a report that can't be decoded from JSON or lacks a rank
// in its text, and against an empty plot file.
func TestOutput(t *testing.T) {
	is := is.New(t)
	rep := new(fakeSystem).run(t)
	raw, err := json.Marshal(rep)
	is.NoErr(err)
	var decoded Report
	is.NoErr(json.Unmarshal(raw, &decoded))
	is.Equal(decoded.Ranks, rep.Ranks)
	var text bytes.Buffer
	is.NoErr(rep.WriteText(&text))
	is.True(strings.Contains(text.String(), "S/Posting"))
	for _, name := range []string{"p.svg", "p.png"} {
		path := filepath.Join(t.TempDir(), name)
		is.NoErr(rep.Plot(path))
		data, err := os.ReadFile(path)
		is.NoErr(err)
		is.True(len(data) > 1000)
	}
	is.True(rep.Plot(filepath.Join(t.TempDir(), "p.txt")) != nil)
}
