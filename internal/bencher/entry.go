package bencher

import (
	"fmt"
	"net/http"
	"time"

	"github.com/azuretrestle/azuretrestle/internal/balancer"
	"github.com/azuretrestle/azuretrestle/internal/reducer"
	"github.com/azuretrestle/azuretrestle/pkg/classifier"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

type attemptKey = reducer.AttemptID

// connection is one connection from an entry to an upstream.
type connection struct{ silent bool }

// call is a request of a caller.
type call struct {
	rank     int
	arrived  time.Time
	work     time.Duration
	measured bool
	executed bool
	attempts int
	// failed reports whether the latest HTTP response is an error.
	failed bool
	// openAttempts counts the open attempts by upstream.
	openAttempts map[string]int
}

// entry applies the effects of a node or a baseline to the simulation.
type entry struct {
	sim             *simulation
	node            stepper
	name            string
	dataCentre      string
	dead            bool
	timerGeneration uint64
	calls           map[reducer.RequestID]*call
	jobs            map[attemptKey]*job
	upstreamOf      map[attemptKey]*upstream
	idle            map[string][]*connection
}

func newEntry(sim *simulation, i int, p Policy, service patcher.Service, seed uint64) *entry {
	e := &entry{
		sim: sim, name: fmt.Sprintf("e%d", i), dataCentre: sim.scenario.Deployment.dataCentre(i),
		calls: make(map[reducer.RequestID]*call), jobs: make(map[attemptKey]*job),
		upstreamOf: make(map[attemptKey]*upstream), idle: make(map[string][]*connection),
	}
	if p != Reducer {
		e.node = newBaseline(p, service, seed+uint64(i))
		return e
	}
	n := reducer.New(reducer.Options{Name: e.name, Incarnation: 1, DataCentre: e.dataCentre, Seed: seed + uint64(i)})
	e.node = n
	sim.at(sim.now, func() {
		e.apply(n.Start(sim.now))
		sim.deliverConfiguration(e, service)
	})
	return e
}

func (e *entry) step(ev reducer.Event) {
	if !e.dead {
		e.apply(e.node.Step(ev))
	}
}

func (e *entry) apply(effects []reducer.Effect) {
	sim := e.sim
	for _, f := range effects {
		switch f := f.(type) {
		case reducer.Dispatch:
			e.dispatch(f)
		case reducer.Cancel:
			e.cancel(f.Attempt)
		case reducer.Relay:
			e.relay(f.Attempt)
		case reducer.Refuse:
			e.refuse(f)
		case reducer.Probe:
			e.probe(f)
		case reducer.CloseIdle:
			delete(e.idle, f.Upstream)
			sim.result.CloseIdle++
		case reducer.SetTimer:
			e.setTimer(f.Deadline)
		case reducer.ReadLog:
			sim.readLog(e, f)
		case reducer.Send:
			e.send(f)
		}
	}
}

func (e *entry) setTimer(at time.Time) {
	e.timerGeneration++
	generation := e.timerGeneration
	e.sim.at(at, func() {
		if generation == e.timerGeneration {
			e.step(reducer.TimerFired{Stamp: e.sim.stamp()})
		}
	})
}

func (e *entry) send(s reducer.Send) {
	sim := e.sim
	for _, to := range sim.entries {
		if to.name == s.To {
			sim.after(peerLatency, func() {
				to.step(reducer.PeerMessageReceived{Stamp: sim.stamp(), From: e.name, FromIncarnation: 1, Message: s.Message})
			})
		}
	}
}

func (e *entry) dispatch(d reducer.Dispatch) {
	sim := e.sim
	c := e.calls[d.Attempt.Request]
	u := sim.findUpstream(d.Upstream)
	j := &job{entry: e, key: d.Attempt, request: c, rank: c.rank, work: c.work}
	c.attempts++
	c.openAttempts[u.config.Name]++
	if c.openAttempts[u.config.Name] > 1 {
		sim.result.Violations.SameUpstream++
	}
	if u.draining() && sim.now.Sub(u.drainedAt) > drainBound {
		sim.result.Violations.LateDrain++
	}
	e.jobs[d.Attempt], e.upstreamOf[d.Attempt] = j, u
	delay := sim.networkDelay(e, u)
	idle := e.idle[u.config.Name]
	if n := len(idle); n > 0 && !d.Fresh {
		j.conn, e.idle[u.config.Name] = idle[n-1], idle[:n-1]
	} else {
		j.conn = &connection{}
		delay += connectDelay
	}
	if !j.conn.silent {
		sim.after(delay, func() { u.arrive(j) })
	}
}

func (e *entry) cancel(id attemptKey) {
	j := e.jobs[id]
	if j == nil {
		return
	}
	u := e.upstreamOf[id]
	delete(e.jobs, id)
	j.request.openAttempts[u.config.Name]--
	j.cancelled = true
	e.sim.after(e.sim.networkDelay(e, u), func() {
		if !j.finished && (j.running || len(u.queue) > 0) {
			u.release(j)
		}
	})
}

func (e *entry) probe(p reducer.Probe) {
	sim := e.sim
	sim.probes = append(sim.probes, sim.now)
	u := sim.findUpstream(p.Upstream)
	sim.after(probeLatency, func() {
		e.step(reducer.ProbeAnswered{
			Stamp: sim.stamp(), Service: p.Service, Upstream: p.Upstream,
			OK: !u.lost && !u.failing, Draining: u.draining(), Report: u.report(),
		})
	})
}

// deliver passes the event that ends an attempt to its entry after the network delay.
func (j *job) deliver(u *upstream, reusable bool, f func() reducer.Event) {
	j.finished = true
	if j.entry == nil {
		return
	}
	e := j.entry
	e.sim.after(e.sim.networkDelay(e, u), func() {
		if e.jobs[j.key] != j {
			return
		}
		j.request.openAttempts[u.config.Name]--
		if reusable {
			e.idle[u.config.Name] = append(e.idle[u.config.Name], j.conn)
		}
		e.step(f())
		delete(e.jobs, j.key)
	})
}

// respond ends the attempt with an HTTP response of the given status.
func (j *job) respond(u *upstream, status int) {
	report, draining := u.report(), u.draining()
	j.deliver(u, true, func() reducer.Event {
		j.request.failed = status != http.StatusOK
		return reducer.UpstreamAnswered{
			Stamp: u.sim.stamp(), Attempt: j.key, Status: status, Whole: true, Report: report, Draining: draining,
		}
	})
}

// shed ends the attempt with status 503 and the notice that the request was not run.
func (j *job) shed(u *upstream) {
	u.sim.result.Sheds++
	report, draining := u.report(), u.draining()
	j.deliver(u, true, func() reducer.Event {
		return reducer.UpstreamAnswered{
			Stamp: u.sim.stamp(), Attempt: j.key, Status: http.StatusServiceUnavailable, NotRun: true, Whole: true, Report: report, Draining: draining,
		}
	})
}

// fail ends the attempt without a response; sent tells whether the request was sent before
// the connection failed.
func (j *job) fail(u *upstream, sent bool) {
	j.deliver(u, false, func() reducer.Event {
		f := balancer.FailureDial
		if sent {
			f = balancer.FailureLost
		}
		return reducer.AttemptFailed{Stamp: u.sim.stamp(), Attempt: j.key, Failure: f, Sent: sent}
	})
}

func (e *entry) relay(id attemptKey) {
	c, ok := e.calls[id.Request]
	if !ok {
		e.sim.result.Violations.TwoAnswers++
		return
	}
	delete(e.calls, id.Request)
	e.sim.result.countAnswered(c, e.sim.now)
}

func (e *entry) refuse(f reducer.Refuse) {
	c, ok := e.calls[f.ID]
	if !ok {
		e.sim.result.Violations.TwoAnswers++
		return
	}
	delete(e.calls, f.ID)
	e.sim.result.countRefused(c, e.sim.now, f.Outcome == classifier.OutcomeNotRun)
}
