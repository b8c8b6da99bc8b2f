package bencher

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

const (
	serviceName = "Tickets"
	drainBound  = 3 * time.Second
)

// Deployment describes the size and the workload of one customer.
type Deployment struct {
	Name        string
	Upstreams   int
	Slots       int
	Connections int
	DataCentres int
	Entries     int
	// Distance is the one-way delay between data centres.
	Distance time.Duration
	Ranks    []RankLoad
}

// RankLoad is a rank with its mean work and its share of the load.
type RankLoad struct {
	patcher.Rank
	Work  time.Duration
	Share float64
}

func period(d time.Duration) patcher.Period { return patcher.Period{Duration: d} }

func newRank(name string, urgency int, target, timeout time.Duration, floor float64, queue int) patcher.Rank {
	return patcher.Rank{
		Name: name, Kind: patcher.Idempotent, Urgency: urgency,
		Target: period(target), Patience: period(timeout), Floor: floor, MaxQueue: queue,
	}
}

func defaultRanks() []RankLoad {
	return []RankLoad{
		{newRank("Lookup", 0, 80*time.Millisecond, time.Second, 0.3, 1000), 5 * time.Millisecond, 0.6},
		{newRank("Record", 1, 300*time.Millisecond, 2*time.Second, 0.1, 1000), 15 * time.Millisecond, 0.1},
		{newRank("Bulk", 2, 2*time.Second, 10*time.Second, 0.15, 1000), 40 * time.Millisecond, 0.3},
	}
}

// Koshi is the ticket service of Koshi Fish Meal Intake Authority.
func Koshi() Deployment {
	return Deployment{
		Name: "Koshi", Upstreams: 15, Slots: 6, Connections: 220, DataCentres: 4, Entries: 6,
		Distance: 500 * time.Microsecond, Ranks: defaultRanks(),
	}
}

// Siam is the calendar service of Siam Lens Property Imaging.
func Siam() Deployment {
	return Deployment{
		Name: "Siam", Upstreams: 20, Slots: 4, Connections: 260, DataCentres: 3, Entries: 6,
		Distance: time.Millisecond, Ranks: defaultRanks(),
	}
}

// capacity returns the number of slots of all upstreams together.
func (d Deployment) capacity() float64 { return float64(d.Upstreams * d.Slots) }

func (d Deployment) dataCentre(i int) string { return fmt.Sprintf("dc%d", i%d.DataCentres) }

// settleTime returns the time at the end of a run in which arrivals are not counted,
// since the requests may still be open when the run ends.
func (d Deployment) settleTime(rank int) time.Duration {
	return min(d.Ranks[rank].Target.Duration, time.Second)
}

func (d Deployment) service() patcher.Service {
	s := patcher.Service{Name: serviceName, MeasuringBudget: 48, MaxEntries: 8}
	for _, k := range d.Ranks {
		s.Ranks = append(s.Ranks, k.Rank)
	}
	for i := range d.Upstreams {
		s.Upstreams = append(s.Upstreams, patcher.Upstream{
			Name: fmt.Sprintf("u%02d", i), DataCentre: d.dataCentre(i), Slots: d.Slots, Connections: d.Connections,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 80),
		})
	}
	return s
}

// Flood raises the arrival rate of one rank to a multiple of an entry's share of the capacity.
type Flood struct {
	Rank     string
	Factor   float64
	Rate     float64
	From, To time.Duration
}

func (f Flood) covers(d time.Duration) bool { return f.Rate > 0 && d >= f.From && d < f.To }

// Fault changes the simulation at a time after the warm-up.
type Fault struct {
	After time.Duration
	Do    func(*simulation)
}

// Scenario describes a load and the faults during it.
type Scenario struct {
	Name       string
	Deployment Deployment
	// Load is the load of all entries together as a share of the capacity.
	Load   float64
	Length time.Duration
	// Entries is the number of simulated reducers; background load models the other entries.
	Entries int
	// Crowded gives half of the callers to the first entry.
	Crowded bool
	// Stale is the age of load reports.
	Stale   time.Duration
	LogDown bool
	Floods  []Flood
	Faults  []Fault
}

// flood returns the flood of a rank with its rate, for an entry's share of the capacity in
// requests per second; the result is empty if the rank has no flood.
func (s Scenario) flood(rank string, share float64) Flood {
	for _, f := range s.Floods {
		if f.Rank == rank {
			f.Rate = f.Factor * share
			return f
		}
	}
	return Flood{}
}

const (
	defaultLength = 4 * time.Second
	// faultStart is the time from the end of the warm-up to the first fault.
	faultStart = 300 * time.Millisecond
	// afterRunEnd is the end of a flood that lasts until the run ends.
	afterRunEnd = time.Hour
)

// Scenarios returns all scenarios for a deployment.
func Scenarios(d Deployment) []Scenario {
	steady := func(name string, load float64) Scenario {
		return Scenario{Name: name, Deployment: d, Load: load, Length: defaultLength, Entries: 1, Stale: time.Millisecond}
	}
	with := func(name string, load float64, change func(*Scenario)) Scenario {
		s := steady(name, load)
		change(&s)
		return s
	}
	faults := func(f ...Fault) func(*Scenario) { return func(s *Scenario) { s.Faults = f } }
	stale := func(t time.Duration) func(*Scenario) { return func(s *Scenario) { s.Stale = t } }
	all := func(s *Scenario) { s.Entries = d.Entries }
	floods := func(f ...Flood) func(*Scenario) {
		return func(s *Scenario) {
			all(s)
			s.Floods = f
			s.Length = 3 * time.Second
		}
	}
	bulk := func(x float64) Flood { return Flood{Rank: "Bulk", Factor: x, From: faultStart, To: afterRunEnd} }
	urgent := Flood{Rank: "Lookup", Factor: 3, From: -faultStart, To: afterRunEnd}
	return []Scenario{
		steady("steady 30%", 0.3),
		steady("steady 70%", 0.7),
		steady("steady 90%", 0.9),
		with("straggler 5x", 0.7, faults(slowAt(faultStart, 3, 5))),
		with("straggler 20x", 0.7, faults(slowAt(faultStart, 3, 20))),
		with("two stragglers 20x", 0.7, faults(slowAt(faultStart, 3, 20), slowAt(faultStart+50*time.Millisecond, 8, 20))),
		with("fast failure", 0.7, faults(failAt(faultStart, 5))),
		with("upstream lost", 0.7, faults(crashAt(faultStart, 5))),
		with("stale 50 ms", 0.7, stale(50*time.Millisecond)),
		with("stale 500 ms", 0.7, stale(500*time.Millisecond)),
		with("stale 2 s", 0.7, stale(2*time.Second)),
		with("misleading", 0.7, faults(misleadAt(faultStart, 2), misleadAt(faultStart, 7), slowAt(faultStart, 2, 5))),
		with("rolling drain", 0.5, func(s *Scenario) {
			s.Length = 6 * time.Second
			s.Faults = rollingDrain(d.Upstreams)
		}),
		with("bulk flood 5x", 0.5, floods(bulk(5))),
		with("bulk flood 20x", 0.5, floods(bulk(20))),
		with("urgent flood 3x", 0.5, floods(urgent)),
		with("both floods", 0.5, floods(bulk(5), urgent)),
		with("entry lost in flood", 0.5, func(s *Scenario) {
			floods(bulk(5))(s)
			s.Faults = []Fault{{time.Second, func(sim *simulation) { sim.entries[1].dead = true }}}
		}),
		with("crowded entry", 0.6, func(s *Scenario) {
			all(s)
			s.Crowded = true
		}),
		with("silent connections", 0.7, faults(silenceAt(faultStart, 4), silenceAt(faultStart+time.Second, 9))),
		with("log down", 0.7, func(s *Scenario) { s.LogDown = true }),
		with("straggler and lost", 0.7, faults(slowAt(faultStart, 3, 20), crashAt(faultStart+200*time.Millisecond, 9))),
	}
}

func slowAt(t time.Duration, i int, factor float64) Fault {
	return Fault{t, func(sim *simulation) { sim.upstreams[i].slowdown = factor }}
}

func failAt(t time.Duration, i int) Fault {
	return Fault{t, func(sim *simulation) { sim.upstreams[i].failing = true }}
}

func misleadAt(t time.Duration, i int) Fault {
	return Fault{t, func(sim *simulation) { sim.upstreams[i].reportsIdle = true }}
}

// crashAt crashes an upstream: its running requests are lost and new connections are refused.
func crashAt(t time.Duration, i int) Fault {
	return Fault{t, func(sim *simulation) { sim.upstreams[i].crash() }}
}

// silenceAt makes all open connections to an upstream silent permanently; new ones work.
func silenceAt(t time.Duration, i int) Fault {
	return Fault{t, func(sim *simulation) { sim.upstreams[i].silenceConnections() }}
}
