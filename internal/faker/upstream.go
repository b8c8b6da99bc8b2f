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

// Faults holds the faults of a fake upstream; the zero value is a healthy upstream.
type Faults struct {
	// Draining refuses new requests as not run and sets the draining header.
	Draining bool
	// Shedding refuses all requests as not run.
	Shedding bool
	// FailFast responds with status 500 at once without executing the request.
	FailFast bool
	// LoseAnswers executes requests and closes the connection without a response.
	LoseAnswers bool
	// Unhealthy makes /health fail.
	Unhealthy bool
	// Straggle multiplies the service time; 0 counts as 1.
	Straggle float64
	// AnswerBytes pads response bodies to this size.
	AnswerBytes int
	// CutAfter truncates response bodies after this many bytes; 0 means never.
	CutAfter int
	// Report replaces the actual load in responses if it is not nil.
	Report *Load
	// ReportLag is the age of the reported load.
	ReportLag Period
	// MaxConnections is the number of open connections beyond which new ones are closed at once; 0 means no limit.
	MaxConnections int
}

// Load is the load that an upstream reports.
type Load struct{ InFlight, Queued int }

// Upstream is a fake upstream with a bounded number of slots.
type Upstream struct {
	// Name is the first word of every response body.
	Name string
	// Slots is the number of requests that are executed concurrently.
	Slots int
	// Queue is the number of requests that may wait for a slot; further ones are refused as not run.
	Queue int
	// Work returns how long a request holds a slot; if nil, Mean and Sigma decide.
	Work func(*http.Request) time.Duration
	// Mean is the mean service time.
	Mean time.Duration
	// Sigma is the shape parameter of the log-normal service time; with 0 all times are equal.
	Sigma float64
	// Cold is the length of the slow start, which begins with the first request or
	// BeginSlowStart. During it, requests take up to ColdFactor times as long.
	Cold       time.Duration
	ColdFactor float64
	// Seed seeds the random service times.
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

// State holds the faults, the load and the counters of a fake upstream.
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

// upstreamCommand is the body of a control request.
type upstreamCommand struct {
	Faults
	// Silence makes the open connections stop responding without closing them.
	Silence bool
	// Chill begins another slow start.
	Chill bool
}

// ServeHTTP executes a request if it gets a slot or a place in the queue, and refuses it otherwise.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case controlPath:
		serveControl(w, r, u.apply, func() any { return u.State() })
	case "/load":
		u.serveLoad(w)
	case "/health":
		u.serveHealth(w)
	default:
		u.serveRequest(w, r)
	}
}

func (u *Upstream) serveLoad(w http.ResponseWriter) {
	u.mu.Lock()
	u.probed++
	u.mu.Unlock()
	load := u.reportLoad(w)
	_, _ = io.WriteString(w, load+"\n")
}

func (u *Upstream) serveHealth(w http.ResponseWriter) {
	if f := u.Faults(); f.Unhealthy || f.Draining {
		http.Error(w, "unhealthy", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

func (u *Upstream) serveRequest(w http.ResponseWriter, r *http.Request) {
	f := u.Faults()
	if f.FailFast {
		http.Error(w, "failing", http.StatusInternalServerError)
		return
	}
	if f.Draining || f.Shedding || deadlinePassed(r) || !u.acquireSlot(r) {
		u.refuse(w)
		return
	}
	defer u.releaseSlot()
	size, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	u.countExecution(r.Header.Get("Idempotency-Key"))
	if !pause(r, u.serviceTime(r, f)) {
		u.mu.Lock()
		u.cancelled++
		u.mu.Unlock()
		return
	}
	if f.LoseAnswers {
		panic(http.ErrAbortHandler)
	}
	u.reportLoad(w)
	u.respond(w, r, size, f)
}

func (u *Upstream) respond(w http.ResponseWriter, r *http.Request, size int64, f Faults) {
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

// SetFaults replaces the faults.
func (u *Upstream) SetFaults(f Faults) {
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

// Drain makes the upstream refuse new requests and report that it drains.
func (u *Upstream) Drain() {
	f := u.Faults()
	f.Draining = true
	u.SetFaults(f)
}

// BeginSlowStart begins another slow start.
func (u *Upstream) BeginSlowStart() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.startedAt = time.Now()
}

// Runs returns how often the request with the given key was executed.
func (u *Upstream) Runs(key string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[key]
}

// AllRuns returns the number of executions by key.
func (u *Upstream) AllRuns() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return maps.Clone(u.runs)
}

// State returns the current state.
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

func (u *Upstream) apply(c upstreamCommand) {
	u.SetFaults(c.Faults)
	u.mu.Lock()
	server := u.server
	u.mu.Unlock()
	if c.Silence && server != nil {
		server.Silence()
	}
	if c.Chill {
		u.BeginSlowStart()
	}
}

func (u *Upstream) attach(s *Server) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.server = s
}
