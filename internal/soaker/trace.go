package soaker

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/azuretrestle/azuretrestle/platform/faker"
)

// Request is one attempt of a caller with its end.
type Request struct {
	ID     string
	Entry  int
	Method string
	Target string
	// Body is the length of the body in bytes.
	Body   int
	SentAt time.Time
	// EndedAt is when the answer was read or the connection broke.
	EndedAt time.Time
	// Status is 0 if there was no whole answer.
	Status int
	Stamp  string
	Answer string
	// GaveUp is set if the caller stopped waiting.
	GaveUp bool
}

// onceOnly reports whether the request must not run twice.
func (r Request) onceOnly() bool { return r.Method == methodOnce }

// timeout is that of the request's route.
func (r Request) timeout() time.Duration {
	if r.onceOnly() {
		return postTimeout
	}
	return readTimeout
}

// Version is a version of the configuration that the store has acknowledged.
type Version struct {
	Number int
	// Service runs the requests that may run more than once.
	Service string
	SentAt  time.Time
	AckedAt time.Time
}

// Departure is an upstream whose leaving the store has acknowledged.
type Departure struct {
	Upstream string
	At       time.Time
}

// Disturbance is a time in which something disturbed entries.
type Disturbance struct {
	// Entry is the entry, or everyEntry.
	Entry int
	From  time.Time
	// Until is zero while the disturbance lasts.
	Until time.Time
	// Planned is set for planned stops and reloads.
	Planned bool
	// Store is set if the store itself is disturbed, and nothing else.
	Store bool
	Cause string
}

// everyEntry stands for all entries.
const everyEntry = -1

// touches reports whether the disturbance has a part in a time at an entry.
func (d Disturbance) touches(entry int, from, until time.Time) bool {
	if d.Entry != everyEntry && d.Entry != entry {
		return false
	}
	return d.From.Before(until) && (d.Until.IsZero() || d.Until.After(from))
}

// Exit is a process that ended otherwise than it was told to.
type Exit struct {
	Entry  int
	At     time.Time
	Detail string
}

// Trace is what callers, upstreams and the store saw of a run.
type Trace struct {
	Begun      time.Time
	Requests   []Request
	Runs       []faker.Run
	Versions   []Version
	Departures []Departure
	// Crashes holds when upstreams ended without a notice.
	Crashes      map[string]time.Time
	Disturbances []Disturbance
	Exits        []Exit
}

// inTouch reports whether an entry was free of disturbance for contact before a time.
func (t *Trace) inTouch(entry int, at time.Time) bool {
	return !slices.ContainsFunc(t.Disturbances, func(d Disturbance) bool {
		return d.touches(entry, at.Add(-contact), at)
	})
}

// storeStable reports whether the store was free of disturbance for contact before a time.
func (t *Trace) storeStable(at time.Time) bool {
	return !slices.ContainsFunc(t.Disturbances, func(d Disturbance) bool {
		return d.Store && d.touches(d.Entry, at.Add(-contact), at)
	})
}

// index is a trace with its runs and requests by the id of the request.
type index struct {
	*Trace
	runs     map[string][]faker.Run
	requests map[string]Request
}

func newIndex(t *Trace) *index {
	x := &index{Trace: t, runs: make(map[string][]faker.Run), requests: make(map[string]Request, len(t.Requests))}
	for _, r := range t.Runs {
		x.runs[r.ID] = append(x.runs[r.ID], r)
	}
	for _, r := range t.Requests {
		x.requests[r.ID] = r
	}
	return x
}

// recorder collects a trace from several goroutines.
type recorder struct {
	mu    sync.Mutex
	trace Trace
}

func (r *recorder) request(q Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.trace.Requests = append(r.trace.Requests, q)
}

func (r *recorder) run(run faker.Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.trace.Runs = append(r.trace.Runs, run)
}

func (r *recorder) version(v Version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.trace.Versions = append(r.trace.Versions, v)
}

func (r *recorder) departure(upstream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.trace.Departures = append(r.trace.Departures, Departure{upstream, time.Now()})
}

func (r *recorder) crash(upstream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.trace.Crashes == nil {
		r.trace.Crashes = make(map[string]time.Time)
	}
	r.trace.Crashes[upstream] = time.Now()
}

func (r *recorder) exit(entry int, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.trace.Exits = append(r.trace.Exits, Exit{entry, time.Now(), detail})
}

// disturb begins a disturbance; the function that it returns ends it.
func (r *recorder) disturb(d Disturbance) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if d.From.IsZero() {
		d.From = time.Now()
	}
	i := len(r.trace.Disturbances)
	r.trace.Disturbances = append(r.trace.Disturbances, d)
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if have := &r.trace.Disturbances[i]; have.Until.IsZero() {
			have.Until = time.Now()
		}
	}
}

// finish returns the trace in the order of time.
func (r *recorder) finish() *Trace {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := &r.trace
	slices.SortFunc(t.Requests, func(a, b Request) int { return a.SentAt.Compare(b.SentAt) })
	slices.SortFunc(t.Runs, func(a, b faker.Run) int { return a.At.Compare(b.At) })
	slices.SortFunc(t.Versions, func(a, b Version) int { return cmp.Compare(a.Number, b.Number) })
	return t
}

// Violation is a promise that a run broke.
type Violation struct {
	Promise string
	At      time.Time
	Detail  string
}

func violation(promise string, at time.Time, format string, args ...any) Violation {
	return Violation{promise, at, fmt.Sprintf(format, args...)}
}
