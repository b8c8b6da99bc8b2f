package loader

import (
	"math/rand/v2"
	"time"
)

// schedule gives the intended starts of one rank; it depends only on the seed.
type schedule struct {
	rank   int
	rate   float64
	surge  Surge
	begin  time.Time
	at     time.Time
	random *rand.Rand
}

func (r *run) schedules() []*schedule {
	var list []*schedule
	for i, rank := range r.options.Ranks {
		if rank.Rate > 0 {
			random := rand.New(rand.NewPCG(r.options.Seed, uint64(i)))
			list = append(list, &schedule{rank: i, rate: rank.Rate, surge: rank.Surge, begin: r.begin, at: r.begin, random: random})
		}
	}
	return list
}

// next draws a gap at the rate of its begin. A gap that crosses the begin or end
// of a surge is drawn again from there, which leaves its distribution as it is.
func (s *schedule) next() time.Time {
	for {
		rate, until := s.phase()
		gap := time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
		if until.IsZero() || s.at.Add(gap).Before(until) {
			s.at = s.at.Add(gap)
			return s.at
		}
		s.at = until
	}
}

// phase returns the rate now and when it changes; a zero time means never.
func (s *schedule) phase() (rate float64, until time.Time) {
	from, to := s.begin.Add(s.surge.From), s.begin.Add(s.surge.To)
	switch {
	case s.at.Before(from) && from.Before(to):
		return s.rate, from
	case s.at.Before(to):
		return s.surge.Rate, to
	default:
		return s.rate, time.Time{}
	}
}
