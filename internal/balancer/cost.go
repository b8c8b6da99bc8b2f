package balancer

import (
	"math"
	"time"
)

const (
	// relativeLatencyWeight is the weight of a new sample in the relative latency of an upstream.
	relativeLatencyWeight = 0.125
	// latencyDivisor is the reciprocal of the weight of a new sample in the moving average
	// of the latency.
	latencyDivisor = 16
	// maxRelativeLatency bounds one sample, so that the effect of a single stall decays soon.
	maxRelativeLatency = 30.0
	// relativeLatencyDecay is the time in which the deviation of the relative latency
	// from 1 decays to 1/e.
	relativeLatencyDecay = 3 * time.Second
	// remoteCost is added to the cost of an upstream in another data centre, as a multiple
	// of the mean latency.
	remoteCost = 0.1
	// otherRequestsCost is the weight of other entries' requests; it is less than 1, since
	// reports of them may be wrong.
	otherRequestsCost = 0.5
	// trialCost lowers the cost of an upstream with suspect connections, so that a new
	// connection is tried soon.
	trialCost = 0.1
	// idleCost is the cost of an idle upstream. The utilisation of its slots is added to
	// it, which is about 1 if all slots are in use.
	idleCost = 0.5
)

// observeRelativeLatency adds the relative latency of an attempt to the moving average.
func (u *upstream) observeRelativeLatency(now time.Time, a *Attempt) {
	s := min(a.relativeLatency(now), maxRelativeLatency)
	u.relativeLatency = u.decayedLatency(now) + (s-u.decayedLatency(now))*relativeLatencyWeight
	u.relativeLatencyAt = now
}

func (u *upstream) observeLatency(d time.Duration) {
	if u.latency == 0 {
		u.latency = d
		return
	}
	u.latency += (d - u.latency) / latencyDivisor
}

// observeAbandoned records the latency of an attempt that was abandoned before it was
// answered. The time since its start is only a lower bound of the latency, so that it
// counts as a sample only if it raises the relative latency.
func (u *upstream) observeAbandoned(now time.Time, a *Attempt) {
	age := now.Sub(a.started)
	if a.rank.tail > 0 && float64(age) > a.rank.tail {
		u.recordStall(now, a.started)
	}
	a.rank.observeTail(age)
	if a.relativeLatency(now) > u.decayedLatency(now) {
		u.observeRelativeLatency(now, a)
	}
}

// decayedLatency returns the relative latency, which decays to 1 without new samples.
func (u *upstream) decayedLatency(now time.Time) float64 {
	if u.relativeLatencyAt.IsZero() {
		return 1
	}
	return 1 + (u.relativeLatency-1)*math.Exp(-now.Sub(u.relativeLatencyAt).Seconds()/relativeLatencyDecay.Seconds())
}

// relativeLatencyNow returns the decayed relative latency or that of the oldest open
// attempt so far, whichever is higher, so that a slow upstream is noticed before it
// responds. While connections are suspect, open attempts say nothing about the upstream.
func (u *upstream) relativeLatencyNow(now time.Time) float64 {
	s := u.decayedLatency(now)
	if u.oldest != nil && u.suspectedAt.IsZero() {
		s = max(s, u.oldest.relativeLatency(now))
	}
	return s
}

// cost returns the expected cost of a request to an upstream; the candidate with the
// lowest cost is picked.
func (p *Pool) cost(now time.Time, u *upstream) float64 {
	utilisation := (float64(u.inFlight) + otherRequestsCost*u.otherRequestsNow(now) + 1) / float64(u.Slots)
	c := u.relativeLatencyNow(now) * (idleCost + utilisation) * u.costFactor(now) * p.expectedSlowdown(now, u)
	if !u.suspectedAt.IsZero() {
		c *= trialCost
	}
	c *= p.connectionFactor(now, u)
	if u.DataCentre != p.dataCentre {
		c += remoteCost
	}
	return c
}
