package bencher

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/azuretrestle/azuretrestle/internal/reducer"
	"github.com/azuretrestle/azuretrestle/internal/versioner"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

const (
	warmUp         = time.Second
	newConnection  = time.Millisecond
	probeTime      = 6 * time.Millisecond
	logTime        = time.Millisecond
	peerTime       = time.Millisecond
	hostListLag    = time.Second
	localNetwork   = 50 * time.Microsecond
	backgroundSeed = 7
)

// stepper is an entry: a node or a baseline.
type stepper interface {
	Step(reducer.Event) []reducer.Effect
}

// occurrence is something that happens at a time; ties keep the order of scheduling.
type occurrence struct {
	at       time.Time
	sequence uint64
	run      func()
}

type agenda []occurrence

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	if a[i].at.Equal(a[j].at) {
		return a[i].sequence < a[j].sequence
	}
	return a[i].at.Before(a[j].at)
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(occurrence)) }
func (a *agenda) Pop() any {
	old := *a
	o := old[len(old)-1]
	old[len(old)-1] = occurrence{}
	*a = old[:len(old)-1]
	return o
}

// world joins entries and upstreams by plain queues with fixed delays.
type world struct {
	scenario  Scenario
	random    *rand.Rand
	start     time.Time
	now       time.Time
	sequence  uint64
	agenda    agenda
	entries   []*entry
	upstreams []*upstream
	result    *Result
	nextID    reducer.RequestID
	probes    []time.Time
}

func (w *world) at(t time.Time, f func()) {
	w.sequence++
	heap.Push(&w.agenda, occurrence{at: t, sequence: w.sequence, run: f})
}

func (w *world) after(d time.Duration, f func()) { w.at(w.now.Add(d), f) }

func (w *world) elapsed() time.Duration { return w.now.Sub(w.start) }

func (w *world) runUntil(end time.Time) {
	for len(w.agenda) > 0 && w.agenda[0].at.Before(end) {
		o := heap.Pop(&w.agenda).(occurrence)
		w.now = o.at
		o.run()
	}
}

// Run plays a scenario for one policy and seed.
func Run(sc Scenario, p Policy, seed uint64) *Result {
	start := time.Unix(1_700_000_000, 0)
	w := &world{
		scenario: sc, start: start, now: start, result: newResult(sc.Deployment),
		random: rand.New(rand.NewPCG(seed, backgroundSeed)),
	}
	service := sc.Deployment.service()
	for i, u := range service.Upstreams {
		w.upstreams = append(w.upstreams, newUpstream(w, u, seed+uint64(i)*1000))
	}
	for i := range max(sc.Entries, 1) {
		w.entries = append(w.entries, newEntry(w, i, p, service, seed))
	}
	w.startArrivals(seed)
	for _, f := range sc.Faults {
		w.at(start.Add(warmUp).Add(f.After), func() { f.Do(w) })
	}
	end := start.Add(warmUp).Add(sc.Length)
	w.runUntil(end)
	w.result.finish(w)
	return w.result
}

// feed schedules log reads for a node: the configuration first, then fresh evidence.
func (w *world) feed(e *entry, service patcher.Service) {
	payload, err := versioner.EncodePatch(patcher.Patch{ID: "p", Operations: []patcher.Operation{patcher.PutService{Service: service}}})
	if err != nil {
		panic(err)
	}
	e.step(reducer.LogRead{
		Stamp: w.stamp(), Stream: versioner.Stream, AskedAt: w.now, Next: 1, Tail: 1,
		Records: []reducer.Record{{Offset: 0, Payload: payload}},
	})
}

func (w *world) readLog(e *entry, r reducer.ReadLog) {
	asked := w.now
	w.after(logTime, func() {
		if w.scenario.LogDown && w.elapsed() > warmUp/2 {
			e.step(reducer.LogFailed{Stamp: w.stamp(), Stream: r.Stream})
			return
		}
		e.step(reducer.LogRead{Stamp: w.stamp(), Stream: r.Stream, AskedAt: asked, Next: r.From, Tail: r.From})
	})
}

func (w *world) stamp() reducer.Stamp { return reducer.Stamp{Now: w.now} }

// network is the one-way delay between an entry and an upstream.
func (w *world) network(e *entry, u *upstream) time.Duration {
	if e.dataCentre == u.config.DataCentre {
		return localNetwork
	}
	return w.scenario.Deployment.Distance
}
