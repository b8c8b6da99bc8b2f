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

// call is a caller's request.
type call struct {
	rank     int
	arrived  time.Time
	work     time.Duration
	measured bool
	ran      bool
	attempts int
	// failed is set while the answer at hand is an error.
	failed bool
	open   map[string]int
}

// entry carries out the effects of a node or a baseline.
type entry struct {
	world      *world
	node       stepper
	name       string
	dataCentre string
	dead       bool
	timer      uint64
	calls      map[reducer.RequestID]*call
	jobs       map[attemptKey]*job
	places     map[attemptKey]*upstream
	idle       map[string][]*connection
}

func newEntry(w *world, i int, p Policy, service patcher.Service, seed uint64) *entry {
	e := &entry{
		world: w, name: fmt.Sprintf("e%d", i), dataCentre: w.scenario.Deployment.dataCentre(i),
		calls: make(map[reducer.RequestID]*call), jobs: make(map[attemptKey]*job),
		places: make(map[attemptKey]*upstream), idle: make(map[string][]*connection),
	}
	if p != Ours {
		e.node = newBaseline(p, service, seed+uint64(i))
		return e
	}
	n := reducer.New(reducer.Options{Name: e.name, Incarnation: 1, DataCentre: e.dataCentre, Seed: seed + uint64(i)})
	e.node = n
	w.at(w.now, func() {
		e.carryOut(n.Start(w.now))
		w.feed(e, service)
	})
	return e
}

func (e *entry) step(ev reducer.Event) {
	if !e.dead {
		e.carryOut(e.node.Step(ev))
	}
}

func (e *entry) carryOut(effects []reducer.Effect) {
	w := e.world
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
			w.result.CloseIdle++
		case reducer.SetTimer:
			e.setTimer(f.Deadline)
		case reducer.ReadLog:
			w.readLog(e, f)
		case reducer.Send:
			e.send(f)
		}
	}
}

func (e *entry) setTimer(at time.Time) {
	e.timer++
	set := e.timer
	e.world.at(at, func() {
		if set == e.timer {
			e.step(reducer.TimerFired{Stamp: e.world.stamp()})
		}
	})
}

func (e *entry) send(s reducer.Send) {
	w := e.world
	for _, to := range w.entries {
		if to.name == s.To {
			w.after(peerTime, func() {
				to.step(reducer.PeerMessageReceived{Stamp: w.stamp(), From: e.name, FromIncarnation: 1, Message: s.Message})
			})
		}
	}
}

func (e *entry) dispatch(d reducer.Dispatch) {
	w := e.world
	c := e.calls[d.Attempt.Request]
	u := w.find(d.Upstream)
	j := &job{entry: e, key: d.Attempt, request: c, rank: c.rank, work: c.work}
	c.attempts++
	c.open[u.config.Name]++
	if c.open[u.config.Name] > 1 {
		w.result.Violations.SameUpstream++
	}
	if u.draining() && w.now.Sub(u.drainedAt) > drainBound {
		w.result.Violations.LateDrain++
	}
	e.jobs[d.Attempt], e.places[d.Attempt] = j, u
	delay := w.network(e, u)
	idle := e.idle[u.config.Name]
	if n := len(idle); n > 0 && !d.Fresh {
		j.conn, e.idle[u.config.Name] = idle[n-1], idle[:n-1]
	} else {
		j.conn = &connection{}
		delay += newConnection
	}
	if !j.conn.silent {
		w.after(delay, func() { u.arrive(j) })
	}
}

func (e *entry) cancel(id attemptKey) {
	j := e.jobs[id]
	if j == nil {
		return
	}
	u := e.places[id]
	delete(e.jobs, id)
	j.request.open[u.config.Name]--
	j.cancelled = true
	e.world.after(e.world.network(e, u), func() {
		if !j.finished && (j.running || len(u.queue) > 0) {
			u.release(j)
		}
	})
}

func (e *entry) probe(p reducer.Probe) {
	w := e.world
	w.probes = append(w.probes, w.now)
	u := w.find(p.Upstream)
	w.after(probeTime, func() {
		e.step(reducer.ProbeAnswered{
			Stamp: w.stamp(), Service: p.Service, Upstream: p.Upstream,
			OK: !u.lost && !u.failing, Draining: u.draining(), Report: u.report(),
		})
	})
}

// reply delivers an event of an attempt after the way back.
func (j *job) reply(u *upstream, keep bool, f func() reducer.Event) {
	j.finished = true
	if j.entry == nil {
		return
	}
	e := j.entry
	e.world.after(e.world.network(e, u), func() {
		if e.jobs[j.key] != j {
			return
		}
		j.request.open[u.config.Name]--
		if keep {
			e.idle[u.config.Name] = append(e.idle[u.config.Name], j.conn)
		}
		e.step(f())
		delete(e.jobs, j.key)
	})
}

func (j *job) answer(u *upstream, status int) {
	report, draining := u.report(), u.draining()
	j.reply(u, true, func() reducer.Event {
		j.request.failed = status != http.StatusOK
		return reducer.UpstreamAnswered{
			Stamp: u.world.stamp(), Attempt: j.key, Status: status, Whole: true, Report: report, Draining: draining,
		}
	})
}

func (j *job) shed(u *upstream) {
	u.world.result.Sheds++
	report, draining := u.report(), u.draining()
	j.reply(u, true, func() reducer.Event {
		return reducer.UpstreamAnswered{
			Stamp: u.world.stamp(), Attempt: j.key, Status: http.StatusServiceUnavailable, NotRun: true, Whole: true, Report: report, Draining: draining,
		}
	})
}

func (j *job) fail(u *upstream, sent bool) {
	j.reply(u, false, func() reducer.Event {
		f := balancer.FailureDial
		if sent {
			f = balancer.FailureLost
		}
		return reducer.AttemptFailed{Stamp: u.world.stamp(), Attempt: j.key, Failure: f, Sent: sent}
	})
}

func (e *entry) relay(id attemptKey) {
	c, ok := e.calls[id.Request]
	if !ok {
		e.world.result.Violations.TwoAnswers++
		return
	}
	delete(e.calls, id.Request)
	e.world.result.answered(c, e.world.now)
}

func (e *entry) refuse(f reducer.Refuse) {
	c, ok := e.calls[f.ID]
	if !ok {
		e.world.result.Violations.TwoAnswers++
		return
	}
	delete(e.calls, f.ID)
	e.world.result.refused(c, e.world.now, f.Outcome == classifier.OutcomeNotRun)
}
