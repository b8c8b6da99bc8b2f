package faker

import (
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Upstream is a stand-in of a server with a bounded number of slots.
type Upstream struct {
	// Name is told in every answer.
	Name string
	// Slots is the number of requests that run at once.
	Slots int
	// Work is how long a request holds a slot.
	Work func(*http.Request) time.Duration

	mu       sync.Mutex
	inFlight int
	draining bool
	runs     map[string]int
}

// ServeHTTP runs a request if a slot is free, and sheds it otherwise.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if passed(r) || !u.begin() {
		u.refuse(w)
		return
	}
	defer u.end()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	u.count(r.Header.Get("Idempotency-Key"))
	if u.Work != nil && !pause(r, u.Work(r)) {
		return
	}
	u.report(w)
	w.Header().Set("Content-Type", "text/plain")
	_, _ = io.WriteString(w, u.Name+" "+r.Method+" "+r.URL.Path+" "+strconv.Itoa(len(body))+"\n")
}

// Runs returns how often the request with the given key ran here.
func (u *Upstream) Runs(key string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[key]
}

// AllRuns returns how often each key ran here.
func (u *Upstream) AllRuns() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return maps.Clone(u.runs)
}

// Drain makes the upstream refuse new work.
func (u *Upstream) Drain() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.draining = true
}

func passed(r *http.Request) bool {
	deadline, err := time.Parse(time.RFC3339Nano, r.Header.Get("Azuretrestle-Deadline"))
	return err == nil && time.Now().After(deadline)
}

func (u *Upstream) begin() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.draining || u.inFlight >= u.Slots {
		return false
	}
	u.inFlight++
	return true
}

func (u *Upstream) end() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.inFlight--
}

func (u *Upstream) count(key string) {
	if key == "" {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.runs == nil {
		u.runs = make(map[string]int)
	}
	u.runs[key]++
}

func (u *Upstream) report(w http.ResponseWriter) {
	u.mu.Lock()
	defer u.mu.Unlock()
	w.Header().Set("Azuretrestle-Load", strconv.Itoa(u.inFlight)+" 0")
	if u.draining {
		w.Header().Set("Azuretrestle-Draining", "true")
	}
}

func (u *Upstream) refuse(w http.ResponseWriter) {
	u.report(w)
	w.Header().Set("Azuretrestle-Not-Run", "true")
	http.Error(w, "no free slot", http.StatusServiceUnavailable)
}
