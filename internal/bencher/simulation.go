package bencher

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/azuretrestle/azuretrestle/internal/reducer"
	"github.com/azuretrestle/azuretrestle/internal/versioner"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

// Delays of the simulated network and services, the warm-up before the measurement and
// the second seed word of the generator that chooses an entry for rerouted calls.
const (
	warmUp       = time.Second
	connectDelay = time.Millisecond
	probeLatency = 6 * time.Millisecond
	logLatency   = time.Millisecond
	peerLatency  = time.Millisecond
	hostListLag  = time.Second
	localDelay   = 50 * time.Microsecond
	rerouteSeed  = 7
)

// stepper is the policy of an entry: a node or a baseline.
type stepper interface {
	Step(reducer.Event) []reducer.Effect
}

// event is a scheduled function call; those at the same time run in the order of scheduling.
type event struct {
	at       time.Time
	sequence uint64
	run      func()
}

// eventQueue is a heap of events ordered by time.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].sequence < q[j].sequence
	}
	return q[i].at.Before(q[j].at)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return last
}

// simulation connects entries and upstreams through one event queue with fixed network delays.
type simulation struct {
	scenario Scenario
	// random chooses the entry that gets a rerouted call.
	random    *rand.Rand
	start     time.Time
	now       time.Time
	sequence  uint64
	events    eventQueue
	entries   []*entry
	upstreams []*upstream
	result    *Result
	nextID    reducer.RequestID
	probes    []time.Time
}

func (sim *simulation) at(t time.Time, f func()) {
	sim.sequence++
	heap.Push(&sim.events, event{at: t, sequence: sim.sequence, run: f})
}

func (sim *simulation) after(d time.Duration, f func()) { sim.at(sim.now.Add(d), f) }

func (sim *simulation) elapsed() time.Duration { return sim.now.Sub(sim.start) }

func (sim *simulation) runUntil(end time.Time) {
	for len(sim.events) > 0 && sim.events[0].at.Before(end) {
		next := heap.Pop(&sim.events).(event)
		sim.now = next.at
		next.run()
	}
}

// Run simulates a scenario with one policy and seed.
func Run(sc Scenario, p Policy, seed uint64) *Result {
	start := time.Unix(1_700_000_000, 0)
	sim := &simulation{
		scenario: sc, start: start, now: start, result: newResult(sc.Deployment),
		random: rand.New(rand.NewPCG(seed, rerouteSeed)),
	}
	service := sc.Deployment.service()
	for i, u := range service.Upstreams {
		sim.upstreams = append(sim.upstreams, newUpstream(sim, u, seed+uint64(i)*1000))
	}
	for i := range max(sc.Entries, 1) {
		sim.entries = append(sim.entries, newEntry(sim, i, p, service, seed))
	}
	sim.startArrivals(seed)
	for _, f := range sc.Faults {
		sim.at(start.Add(warmUp).Add(f.After), func() { f.Do(sim) })
	}
	end := start.Add(warmUp).Add(sc.Length)
	sim.runUntil(end)
	sim.result.finish(sim)
	return sim.result
}

// deliverConfiguration delivers to a node its first log read, whose only record is the configuration.
func (sim *simulation) deliverConfiguration(e *entry, service patcher.Service) {
	payload, err := versioner.EncodePatch(patcher.Patch{ID: "p", Operations: []patcher.Operation{patcher.PutService{Service: service}}})
	if err != nil {
		panic(err)
	}
	e.step(reducer.LogRead{
		Stamp: sim.stamp(), Stream: versioner.Stream, AskedAt: sim.now, Next: 1, Tail: 1,
		Records: []reducer.Record{{Offset: 0, Payload: payload}},
	})
}

func (sim *simulation) readLog(e *entry, r reducer.ReadLog) {
	asked := sim.now
	sim.after(logLatency, func() {
		if sim.scenario.LogDown && sim.elapsed() > warmUp/2 {
			e.step(reducer.LogFailed{Stamp: sim.stamp(), Stream: r.Stream})
			return
		}
		e.step(reducer.LogRead{Stamp: sim.stamp(), Stream: r.Stream, AskedAt: asked, Next: r.From, Tail: r.From})
	})
}

func (sim *simulation) stamp() reducer.Stamp { return reducer.Stamp{Now: sim.now} }

// networkDelay returns the one-way delay between an entry and an upstream.
func (sim *simulation) networkDelay(e *entry, u *upstream) time.Duration {
	if e.dataCentre == u.config.DataCentre {
		return localDelay
	}
	return sim.scenario.Deployment.Distance
}
