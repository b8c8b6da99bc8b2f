package reducer

import (
	"container/heap"
	"net/netip"
	"slices"
	"time"

	"github.com/azuretrestle/azuretrestle/internal/gossiper"
	"github.com/azuretrestle/azuretrestle/pkg/classifier"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

// fatalReporter is implemented by testing.T and rapid.T.
type fatalReporter interface {
	Fatalf(format string, args ...any)
}

// cluster simulates nodes, a log and a host list with one event queue in virtual time.
type cluster struct {
	t     fatalReporter
	now   time.Time
	start time.Time
	queue taskQueue
	seq   uint64
	nodes map[string]*clusterNode
	names []string
	log   *fakeLog
	hosts []Host
	delay time.Duration
	// partitioned reports whether messages between two entries are lost.
	partitioned func(a, b string) bool
	patches     map[RequestID]AnswerPatch
	entries     map[RequestID]AnswerEntries
	refused     map[RequestID]Refuse
	relayed     map[RequestID]bool
	nextID      RequestID
	// accepted holds the time at which each version was first answered as accepted.
	accepted    map[uint64]time.Time
	serviceTime time.Duration
	record      bool
	// sentBytes is the size of all exchanges sent, stepTime the time spent in Step.
	sentBytes int
	stepTime  time.Duration
}

type clusterNode struct {
	node           *Node
	paused         bool
	logUnreachable bool
	dead           bool
	deferred       []func(Stamp) Event
	timerDeadline  time.Time
	version        uint64
	events         []Event
	effects        [][]Effect
	stopPhases     []StopStep
}

type clusterTask struct {
	at  time.Time
	seq uint64
	run func()
}

type taskQueue []clusterTask

func (q taskQueue) Len() int { return len(q) }
func (q taskQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q taskQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *taskQueue) Push(x any)   { *q = append(*q, x.(clusterTask)) }
func (q *taskQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

type fakeLog struct {
	down           bool
	losesResponses bool
	refusesAppends bool
	streams        map[string]*fakeStream
}

type fakeStream struct {
	first   uint64
	records []Record
}

func (l *fakeLog) stream(name string) *fakeStream {
	if l.streams[name] == nil {
		l.streams[name] = &fakeStream{}
	}
	return l.streams[name]
}

func (s *fakeStream) tail() uint64 { return s.first + uint64(len(s.records)) }

func (s *fakeStream) add(payload []byte) uint64 {
	s.records = append(s.records, Record{Offset: s.tail(), Payload: payload})
	return s.tail() - 1
}

func (s *fakeStream) expire(before uint64) {
	drop := min(before, s.tail()) - s.first
	s.records = s.records[drop:]
	s.first += drop
}

func newCluster(t fatalReporter, names ...string) *cluster {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	c := &cluster{
		t: t, now: now, start: now, nodes: make(map[string]*clusterNode),
		log:   &fakeLog{streams: make(map[string]*fakeStream)},
		delay: time.Millisecond, serviceTime: 50 * time.Millisecond,
		partitioned: func(string, string) bool { return false },
		patches:     make(map[RequestID]AnswerPatch), entries: make(map[RequestID]AnswerEntries),
		refused: make(map[RequestID]Refuse), relayed: make(map[RequestID]bool),
		accepted: make(map[uint64]time.Time),
	}
	c.names = slices.Clone(names)
	for _, name := range names {
		c.add(name)
	}
	return c
}

func testAddress(name string) netip.AddrPort {
	h := uint16(0)
	for _, c := range []byte(name) {
		h = h*31 + uint16(c)
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(h >> 8), byte(h)}), 7000)
}

// add starts a new incarnation of an entry.
func (c *cluster) add(name string) *clusterNode {
	if !slices.Contains(c.names, name) {
		c.names = append(c.names, name)
	}
	o := Options{
		Name: name, Incarnation: uint64(c.now.UnixMilli())<<8 + 1, PeerAddress: testAddress(name),
		CallerAddress: testAddress(name), DataCentre: name[:1], Seed: uint64(testAddress(name).Addr().As4()[3]),
	}
	for _, other := range c.names {
		if other != name {
			o.Peers = append(o.Peers, testAddress(other))
		}
	}
	n := &clusterNode{node: New(o)}
	c.nodes[name] = n
	c.execute(n, n.node.Start(c.now))
	return n
}

func (c *cluster) after(d time.Duration, run func()) {
	c.seq++
	heap.Push(&c.queue, clusterTask{at: c.now.Add(d), seq: c.seq, run: run})
}

// run advances the virtual time by d.
func (c *cluster) run(d time.Duration) {
	end := c.now.Add(d)
	for len(c.queue) > 0 && !c.queue[0].at.After(end) {
		it := heap.Pop(&c.queue).(clusterTask)
		c.now = it.at
		it.run()
	}
	c.now = end
}

// runUntil advances the virtual time until the condition holds, by at most d.
func (c *cluster) runUntil(d time.Duration, cond func() bool) bool {
	for end := c.now.Add(d); c.now.Before(end); c.run(10 * time.Millisecond) {
		if cond() {
			return true
		}
	}
	return cond()
}

func (c *cluster) step(n *clusterNode, event func(Stamp) Event) {
	if n.dead {
		return
	}
	if n.paused {
		n.deferred = append(n.deferred, event)
		return
	}
	ev := event(Stamp{Now: c.now})
	began := time.Now()
	effects := n.node.Step(ev)
	c.stepTime += time.Since(began)
	if c.record {
		n.events = append(n.events, ev)
		n.effects = append(n.effects, effects)
	}
	c.execute(n, effects)
	c.checkInvariants(n)
}

// checkInvariants fails the test if a node reverts its version or accepts work at
// a version that was superseded by one accepted more than 6 s ago.
func (c *cluster) checkInvariants(n *clusterNode) {
	version := n.node.Config().Version
	if version < n.version {
		c.t.Fatalf("%s: %s reverted from version %d to %d", c.now.Sub(c.start), n.node.Name, n.version, version)
	}
	n.version = version
	if n.node.admissionCode() != classifier.OK {
		return
	}
	for v, at := range c.accepted {
		if version < v && c.now.Sub(at) > 6*time.Second {
			c.t.Fatalf("%s: %s accepts work at version %d although version %d was accepted at %s",
				c.now.Sub(c.start), n.node.Name, version, v, at.Sub(c.start))
		}
	}
}

func (c *cluster) resume(n *clusterNode) {
	n.paused = false
	held := n.deferred
	n.deferred = nil
	for _, ev := range held {
		c.step(n, ev)
	}
}

func (c *cluster) execute(n *clusterNode, effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case SetTimer:
			c.setTimer(n, e.Deadline)
		case Send:
			c.send(n, e)
		case ReadLog:
			c.read(n, e)
		case Append:
			c.append(n, e)
		case ListHosts:
			if c.hosts != nil {
				c.after(c.delay, func() { c.step(n, func(s Stamp) Event { return HostsListed{Stamp: s, Hosts: c.hosts} }) })
			}
		case Dispatch:
			c.after(c.serviceTime, func() {
				c.step(n, func(s Stamp) Event { return UpstreamAnswered{Stamp: s, Attempt: e.Attempt, Status: 200, Whole: true} })
			})
		case Relay:
			c.relayed[e.Attempt.Request] = true
		case Refuse:
			c.refused[e.ID] = e
		case AnswerEntries:
			c.entries[e.ID] = e
		case AnswerPatch:
			c.patches[e.ID] = e
			if _, ok := c.accepted[e.Version]; e.Code == classifier.OK && !ok {
				c.accepted[e.Version] = c.now
			}
		case Stop:
			n.stopPhases = append(n.stopPhases, e.Phase)
			n.dead = e.Phase == StopDone
		}
	}
}

func (c *cluster) setTimer(n *clusterNode, at time.Time) {
	n.timerDeadline = at
	c.after(max(0, at.Sub(c.now)), func() {
		if n.timerDeadline.Equal(at) {
			c.step(n, func(s Stamp) Event { return TimerFired{s} })
		}
	})
}

func (c *cluster) send(n *clusterNode, e Send) {
	from, incarnation := n.node.Name, n.node.Incarnation
	c.sentBytes += encodedSize(e.Message)
	c.after(c.delay, func() {
		for _, name := range c.names {
			to := c.nodes[name]
			if to == nil || to.node.PeerAddress != e.Address || c.partitioned(from, name) {
				continue
			}
			if e.Incarnation != 0 && e.Incarnation != to.node.Incarnation {
				continue
			}
			c.step(to, func(s Stamp) Event {
				return PeerMessageReceived{Stamp: s, From: from, FromIncarnation: incarnation, Message: e.Message}
			})
		}
	})
}

const logPageSize = 16

func (c *cluster) read(n *clusterNode, e ReadLog) {
	asked := c.now
	if c.log.down || n.logUnreachable {
		c.after(100*time.Millisecond, func() { c.step(n, func(s Stamp) Event { return LogFailed{s, e.Stream} }) })
		return
	}
	st := c.log.stream(e.Stream)
	from := min(max(e.From, st.first), st.tail())
	list := st.records[from-st.first:]
	list = append([]Record(nil), list[:min(len(list), logPageSize)]...)
	ev := LogRead{
		Stream: e.Stream, AskedAt: asked, First: st.first, Next: from + uint64(len(list)), Tail: st.tail(), Records: list,
	}
	c.after(c.delay, func() {
		c.step(n, func(s Stamp) Event { ev.Stamp = s; return ev })
	})
}

func (c *cluster) append(n *clusterNode, e Append) {
	ev := AppendFinished{Stream: e.Stream, ID: e.ID}
	switch {
	case c.log.down || n.logUnreachable:
	case c.log.refusesAppends:
		ev.Refused = true
	default:
		ev.Offset = c.log.stream(e.Stream).add(e.Payload)
		ev.OK = !c.log.losesResponses
	}
	c.after(c.delay, func() {
		c.step(n, func(s Stamp) Event { ev.Stamp = s; return ev })
	})
}

func (c *cluster) submit(name string, p patcher.Patch) RequestID {
	c.nextID++
	id := c.nextID
	c.step(c.nodes[name], func(s Stamp) Event { return PatchSubmitted{Stamp: s, ID: id, Patch: p} })
	return id
}

func (c *cluster) request(name string) RequestID {
	c.nextID++
	id := c.nextID
	c.step(c.nodes[name], func(s Stamp) Event {
		return RequestArrived{Stamp: s, ID: id, Service: "Tickets", Rank: "Lookup", Replayable: true}
	})
	return id
}

func (c *cluster) askEntries(name string) []EntryAddress {
	c.nextID++
	id := c.nextID
	c.step(c.nodes[name], func(s Stamp) Event { return EntriesRequested{Stamp: s, ID: id, DataCentre: "a"} })
	return c.entries[id].Entries
}

// submitAndWait submits a patch and waits for its result.
func (c *cluster) submitAndWait(name, id string, base uint64) AnswerPatch {
	r := c.submit(name, testPatch(id, base))
	c.runUntil(7*time.Second, func() bool { _, ok := c.patches[r]; return ok })
	return c.patches[r]
}

func testPatch(id string, base uint64) patcher.Patch {
	// Requests of 3.9 s may have to wait until the concurrency limit of a new upstream has grown.
	timeout := patcher.Period{Duration: 6 * time.Second}
	return patcher.Patch{ID: id, Base: base, Actor: "op", Operations: []patcher.Operation{
		patcher.PutService{Service: patcher.Service{
			Name: "Tickets", MaxEntries: 8,
			Ranks: []patcher.Rank{{Name: "Lookup", Kind: patcher.Idempotent, Target: timeout, Patience: timeout, MaxQueue: 1000}},
			Upstreams: []patcher.Upstream{{
				Name: "t1", Address: netip.MustParseAddrPort("10.1.0.1:80"), Slots: 1000, Connections: 1000,
			}},
		}},
	}}
}

// converged reports whether all running nodes are alive and know each other.
func (c *cluster) converged() bool {
	for _, name := range c.names {
		n := c.nodes[name]
		if !n.dead && (n.node.state != gossiper.Alive || len(n.node.view.Alive(c.now)) != c.runningCount()) {
			return false
		}
	}
	return true
}

func (c *cluster) runningCount() int {
	count := 0
	for _, name := range c.names {
		if !c.nodes[name].dead {
			count++
		}
	}
	return count
}
