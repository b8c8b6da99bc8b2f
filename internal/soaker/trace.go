package soaker

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/azuretrestle/azuretrestle/platform/faker"
)

// Request is one request of a caller and its result.
type Request struct {
	ID     string
	Entry  int
	Method string
	Target string
	// Body is the length of the body in bytes.
	Body   int
	SentAt time.Time
	// EndedAt is when the response was read or the request failed.
	EndedAt time.Time
	// Status is 0 if no complete response arrived.
	Status int
	// Stamp is the server ID in the header of the response, Answer the body.
	Stamp  string
	Answer string
	// GaveUp is set if the caller's timeout or the run ended first.
	GaveUp bool
}

// onceOnly reports whether the request must not be executed twice.
func (r Request) onceOnly() bool { return r.Method == methodOnce }

// timeout returns the timeout of the request's route.
func (r Request) timeout() time.Duration {
	if r.onceOnly() {
		return postTimeout
	}
	return readTimeout
}

// Version is a configuration version that the store has acknowledged.
type Version struct {
	Number int
	// Service executes the idempotent requests.
	Service string
	SentAt  time.Time
	AckedAt time.Time
}

// Departure is the drain or removal of an upstream, as acknowledged by the store.
type Departure struct {
	Upstream string
	At       time.Time
}

// Disturbance is a period in which a fault or an operation affected entries.
type Disturbance struct {
	// Entry is the number of the entry, or allEntries.
	Entry int
	From  time.Time
	// Until is zero while the disturbance lasts.
	Until time.Time
	// Planned is set for planned stops and reloads.
	Planned bool
	// Store is set if only the store is affected.
	Store bool
	Cause string
}

// allEntries is the Entry of a disturbance that affects all entries.
const allEntries = -1

// overlaps reports whether the disturbance affects an entry within a period.
func (d Disturbance) overlaps(entry int, from, until time.Time) bool {
	if d.Entry != allEntries && d.Entry != entry {
		return false
	}
	return d.From.Before(until) && (d.Until.IsZero() || d.Until.After(from))
}

// Exit is an unexpected, late or failed exit of a process.
type Exit struct {
	Entry  int
	At     time.Time
	Detail string
}

// Trace is what callers, upstreams and the store observed in a run.
type Trace struct {
	Begun      time.Time
	Requests   []Request
	Runs       []faker.Run
	Versions   []Version
	Departures []Departure
	// Crashes holds the times of crashes by upstream.
	Crashes      map[string]time.Time
	Disturbances []Disturbance
	Exits        []Exit
	// UpstreamCount is the number of upstreams, Usages what the entries use of their hosts.
	UpstreamCount int
	Usages        []EntryUsage
}

// undisturbed reports whether no disturbance affected an entry in the settlePeriod before a time.
func (t *Trace) undisturbed(entry int, at time.Time) bool {
	return !slices.ContainsFunc(t.Disturbances, func(d Disturbance) bool {
		return d.overlaps(entry, at.Add(-settlePeriod), at)
	})
}

// storeStable reports whether no disturbance affected the store in the settlePeriod before a time.
func (t *Trace) storeStable(at time.Time) bool {
	return !slices.ContainsFunc(t.Disturbances, func(d Disturbance) bool {
		return d.Store && d.overlaps(d.Entry, at.Add(-settlePeriod), at)
	})
}

// index is a trace with its runs and requests indexed by request id.
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

// recorder collects a trace; it is safe for concurrent use.
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

func (r *recorder) usage(u EntryUsage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.trace.Usages = append(r.trace.Usages, u)
}

// disturb records the beginning of a disturbance; the returned function records its end.
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

// finish returns the trace with requests and runs ordered by time, and versions by number.
func (r *recorder) finish() *Trace {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := &r.trace
	slices.SortFunc(t.Requests, func(a, b Request) int { return a.SentAt.Compare(b.SentAt) })
	slices.SortFunc(t.Runs, func(a, b faker.Run) int { return a.At.Compare(b.At) })
	slices.SortFunc(t.Versions, func(a, b Version) int { return cmp.Compare(a.Number, b.Number) })
	return t
}

// Violation is a promise that was broken in a run.
type Violation struct {
	Promise string
	At      time.Time
	Detail  string
}

func violation(promise string, at time.Time, format string, args ...any) Violation {
	return Violation{promise, at, fmt.Sprintf(format, args...)}
}
