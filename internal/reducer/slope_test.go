package reducer_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azuretrestle/azuretrestle/internal/balancer"
	"github.com/azuretrestle/azuretrestle/internal/gossiper"
	"github.com/azuretrestle/azuretrestle/internal/reducer"
	"github.com/azuretrestle/azuretrestle/internal/sizer"
	"github.com/azuretrestle/azuretrestle/internal/versioner"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

// serversPerService is the mean number of servers per service at the target size.
const serversPerService = 13

func slopeService(number, budget, entries int) patcher.Service {
	second := patcher.Period{Duration: time.Second}
	s := patcher.Service{Name: fmt.Sprintf("Service%03d", number), MeasuringBudget: float64(budget), MaxEntries: entries}
	s.Ranks = []patcher.Rank{{Name: "Lookup", Kind: patcher.Idempotent, Target: second, Patience: second, MaxQueue: 10_000}}
	for i := range serversPerService {
		s.Upstreams = append(s.Upstreams, patcher.Upstream{
			Name: fmt.Sprintf("server-%03d-%02d", number, i), DataCentre: fmt.Sprintf("region-%d-dc-%02d", i%4, i),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 20, byte(number), byte(i)}), 8080), Slots: 1000,
			// Entries share the connections; 1,000 calls at one entry need more than its share of 220.
			Connections: 8 * 220,
		})
	}
	return s
}

func slopeEntry(now time.Time, i int) gossiper.Entry {
	address := netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)})
	return gossiper.Entry{
		Name: fmt.Sprintf("entry-%03d", i), Incarnation: uint64(now.UnixMilli())<<8 + 1,
		PeerAddress: netip.AddrPortFrom(address, 7000), CallerAddress: netip.AddrPortFrom(address, 8000),
		DataCentre: fmt.Sprintf("region-%d-dc-%02d", i%4, i%14), State: gossiper.Alive, HeardAt: now, KnownAt: now,
	}
}

// slopeNode is a node whose log and peers answer immediately; the scaling tests
// (TestSlope...) measure its steps.
type slopeNode struct {
	*reducer.Node
	now           time.Time
	timerDeadline time.Time
	tail          uint64
	peers         []gossiper.Entry
	silent        func(i int) bool
	random        *rand.Rand
	stepTime      time.Duration
	longestStep   time.Duration
	effectCounts  map[string]int
	queue         []reducer.Event
	// countsAllocations enables allocatedBytes, the sum of the bytes that steps allocate.
	countsAllocations bool
	allocatedBytes    uint64
}

func newSlopeNode(t *testing.T, services, entries, budget int) *slopeNode {
	t.Helper()
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	self := slopeEntry(now, 0)
	n := &slopeNode{now: now, random: rand.New(rand.NewPCG(1, 1)), effectCounts: make(map[string]int), silent: func(int) bool { return false }}
	n.Node = reducer.New(reducer.Options{
		Name: self.Name, Incarnation: self.Incarnation, PeerAddress: self.PeerAddress,
		CallerAddress: self.CallerAddress, DataCentre: self.DataCentre, Seed: 1,
	})
	for i := 1; i < entries; i++ {
		n.peers = append(n.peers, slopeEntry(now, i))
	}
	n.execute(n.Start(now))
	n.step(reducer.HostsListed{Stamp: n.stamp()})
	for i := range services {
		n.appendOperation(t, patcher.PutService{Service: slopeService(i, budget, max(entries, 1))})
	}
	for _, p := range n.peers {
		profile := gossiper.Profile{Name: p.Name, Incarnation: p.Incarnation, PeerAddress: p.PeerAddress, CallerAddress: p.CallerAddress, DataCentre: p.DataCentre}
		n.receive(p, gossiper.Exchange{Step: gossiper.Ask, Profile: profile})
	}
	n.run(10 * time.Second)
	return n
}

func (n *slopeNode) stamp() reducer.Stamp { return reducer.Stamp{Now: n.now} }

// step measures the node alone, without the test's handling of the effects. Events
// that the effects cause are queued until all effects of the step are handled.
func (n *slopeNode) step(ev reducer.Event) {
	n.queue = append(n.queue, ev)
	if len(n.queue) > 1 {
		return
	}
	for len(n.queue) > 0 {
		n.execute(n.measuredStep(n.queue[0]))
		n.queue = n.queue[1:]
	}
}

func (n *slopeNode) measuredStep(ev reducer.Event) []reducer.Effect {
	before := n.allocated()
	start := time.Now()
	effects := n.Step(ev)
	took := time.Since(start)
	n.stepTime += took
	n.longestStep = max(n.longestStep, took)
	n.allocatedBytes += n.allocated() - before
	return effects
}

// allocated returns the number of bytes that the process has allocated so far, or 0
// unless countsAllocations is set, since reading it stops the process.
func (n *slopeNode) allocated() uint64 {
	if !n.countsAllocations {
		return 0
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.TotalAlloc
}

func (n *slopeNode) execute(effects []reducer.Effect) {
	for _, e := range effects {
		n.effectCounts[fmt.Sprintf("%T", e)]++
		switch e := e.(type) {
		case reducer.SetTimer:
			n.timerDeadline = e.Deadline
		case reducer.ReadLog:
			n.step(reducer.LogRead{Stamp: n.stamp(), Stream: e.Stream, AskedAt: n.now, Next: n.tail, Tail: n.tail})
		case reducer.Append:
			n.step(reducer.AppendFinished{Stamp: n.stamp(), Stream: e.Stream, ID: e.ID, OK: true})
		case reducer.Send:
			n.answerExchange(e)
		}
	}
}

// answerExchange answers as the peer that was asked. For each exchange that the
// node begins, the peer also begins one with it.
func (n *slopeNode) answerExchange(s reducer.Send) {
	m, ok := s.Message.(reducer.Exchange)
	i := slices.IndexFunc(n.peers, func(p gossiper.Entry) bool { return p.PeerAddress == s.Address })
	if !ok || m.Step != gossiper.Ask || i < 0 || n.silent(i) {
		return
	}
	p := n.peers[i]
	reply := n.digest(i)
	reply.Step, reply.Echo = gossiper.Reply, m.Sequence
	n.receive(p, reply)
	n.receive(p, gossiper.Exchange{Step: gossiper.Ask, Sequence: 1, Profile: reply.Profile})
}

// digest returns an exchange with the rows of peer i, which knows all running entries.
func (n *slopeNode) digest(i int) gossiper.Exchange {
	v := gossiper.NewView(n.peers[i])
	for j, p := range n.peers {
		if !n.silent(j) {
			p.HeardAt = n.now.Add(-time.Duration(n.random.IntN(1000)) * time.Millisecond)
			v.Put(p)
		}
	}
	return v.Compose(n.now, gossiper.Reply, n.Name, 1, gossiper.Facts{Next: n.tail, LogAt: n.now}, n.random)
}

func (n *slopeNode) receive(p gossiper.Entry, m gossiper.Exchange) {
	n.step(reducer.PeerMessageReceived{Stamp: n.stamp(), From: p.Name, FromIncarnation: p.Incarnation, Message: reducer.Exchange{Exchange: m}})
}

func (n *slopeNode) run(d time.Duration) {
	end := n.now.Add(d)
	for n.timerDeadline.Before(end) {
		n.now = n.timerDeadline
		n.step(reducer.TimerFired{Stamp: n.stamp()})
	}
	n.now = end
}

// appendOperation delivers a patch with one operation from the log.
func (n *slopeNode) appendOperation(t *testing.T, op patcher.Operation) {
	t.Helper()
	p := patcher.Patch{ID: fmt.Sprint("patch-", n.tail), Base: n.Config().Version, Actor: "operator", Operations: []patcher.Operation{op}}
	payload, err := versioner.EncodePatch(p)
	if err != nil {
		t.Fatal(err)
	}
	r := reducer.Record{Offset: n.tail, Payload: payload}
	n.tail++
	n.step(reducer.LogRead{Stamp: n.stamp(), Stream: versioner.Stream, AskedAt: n.now, Next: n.tail, Tail: n.tail, Records: []reducer.Record{r}})
	if n.Config().Version != p.Base+1 {
		t.Fatal("patch was not applied")
	}
}

func (n *slopeNode) call(id reducer.RequestID) {
	n.arrive(id)
	n.finish(id)
}

func (n *slopeNode) arrive(id reducer.RequestID) {
	n.step(reducer.RequestArrived{Stamp: n.stamp(), ID: id, Service: "Service000", Rank: "Lookup", Replayable: true})
}

func (n *slopeNode) finish(id reducer.RequestID) {
	attempt := reducer.AttemptID{Request: id, Number: 1}
	n.step(reducer.UpstreamAnswered{Stamp: n.stamp(), Attempt: attempt, Status: 200, Whole: true, Report: &balancer.Report{InFlight: 1}})
}

// TestSlopeInFlight guards against allocations per call that grow with the number
// of requests in flight. The time per call may grow with the depth of the timer heap.
func TestSlopeInFlight(t *testing.T) {
	is := is.New(t)
	const calls = 200
	allocations := make(map[int]float64)
	for _, inFlight := range []int{10, 100, 1000} {
		n := newSlopeNode(t, 100, 6, 0)
		id := reducer.RequestID(0)
		memory := sizer.RetainedBytes(func() any {
			for range inFlight {
				id++
				n.arrive(id)
			}
			return n
		})
		is.True(n.effectCounts["reducer.Dispatch"] == inFlight) // none is queued
		call := func() {
			id++
			n.call(id)
		}
		allocations[inFlight] = testing.AllocsPerRun(calls, call)
		var best time.Duration
		for range 50 {
			n.stepTime = 0
			for range calls {
				call()
			}
			if best == 0 || n.stepTime < best {
				best = n.stepTime
			}
		}
		t.Log(sizer.Sample{Quantity: "call-allocations", Size: inFlight, Value: allocations[inFlight]})
		t.Log(sizer.Sample{Quantity: "call-steps-ns", Size: inFlight, Value: float64(best.Nanoseconds()) / calls})
		t.Log(sizer.Sample{Quantity: "in-flight-bytes", Size: inFlight, Value: memory})
	}
	is.True(allocations[1000] <= allocations[10]+1) // a slice may grow during the run
}

// TestSlopeServers guards against memory of a node that grows faster than linearly
// with the number of servers. It also reports the time of steps that touch all servers.
func TestSlopeServers(t *testing.T) {
	const maxGrowth = 1.5
	perServer := make(map[int]float64)
	for _, services := range []int{1, 10, 100} {
		servers := services * serversPerService
		memory := sizer.RetainedBytes(func() any { return newSlopeNode(t, services, 6, 0) })
		perServer[servers] = memory / float64(servers)
		n := newSlopeNode(t, services, 6, 0)
		var hosts []reducer.Host
		for _, s := range n.Config().Services {
			for _, u := range s.Upstreams {
				hosts = append(hosts, reducer.Host{Name: u.Name, Address: u.Address, DataCentre: u.DataCentre, Role: s.Name})
			}
		}
		listed := sizer.ShortestRun(20, func() { n.Step(reducer.HostsListed{Stamp: n.stamp(), Hosts: hosts}) })
		patched := sizer.ShortestRun(20, func() {
			n.appendOperation(t, patcher.PutUpstream{InService: "Service000", Upstream: slopeService(0, 0, 6).Upstreams[0]})
		})
		t.Log(sizer.Sample{Quantity: "node-bytes", Size: servers, Value: memory})
		t.Log(sizer.Sample{Quantity: "hosts-step-us", Size: servers, Value: float64(listed.Microseconds())})
		t.Log(sizer.Sample{Quantity: "patch-step-us", Size: servers, Value: float64(patched.Microseconds())})
	}
	is.New(t).True(perServer[1300] <= maxGrowth*perServer[130])
}

// TestSlopeEntries guards against allocations per second of control work that grow
// faster than linearly with the number of entries, without probes and with one per
// second for each of 100 services. It also reports the processor time.
func TestSlopeEntries(t *testing.T) {
	const maxGrowth, seconds = 1.5, 20
	perEntry := make(map[string]float64)
	for _, entries := range []int{6, 60, 240} {
		for _, c := range []struct {
			name   string
			budget int
		}{{"quiet", 0}, {"probing", entries}} {
			n := newSlopeNode(t, 100, entries, c.budget)
			best := time.Hour
			for range seconds {
				n.stepTime = 0
				clear(n.effectCounts)
				n.run(time.Second)
				best = min(best, n.stepTime)
			}
			probes := n.effectCounts["reducer.Probe"]
			n.countsAllocations = true
			n.run(time.Second)
			perEntry[fmt.Sprint(c.name, entries)] = float64(n.allocatedBytes) / float64(entries)
			t.Log(sizer.Sample{Quantity: "control-second-" + c.name + "-us", Size: entries, Value: float64(best.Microseconds())})
			t.Log(sizer.Sample{Quantity: "control-second-" + c.name + "-allocated-bytes", Size: entries, Value: float64(n.allocatedBytes)})
			t.Log(sizer.Sample{Quantity: "probes-" + c.name + "-a-second", Size: entries, Value: float64(probes)})
		}
	}
	is := is.New(t)
	is.True(perEntry["quiet240"] <= maxGrowth*perEntry["quiet60"])
	is.True(perEntry["probing240"] <= maxGrowth*perEntry["probing60"])
}

// silentCount returns the number of entries that were heard from before, but not
// within the last 10 s.
func (n *slopeNode) silentCount() int {
	count := 0
	for _, m := range n.Members() {
		if !m.HeardAt.IsZero() && n.now.Sub(m.HeardAt) > 10*time.Second {
			count++
		}
	}
	return count
}

// TestSlopeSilent guards against allocations that grow faster than quadratically
// with the number of entries when a region becomes silent: each silent entry is
// compared with each running one to choose which entry writes the audit record.
func TestSlopeSilent(t *testing.T) {
	const maxGrowth, runs = 1.5, 10
	allocated := make(map[int]uint64)
	for _, entries := range []int{6, 60, 240} {
		var longest time.Duration
		for i := range runs {
			n := newSlopeNode(t, 0, entries, 0)
			n.silent = func(i int) bool { return i%4 == 0 }
			n.longestStep = 0
			n.countsAllocations = i == 0
			n.run(13 * time.Second)
			is.New(t).True(n.silentCount() >= entries/5) // about a quarter became silent
			if n.countsAllocations {
				allocated[entries] = n.allocatedBytes
				continue
			}
			if longest == 0 || n.longestStep < longest {
				longest = n.longestStep
			}
		}
		t.Log(sizer.Sample{Quantity: "silent-step-us", Size: entries, Value: float64(longest.Microseconds())})
		t.Log(sizer.Sample{Quantity: "silent-allocated-bytes", Size: entries, Value: float64(allocated[entries])})
	}
	const square = (240 / 60) * (240 / 60)
	is.New(t).True(float64(allocated[240]) <= maxGrowth*square*float64(allocated[60]))
}

// TestSlopeAsked guards against a response to a caller that names more entries as
// their number grows, or whose allocations grow faster than linearly with it.
func TestSlopeAsked(t *testing.T) {
	is := is.New(t)
	const maxGrowth, named = 1.5, 4
	perEntry := make(map[int]float64)
	for _, entries := range []int{6, 60, 240} {
		n := newSlopeNode(t, 1, entries, 0)
		ask := func() []reducer.Effect {
			return n.Step(reducer.EntriesRequested{Stamp: n.stamp(), ID: 1, DataCentre: n.DataCentre})
		}
		count := 0
		for _, e := range ask() {
			if a, ok := e.(reducer.AnswerEntries); ok {
				count = len(a.Entries)
			}
		}
		is.Equal(count, named)
		n.countsAllocations = true
		before := n.allocated()
		ask()
		bytes := float64(n.allocated() - before)
		perEntry[entries] = bytes / float64(entries)
		took := sizer.ShortestRun(100, func() { ask() })
		t.Log(sizer.Sample{Quantity: "asked-allocated-bytes", Size: entries, Value: bytes})
		t.Log(sizer.Sample{Quantity: "asked-us", Size: entries, Value: float64(took.Nanoseconds()) / 1000})
	}
	is.True(perEntry[240] <= maxGrowth*perEntry[60])
}
