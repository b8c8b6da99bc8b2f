package reducer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azuretrestle/azuretrestle/internal/balancer"
)

const fewServers, manyServers = 13, 1300

// busyBed is a node with some requests in flight, as many for any number of servers.
func busyBed(t testing.TB, servers int) *bed {
	b := newBed(t, testService(servers), 1)
	for range 20 {
		b.arrive("Lookup")
	}
	return b
}

// serve carries one request through the node.
func (b *bed) serve() {
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
			d := busyBed(b, servers)
			b.ReportAllocs()
			for b.Loop() {
				d.serve()
			}
		})
	}
}

// TestDecisionCost guards against a cost per request that grows with the number
// of servers. The least of several rounds is compared, since other processes on
// the machine only ever add time.
func TestDecisionCost(t *testing.T) {
	is := is.New(t)
	few, many := busyBed(t, fewServers), busyBed(t, manyServers)
	round := func(b *bed) time.Duration {
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
	var a, c time.Duration
	for range 40 {
		a = least(a, round(few))
		c = least(c, round(many))
	}
	t.Logf("%v and %v for 2000 requests", a, c)
	is.True(c <= a*3/2)
	allocs := testing.AllocsPerRun(1000, few.serve)
	is.True(testing.AllocsPerRun(1000, many.serve) <= allocs)
}
