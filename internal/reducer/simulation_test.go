package reducer_test

import (
	"container/heap"
	"net/netip"
	"slices"
	"time"

	"github.com/azuretrestle/azuretrestle/internal/checker"
	"github.com/azuretrestle/azuretrestle/internal/gossiper"
	"github.com/azuretrestle/azuretrestle/internal/reducer"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

const peerPort = 7000

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fault is a failure injected into a message, an attempt or an access to the log.
type fault uint8

const (
	faultNone fault = iota
	// The following apply to messages; the log and probes also use faultLost, attempts faultDelayed.
	faultLost
	faultDelayed
	faultDuplicated
	// The following apply to attempts; the log also uses faultDisconnected and messages faultSlow.
	faultShed
	faultDialFailed
	faultDisconnected
	faultDisconnectedAfterRun
	faultSilent
	// faultStaleConnections makes open connections silent, while new ones work.
	faultStaleConnections
	faultSlow
	faultLargeResponse
)

// interruption pauses or kills a host within a step, after the given number of the
// step's effects has been executed.
type interruption struct {
	effects int
	pause   time.Duration
	kill    bool
}

// simulation runs nodes with a queue of deliveries in virtual time and with fakes
// of the platform log and the upstreams.
type simulation struct {
	now      time.Time
	tasks    taskHeap
	sequence int
	hosts    []*host
	// streams holds the records of the platform log.
	streams map[string][]reducer.Record
	trace   checker.Trace

	// The faults of a run; a nil function injects none.
	peerFault      func(to string, m reducer.PeerMessage) (fault, time.Duration)
	attemptFault   func(d reducer.Dispatch) fault
	probeFault     func(upstream string) fault
	interruptAfter func(h *host, ev reducer.Event, effects []reducer.Effect) (interruption, bool)
	// rewrite changes a message in transit; broken variants of the protocol use it.
	rewrite  func(sim *simulation, p *packet)
	logFault func() fault
	// logDelay is added to the responses of the log, and firstOffset is the first offset
	// that the log retains.
	logDelay    time.Duration
	firstOffset uint64
	// onStep runs after the effects of a step.
	onStep func(h *host)
	// draining holds the time at which each leaving upstream began to drain.
	draining map[string]time.Time
	// openAtClose is the number of requests in flight when listeners closed.
	openAtClose int
	// staleHosts is returned in place of the current host list, if set.
	staleHosts []reducer.Host
}

// packet is a message in transit.
type packet struct {
	from            string
	fromIncarnation uint64
	reducer.Send
}

type task struct {
	at       time.Time
	sequence int
	run      func()
}

type taskHeap []task

func (h taskHeap) Len() int { return len(h) }
func (h taskHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].at.Before(h[j].at)
}
func (h taskHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *taskHeap) Push(x any)   { *h = append(*h, x.(task)) }
func (h *taskHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	*h = old[:len(old)-1]
	return t
}

// host is one entry; its state is lost when it is replaced.
type host struct {
	sim         *simulation
	name        string
	address     netip.AddrPort
	incarnation uint64
	node        *reducer.Node
	skew        time.Duration
	alive       bool
	// changedAt is the time at which the host last started or ended; the host list lags behind it.
	changedAt time.Time
	// closed is set once the entry has closed its listener.
	closed          bool
	pausedUntil     time.Time
	deferred        []func()
	timerGeneration int
	nextID          reducer.RequestID
	calls           map[reducer.RequestID]*call
	attempts        map[reducer.AttemptID]bool
	// idleClosed holds the upstreams whose idle connections were closed.
	idleClosed map[string]bool
	// isolated is set while the host can reach neither the log nor any host that is not isolated.
	isolated bool
}

// call is a caller's request at one entry.
type call struct {
	host     *host
	id       reducer.RequestID
	answer   reducer.Effect
	answered bool
}

func newSimulation(names ...string) *simulation {
	sim := &simulation{now: epoch, draining: make(map[string]time.Time), streams: make(map[string][]reducer.Record)}
	for i, name := range names {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), peerPort)
		sim.hosts = append(sim.hosts, &host{sim: sim, name: name, address: address})
	}
	return sim
}

func (sim *simulation) after(d time.Duration, run func()) {
	sim.sequence++
	heap.Push(&sim.tasks, task{sim.now.Add(d), sim.sequence, run})
}

func (sim *simulation) runUntil(t time.Time) {
	for len(sim.tasks) > 0 && !sim.tasks[0].at.After(t) {
		next := heap.Pop(&sim.tasks).(task)
		sim.now = next.at
		next.run()
	}
	sim.now = t
}

// effects returns the effects of all steps.
func (sim *simulation) effects() []reducer.Effect {
	var out []reducer.Effect
	for _, r := range sim.trace {
		if s, ok := r.(checker.Step); ok {
			out = append(out, s.Effects...)
		}
	}
	return out
}

func (sim *simulation) host(name string) *host {
	i := slices.IndexFunc(sim.hosts, func(h *host) bool { return h.name == name })
	return sim.hosts[i]
}

// entry returns the host's row in its own view.
func (h *host) entry() gossiper.Entry {
	members := h.node.Members()
	i := slices.IndexFunc(members, func(m reducer.Member) bool { return m.Name == h.name })
	return members[i].Entry
}

// start begins a new incarnation without any state.
func (h *host) start() {
	h.incarnation++
	h.alive = true
	h.changedAt = h.sim.now
	h.closed = false
	h.pausedUntil = time.Time{}
	h.deferred = nil
	h.nextID = 0
	h.calls = make(map[reducer.RequestID]*call)
	h.attempts = make(map[reducer.AttemptID]bool)
	h.idleClosed = make(map[string]bool)
	o := reducer.Options{
		Name: h.name, Incarnation: h.incarnation, PeerAddress: h.address, CallerAddress: h.address,
		DataCentre: "d" + h.name, Seed: uint64(h.address.Addr().As4()[3]),
	}
	for _, other := range h.sim.hosts {
		if other != h {
			o.Peers = append(o.Peers, other.address)
		}
	}
	h.node = reducer.New(o)
	h.execute(h.node.Start(h.clock()))
}

// introduce adds the current incarnation of another host to the entry's view.
func (h *host) introduce(other *host) {
	e := other.entry()
	e.HeardAt = h.clock()
	h.node.PutEntry(e)
}

func (h *host) clock() time.Time { return h.sim.now.Add(h.skew) }

func (h *host) stamp() reducer.Stamp { return reducer.Stamp{Now: h.clock()} }

// after runs f for this incarnation once d has passed and the host is not paused.
func (h *host) after(d time.Duration, f func()) {
	incarnation := h.incarnation
	h.sim.after(d, func() {
		if h.alive && h.incarnation == incarnation {
			h.runWhenResumed(f)
		}
	})
}

// runWhenResumed runs f immediately or, if the host is paused, when the pause ends. It
// does nothing if the host is dead.
func (h *host) runWhenResumed(f func()) {
	if !h.alive {
		return
	}
	if h.sim.now.Before(h.pausedUntil) {
		h.deferred = append(h.deferred, f)
		return
	}
	f()
}

func (h *host) pause(d time.Duration) {
	h.pausedUntil = h.sim.now.Add(d)
	incarnation := h.incarnation
	h.sim.after(d, func() {
		if !h.alive || h.incarnation != incarnation || h.sim.now.Before(h.pausedUntil) {
			return
		}
		for len(h.deferred) > 0 && h.alive && !h.sim.now.Before(h.pausedUntil) {
			f := h.deferred[0]
			h.deferred = h.deferred[1:]
			f()
		}
	})
}

// running reports whether the host is neither dead nor paused.
func (h *host) running() bool { return h.alive && !h.sim.now.Before(h.pausedUntil) }

func (h *host) kill() {
	h.alive = false
	h.changedAt = h.sim.now
	h.deferred = nil
}

func (h *host) step(ev reducer.Event) {
	effects := h.node.Step(ev)
	h.sim.trace = append(h.sim.trace, checker.Step{
		At: h.sim.now, Node: h.name, Incarnation: h.incarnation,
		Event: ev, Effects: effects, Version: h.node.Config().Version,
	})
	if h.sim.interruptAfter != nil {
		if c, ok := h.sim.interruptAfter(h, ev, effects); ok {
			h.interrupt(c, effects)
			return
		}
	}
	h.execute(effects)
	if h.sim.onStep != nil {
		h.sim.onStep(h)
	}
}

func (h *host) interrupt(c interruption, effects []reducer.Effect) {
	n := min(c.effects, len(effects))
	h.execute(effects[:n])
	if c.kill {
		h.kill()
		return
	}
	h.deferred = append([]func(){func() { h.execute(effects[n:]) }}, h.deferred...)
	h.pause(c.pause)
}

func (h *host) execute(effects []reducer.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case reducer.Dispatch:
			h.dispatch(e)
		case reducer.Cancel:
			delete(h.attempts, e.Attempt)
		case reducer.Relay:
			h.end(e.Attempt.Request, e)
		case reducer.Refuse:
			h.end(e.ID, e)
		case reducer.AnswerStored:
			h.end(e.ID, e)
		case reducer.AnswerPatch:
			h.end(e.ID, e)
		case reducer.AnswerKeys:
			h.end(e.ID, e)
		case reducer.Send:
			h.send(e)
		case reducer.ReadLog:
			h.readLog(e)
		case reducer.Append:
			h.append(e)
		case reducer.SetTimer:
			h.setTimer(e.Deadline)
		case reducer.ListHosts:
			h.listHosts()
		case reducer.CloseIdle:
			h.idleClosed[e.Upstream] = true
		case reducer.Probe:
			h.probe(e)
		case reducer.Stop:
			h.stop(e.Phase)
		}
	}
}

func (h *host) end(id reducer.RequestID, e reducer.Effect) {
	if c, ok := h.calls[id]; ok {
		delete(h.calls, id)
		c.answer = e
		c.answered = true
	}
}

func (h *host) setTimer(deadline time.Time) {
	h.timerGeneration++
	generation := h.timerGeneration
	h.after(max(0, deadline.Sub(h.clock())), func() {
		if h.timerGeneration == generation {
			h.step(reducer.TimerFired{Stamp: h.stamp()})
		}
	})
}

func (h *host) send(e reducer.Send) {
	sim := h.sim
	p := packet{h.name, h.incarnation, e}
	if sim.rewrite != nil {
		sim.rewrite(sim, &p)
	}
	to := sim.receiver(p)
	if to == nil || to.isolated != h.isolated {
		return
	}
	injected, delay := faultNone, time.Duration(0)
	if sim.peerFault != nil {
		injected, delay = sim.peerFault(to.name, p.Message)
	}
	if injected == faultLost {
		return
	}
	sim.after(time.Millisecond+delay, func() { sim.deliver(p) })
	if injected == faultDuplicated {
		sim.after(2*time.Millisecond+2*delay, func() { sim.deliver(p) })
	}
}

// receiver returns the destination of a message, found by name or, if the message
// has none, by address; it returns nil if no host has the address.
func (sim *simulation) receiver(p packet) *host {
	if p.To != "" {
		return sim.host(p.To)
	}
	i := slices.IndexFunc(sim.hosts, func(h *host) bool { return h.address == p.Address })
	if i < 0 {
		return nil
	}
	return sim.hosts[i]
}

func (sim *simulation) deliver(p packet) {
	to := sim.receiver(p)
	if !to.alive || p.Incarnation != 0 && p.Incarnation != to.incarnation {
		return
	}
	to.runWhenResumed(func() {
		to.step(reducer.PeerMessageReceived{
			Stamp: to.stamp(), From: p.from, FromIncarnation: p.fromIncarnation, Message: p.Message,
		})
	})
}

// request delivers a caller's request to an entry.
func (h *host) request(ev reducer.RequestArrived) *call {
	c := &call{host: h}
	h.runWhenResumed(func() {
		if h.closed {
			return
		}
		h.nextID++
		c.id = h.nextID
		h.calls[c.id] = c
		ev.Stamp = h.stamp()
		ev.ID = c.id
		ev.Service = "S"
		ev.Replayable = true
		h.step(ev)
	})
	return c
}

func (c *call) disconnect() {
	h := c.host
	h.runWhenResumed(func() {
		if h.calls[c.id] == c {
			delete(h.calls, c.id)
			h.step(reducer.CallerDisconnected{Stamp: h.stamp(), ID: c.id})
		}
	})
}

// submit delivers a patch to an entry.
func (h *host) submit(p patcher.Patch) *call {
	c := &call{host: h}
	h.runWhenResumed(func() {
		if h.closed {
			return
		}
		h.nextID++
		c.id = h.nextID
		h.calls[c.id] = c
		h.step(reducer.PatchSubmitted{Stamp: h.stamp(), ID: c.id, Patch: p})
	})
	return c
}

// requestStop begins a planned stop, as a first SIGTERM does.
func (h *host) requestStop() {
	h.runWhenResumed(func() { h.step(reducer.StopRequested{Stamp: h.stamp()}) })
}
