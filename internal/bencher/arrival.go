package bencher

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/azuretrestle/azuretrestle/internal/reducer"
)

// stream is one rank's arrivals at one entry, or its background load.
type stream struct {
	world  *world
	entry  *entry
	rank   int
	random *rand.Rand
	rate   float64
	flood  Flood
}

func (w *world) startArrivals(seed uint64) {
	entries := float64(w.scenario.Deployment.Entries)
	for r, k := range w.scenario.Deployment.Ranks {
		total := w.scenario.Load * k.Share * w.scenario.Deployment.capacity() / meanService(k.Work).Seconds()
		for i, e := range w.entries {
			rate := total / entries
			if w.scenario.Crowded {
				rate = total * crowdShare(i, len(w.entries))
			}
			s := &stream{world: w, entry: e, rank: r, random: rand.New(rand.NewPCG(seed, uint64(100+10*i+r))), rate: rate}
			s.flood = w.scenario.flood(k.Name, w.scenario.Deployment.capacity()/entries/meanService(k.Work).Seconds())
			s.schedule()
		}
		others := entries - float64(len(w.entries))
		s := &stream{world: w, rank: r, random: rand.New(rand.NewPCG(seed, uint64(50+r))), rate: total / entries * others}
		s.schedule()
	}
}

// crowdShare gives half of the callers to the first of n entries.
func crowdShare(i, n int) float64 {
	if i == 0 {
		return 0.5
	}
	return 0.5 / float64(n-1)
}

func (s *stream) schedule() {
	rate := s.rate
	if s.flood.covers(s.world.elapsed() - warmUp) {
		rate = s.flood.Rate
	}
	if rate <= 0 && s.flood.Rate <= 0 {
		return
	}
	gap := time.Duration(s.random.ExpFloat64() / max(rate, 0.1) * float64(time.Second))
	s.world.after(min(gap, floodEdge), func() {
		if gap <= floodEdge {
			s.arrive()
		}
		s.schedule()
	})
}

// floodEdge bounds the gap between two arrivals, so that a flood starts in time.
const floodEdge = 10 * time.Millisecond

func (s *stream) work() time.Duration {
	mean := s.world.scenario.Deployment.Ranks[s.rank].Work
	return scale(mean, math.Exp(workSigma*s.random.NormFloat64()-workSigma*workSigma/2))
}

func (s *stream) arrive() {
	w := s.world
	if s.entry == nil {
		w.background(&job{rank: s.rank, work: s.work()}, s.random)
		return
	}
	c := &call{
		rank: s.rank, arrived: w.now, work: s.work(), open: make(map[string]int),
		measured: w.elapsed() >= warmUp && w.elapsed() < warmUp+w.scenario.Length-w.scenario.Deployment.settle(s.rank),
	}
	if s.entry.dead {
		w.reroute(c)
		return
	}
	w.offer(s.entry, c)
}

// reroute sends a caller whose entry is gone to another one.
func (w *world) reroute(c *call) {
	for range 10 {
		e := w.entries[w.random.IntN(len(w.entries))]
		if !e.dead {
			w.offer(e, c)
			return
		}
	}
}

func (w *world) offer(e *entry, c *call) {
	w.nextID++
	e.calls[w.nextID] = c
	w.result.offered(c)
	e.step(reducer.RequestArrived{
		Stamp: w.stamp(), ID: w.nextID, Service: serviceName,
		Rank: w.scenario.Deployment.Ranks[c.rank].Name, Replayable: true,
	})
}

// background stands for a request of another entry, which takes the less loaded of two upstreams.
func (w *world) background(j *job, random *rand.Rand) {
	a := w.upstreams[random.IntN(len(w.upstreams))]
	b := w.upstreams[random.IntN(len(w.upstreams))]
	if b.pressure() < a.pressure() {
		a = b
	}
	a.arrive(j)
}

func (u *upstream) pressure() float64 {
	if u.draining() || u.lost || u.failing {
		return math.Inf(1)
	}
	return float64(u.running+len(u.queue)) / float64(u.config.Slots)
}

func (w *world) find(name string) *upstream {
	for _, u := range w.upstreams {
		if u.config.Name == name {
			return u
		}
	}
	panic("unknown upstream " + name)
}
