package reducer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azuretrestle/azuretrestle/internal/balancer"
)

const fewServers, manyServers = 13, 1300

// newBusyBench returns a test bench with 20 requests in flight, whatever the number of servers.
func newBusyBench(t testing.TB, servers int) *testBench {
	b := newTestBench(t, testService(servers), 1)
	for range 20 {
		b.arrive("Lookup")
	}
	return b
}

// serve passes one request through the node.
func (b *testBench) serve() {
	b.now = b.now.Add(time.Microsecond)
	b.nextID++
	ev := RequestArrived{Stamp: Stamp{b.now}, ID: b.nextID, Service: "S", Rank: "Lookup", Replayable: true}
	for _, e := range b.node.Step(ev) {
		if d, ok := e.(Dispatch); ok {
			b.node.Step(UpstreamAnswered{
				Stamp: Stamp{b.now}, Attempt: d.Attempt, Status: 200, Whole: true, Report: &balancer.Report{InFlight: 1},
			})
		}
	}
}

func BenchmarkDecision(b *testing.B) {
	for name, servers := range map[string]int{"13": fewServers, "1300": manyServers} {
		b.Run(name, func(b *testing.B) {
			d := newBusyBench(b, servers)
			b.ReportAllocs()
			for b.Loop() {
				d.serve()
			}
		})
	}
}

// TestDecisionCost guards against a cost per request that grows with the number
// of servers. It compares the minimum over several rounds, since other processes
// on the machine can only add time.
func TestDecisionCost(t *testing.T) {
	is := is.New(t)
	few, many := newBusyBench(t, fewServers), newBusyBench(t, manyServers)
	round := func(b *testBench) time.Duration {
		start := time.Now()
		for range 2000 {
			b.serve()
		}
		return time.Since(start)
	}
	least := func(a, b time.Duration) time.Duration {
		if a == 0 || b < a {
			return b
		}
		return a
	}
	var bestFew, bestMany time.Duration
	for range 40 {
		bestFew = least(bestFew, round(few))
		bestMany = least(bestMany, round(many))
	}
	t.Logf("%v with few servers and %v with many for 2000 requests", bestFew, bestMany)
	is.True(bestMany <= bestFew*3/2)
	allocs := testing.AllocsPerRun(1000, few.serve)
	is.True(testing.AllocsPerRun(1000, many.serve) <= allocs)
}
