package loader

import (
	"math/rand/v2"
	"time"
)

// schedule gives the intended starts of one rank; it depends only on the seed.
type schedule struct {
	rank   int
	rate   float64
	at     time.Time
	random *rand.Rand
}

func (r *run) schedules() []*schedule {
	var list []*schedule
	for i, rank := range r.options.Ranks {
		if rank.Rate > 0 {
			random := rand.New(rand.NewPCG(r.options.Seed, uint64(i)))
			list = append(list, &schedule{rank: i, rate: rank.Rate, at: r.begin, random: random})
		}
	}
	return list
}

func (s *schedule) next() time.Time {
	gap := s.random.ExpFloat64() / s.rate
	s.at = s.at.Add(time.Duration(gap * float64(time.Second)))
	return s.at
}
