package loader

import (
	"math/rand/v2"
	"time"
)

// schedule generates the intended starts of one rank. For given options it depends only on the seed.
type schedule struct {
	rank  int
	rate  float64
	surge Surge
	begin time.Time
	// at is the latest intended start, or the change of the rate that follows it.
	at     time.Time
	random *rand.Rand
}

// schedules returns a schedule for each rank with a positive rate.
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

// next returns the next intended start, after an interval drawn at the rate of the
// current phase. An interval that crosses the beginning or end of a surge is drawn again
// from that point; since the exponential distribution is memoryless, this doesn't change
// the distribution.
func (s *schedule) next() time.Time {
	for {
		rate, until := s.phase()
		interval := time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
		if until.IsZero() || s.at.Add(interval).Before(until) {
			s.at = s.at.Add(interval)
			return s.at
		}
		s.at = until
	}
}

// phase returns the current rate and the time at which it changes; a zero time means never.
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
