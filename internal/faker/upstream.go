package faker

import (
	"bytes"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Faults is what an upstream stand-in does wrong; the zero value is a healthy upstream.
type Faults struct {
	// Draining makes it refuse new work and say so.
	Draining bool
	// Shedding makes it refuse all work as not run.
	Shedding bool
	// FailFast makes it answer 500 at once without running the request.
	FailFast bool
	// LoseAnswers makes it run requests and close the connection without an answer.
	LoseAnswers bool
	// Unhealthy makes /health fail.
	Unhealthy bool
	// Straggle multiplies the service time; 0 counts as 1.
	Straggle float64
	// AnswerBytes pads answers to this size.
	AnswerBytes int
	// CutAfter breaks answers off after this many bytes; 0 means never.
	CutAfter int
	// Report is told instead of the true load.
	Report *Load
	// ReportLag is the age of the load that is told.
	ReportLag Period
	// MaxConnections closes connections beyond it at once; 0 means no limit.
	MaxConnections int
}

// Load is what an upstream tells of itself.
type Load struct{ InFlight, Queued int }

// Upstream is a stand-in of a server with a bounded number of slots.
type Upstream struct {
	// Name is told in every answer.
	Name string
	// Slots is the number of requests that run at once.
	Slots int
	// Queue is the number of requests that wait for a slot; further ones are refused as not run.
	Queue int
	// Work is how long a request holds a slot; if nil, Mean and Sigma decide.
	Work func(*http.Request) time.Duration
	// Mean is the mean service time.
	Mean time.Duration
	// Sigma is the shape of the log-normal service time; 0 makes all equal.
	Sigma float64
	// Cold is the time after Warm or the first request in which requests take up to ColdFactor times as long.
	Cold       time.Duration
	ColdFactor float64
	// Seed starts the random service times.
	Seed uint64

	mu        sync.Mutex
	faults    Faults
	server    *Server
	random    *rand.Rand
	slots     chan struct{}
	startedAt time.Time
	load      Load
	history   []pastLoad
	executed  int
	refused   int
	cancelled int
	probed    int
	runs      map[string]int
}

// State is what an upstream stand-in counted.
type State struct {
	Faults      Faults
	Load        Load
	Executed    int
	Refused     int
	Cancelled   int
	Probed      int
	Connections int
	Accepted    int
	// Runs is the number of executions per idempotency key.
	Runs map[string]int
}

// command is what the control path takes.
type command struct {
	Faults
	// Silence makes the open connections go silent.
	Silence bool
	// Chill begins another cold start.
	Chill bool
}

// ServeHTTP runs a request if a slot is free, and refuses it otherwise.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case controlPath:
		control(w, r, u.command, func() any { return u.State() })
	case "/load":
		u.serveLoad(w)
	case "/health":
		u.serveHealth(w)
	default:
		u.serveWork(w, r)
	}
}

func (u *Upstream) serveLoad(w http.ResponseWriter) {
	u.mu.Lock()
	u.probed++
	u.mu.Unlock()
	load := u.report(w)
	_, _ = io.WriteString(w, load+"\n")
}

func (u *Upstream) serveHealth(w http.ResponseWriter) {
	if f := u.Faults(); f.Unhealthy || f.Draining {
		http.Error(w, "unhealthy", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

func (u *Upstream) serveWork(w http.ResponseWriter, r *http.Request) {
	f := u.Faults()
	if f.FailFast {
		http.Error(w, "failing", http.StatusInternalServerError)
		return
	}
	if f.Draining || f.Shedding || passed(r) || !u.begin(r) {
		u.refuse(w)
		return
	}
	defer u.end()
	size, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	u.count(r.Header.Get("Idempotency-Key"))
	if !pause(r, u.serviceTime(r, f)) {
		u.mu.Lock()
		u.cancelled++
		u.mu.Unlock()
		return
	}
	if f.LoseAnswers {
		panic(http.ErrAbortHandler)
	}
	u.report(w)
	u.answer(w, r, size, f)
}

func (u *Upstream) answer(w http.ResponseWriter, r *http.Request, size int64, f Faults) {
	body := []byte(u.Name + " " + r.Method + " " + r.URL.Path + " " + strconv.FormatInt(size, 10) + "\n")
	if pad := f.AnswerBytes - len(body); pad > 0 {
		body = append(body, bytes.Repeat([]byte{'.'}, pad)...)
	}
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if f.CutAfter <= 0 || f.CutAfter >= len(body) {
		_, _ = w.Write(body)
		return
	}
	_, _ = w.Write(body[:f.CutAfter])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// Set replaces the faults.
func (u *Upstream) Set(f Faults) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults = f
	if u.server != nil {
		u.server.SetMaxConnections(f.MaxConnections)
	}
}

// Faults returns the current faults.
func (u *Upstream) Faults() Faults {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.faults
}

// Drain makes the upstream refuse new work and say that it is leaving.
func (u *Upstream) Drain() {
	f := u.Faults()
	f.Draining = true
	u.Set(f)
}

// Chill begins another cold start.
func (u *Upstream) Chill() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.startedAt = time.Now()
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

// State returns what was counted.
func (u *Upstream) State() State {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := State{
		Faults: u.faults, Load: u.load, Executed: u.executed, Refused: u.refused,
		Cancelled: u.cancelled, Probed: u.probed, Runs: make(map[string]int, len(u.runs)),
	}
	for k, n := range u.runs {
		s.Runs[k] = n
	}
	if u.server != nil {
		s.Connections = u.server.Open()
		s.Accepted = u.server.Accepted()
	}
	return s
}

func (u *Upstream) command(c command) {
	u.Set(c.Faults)
	u.mu.Lock()
	server := u.server
	u.mu.Unlock()
	if c.Silence && server != nil {
		server.Silence()
	}
	if c.Chill {
		u.Chill()
	}
}

func (u *Upstream) attach(s *Server) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.server = s
}
