package bencher

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/azuretrestle/azuretrestle/internal/reducer"
)

// stream generates the arrivals of one rank at one entry, or the background load of that rank.
type stream struct {
	sim    *simulation
	entry  *entry
	rank   int
	random *rand.Rand
	rate   float64
	flood  Flood
}

func (sim *simulation) startArrivals(seed uint64) {
	entries := float64(sim.scenario.Deployment.Entries)
	for r, k := range sim.scenario.Deployment.Ranks {
		total := sim.scenario.Load * k.Share * sim.scenario.Deployment.capacity() / meanServiceTime(k.Work).Seconds()
		for i, e := range sim.entries {
			rate := total / entries
			if sim.scenario.Crowded {
				rate = total * crowdedShare(i, len(sim.entries))
			}
			s := &stream{sim: sim, entry: e, rank: r, random: rand.New(rand.NewPCG(seed, uint64(100+10*i+r))), rate: rate}
			s.flood = sim.scenario.flood(k.Name, sim.scenario.Deployment.capacity()/entries/meanServiceTime(k.Work).Seconds())
			s.schedule()
		}
		others := entries - float64(len(sim.entries))
		s := &stream{sim: sim, rank: r, random: rand.New(rand.NewPCG(seed, uint64(50+r))), rate: total / entries * others}
		s.schedule()
	}
}

// crowdedShare returns the share of the callers at entry i of n, of which the first has half.
func crowdedShare(i, n int) float64 {
	if i == 0 {
		return 0.5
	}
	return 0.5 / float64(n-1)
}

// schedule schedules the next arrival.
func (s *stream) schedule() {
	rate := s.rate
	if s.flood.covers(s.sim.elapsed() - warmUp) {
		rate = s.flood.Rate
	}
	if rate <= 0 && s.flood.Rate <= 0 {
		return
	}
	gap := time.Duration(s.random.ExpFloat64() / max(rate, 0.1) * float64(time.Second))
	s.sim.after(min(gap, maxArrivalGap), func() {
		if gap <= maxArrivalGap {
			s.arrive()
		}
		s.schedule()
	})
}

// maxArrivalGap bounds the time between two draws of an arrival, so that a flood starts in time.
const maxArrivalGap = 10 * time.Millisecond

// work draws the work of a request from a lognormal distribution with the mean of the rank.
func (s *stream) work() time.Duration {
	mean := s.sim.scenario.Deployment.Ranks[s.rank].Work
	return scale(mean, math.Exp(workSigma*s.random.NormFloat64()-workSigma*workSigma/2))
}

func (s *stream) arrive() {
	sim := s.sim
	if s.entry == nil {
		sim.background(&job{rank: s.rank, work: s.work()}, s.random)
		return
	}
	c := &call{
		rank: s.rank, arrived: sim.now, work: s.work(), openAttempts: make(map[string]int),
		measured: sim.elapsed() >= warmUp && sim.elapsed() < warmUp+sim.scenario.Length-sim.scenario.Deployment.settleTime(s.rank),
	}
	if s.entry.dead {
		sim.reroute(c)
		return
	}
	sim.submit(s.entry, c)
}

// reroute submits a call whose entry is dead to another entry.
func (sim *simulation) reroute(c *call) {
	for range 10 {
		e := sim.entries[sim.random.IntN(len(sim.entries))]
		if !e.dead {
			sim.submit(e, c)
			return
		}
	}
}

func (sim *simulation) submit(e *entry, c *call) {
	sim.nextID++
	e.calls[sim.nextID] = c
	sim.result.countOffered(c)
	e.step(reducer.RequestArrived{
		Stamp: sim.stamp(), ID: sim.nextID, Service: serviceName,
		Rank: sim.scenario.Deployment.Ranks[c.rank].Name, Replayable: true,
	})
}

// background models a request of an entry that is not simulated, which picks the less loaded of two random upstreams.
func (sim *simulation) background(j *job, random *rand.Rand) {
	a := sim.upstreams[random.IntN(len(sim.upstreams))]
	b := sim.upstreams[random.IntN(len(sim.upstreams))]
	if b.utilisation() < a.utilisation() {
		a = b
	}
	a.arrive(j)
}

// utilisation returns the running and queued jobs per slot, or infinity if the upstream drains, is lost or fails.
func (u *upstream) utilisation() float64 {
	if u.draining() || u.lost || u.failing {
		return math.Inf(1)
	}
	return float64(u.running+len(u.queue)) / float64(u.config.Slots)
}

func (sim *simulation) findUpstream(name string) *upstream {
	for _, u := range sim.upstreams {
		if u.config.Name == name {
			return u
		}
	}
	panic("bencher: unknown upstream " + name)
}
