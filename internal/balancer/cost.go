package balancer

import (
	"math"
	"time"
)

const (
	// slownessWeight is the weight of a new sample in the slowness of an upstream.
	slownessWeight = 0.125
	// latencyWeight is the reciprocal weight of a new sample in the smoothed latency.
	latencyWeight = 16
	// maxSlowness bounds one sample, so that a single stall is forgotten soon.
	maxSlowness = 30.0
	// slownessLife is the time in which knowledge of the slowness falls to 1/e.
	slownessLife = 3 * time.Second
	// distanceCost is the cost of another data centre as a multiple of the mean latency.
	distanceCost = 0.1
	// reportTrust is the weight of the use by others, which reports may misstate.
	reportTrust = 0.5
	// trialCost makes sure that an upstream with suspect connections soon gets its trial.
	trialCost = 0.1
	// idleCost is the cost of an idle upstream; the use of its slots adds up to 1 to it.
	idleCost = 0.5
)

// learn takes the latency of an answered attempt.
func (u *upstream) learn(now time.Time, a *Attempt) {
	s := min(a.slowness(now), maxSlowness)
	u.slowness = u.faded(now) + (s-u.faded(now))*slownessWeight
	u.learnedAt = now
}

func (u *upstream) smooth(d time.Duration) {
	if u.latency == 0 {
		u.latency = d
		return
	}
	u.latency += (d - u.latency) / latencyWeight
}

// outlived takes an attempt that ended without an answer; it counts only if it was slower than known.
func (u *upstream) outlived(now time.Time, a *Attempt) {
	age := now.Sub(a.started)
	if a.rank.tail > 0 && float64(age) > a.rank.tail {
		u.stalled(now, a.started)
	}
	a.rank.observeTail(age)
	if a.slowness(now) > u.faded(now) {
		u.learn(now, a)
	}
}

// faded is the slowness as far as it is still known; without news it returns to 1.
func (u *upstream) faded(now time.Time) float64 {
	if u.learnedAt.IsZero() {
		return 1
	}
	return 1 + (u.slowness-1)*math.Exp(-now.Sub(u.learnedAt).Seconds()/slownessLife.Seconds())
}

// slownessNow also counts the age of the oldest open attempt, so that a straggler shows before it answers.
// While connections are suspect the age tells nothing of the upstream.
func (u *upstream) slownessNow(now time.Time) float64 {
	s := u.faded(now)
	if u.oldest != nil && u.suspectedAt.IsZero() {
		s = max(s, u.oldest.slowness(now))
	}
	return s
}

// cost ranks the candidates; the lowest is picked.
func (p *Pool) cost(now time.Time, u *upstream) float64 {
	use := (float64(u.inFlight) + reportTrust*u.othersNow(now) + 1) / float64(u.Slots)
	c := u.slownessNow(now) * (idleCost + use) * u.costFactor(now) * p.paceNow(now, u)
	if !u.suspectedAt.IsZero() {
		c *= trialCost
	}
	c *= p.coldness(now, u)
	if u.DataCentre != p.dataCentre {
		c += distanceCost
	}
	return c
}
