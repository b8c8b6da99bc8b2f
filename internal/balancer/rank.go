package balancer

import (
	"time"

	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

const (
	// meanDivisor is the reciprocal of the weight of a new sample in the mean latency of a rank.
	meanDivisor = 64
	// tailQuantile is the quantile that the tail latency estimates.
	tailQuantile = 0.95
	// tailStep scales the steps of the tail estimate, which are proportional to its value.
	tailStep = 0.05
	// initialTailFactor is the first tail estimate as a multiple of the first latency.
	initialTailFactor = 4
)

// rankLatency holds the latency statistics of one rank over all upstreams.
type rankLatency struct {
	target patcher.Period
	mean   time.Duration
	// baseline is the mean latency without slowdown and saturation, 0 if not known.
	baseline time.Duration
	// tail estimates the tailQuantile of the latency; each sample moves it by a small step
	// (Ma, Muthukrishnan and Sandler 2013).
	tail float64
}

func (p *Pool) rank(name string) *rankLatency {
	r, ok := p.ranks[name]
	if !ok {
		r = &rankLatency{}
		p.ranks[name] = r
	}
	return r
}

func (r *rankLatency) observe(d time.Duration) {
	if r.mean == 0 {
		r.mean = d
		r.tail = initialTailFactor * float64(d)
		return
	}
	r.mean += (d - r.mean) / meanDivisor
	r.observeTail(d)
}

func (r *rankLatency) observeTail(d time.Duration) {
	if float64(d) > r.tail {
		r.tail *= 1 + tailStep*tailQuantile
	} else {
		r.tail *= 1 - tailStep*(1-tailQuantile)
	}
}

// MeanLatency returns the mean latency of a rank, 0 if not known.
func (p *Pool) MeanLatency(rank string) time.Duration {
	if r, ok := p.ranks[rank]; ok {
		return r.mean
	}
	return 0
}

// BaselineLatency returns the mean latency of a rank without slowdown and saturation, or the
// mean over all responses if that is not known.
func (p *Pool) BaselineLatency(rank string) time.Duration {
	if r, ok := p.ranks[rank]; ok && r.baseline > 0 {
		return r.baseline
	}
	return p.MeanLatency(rank)
}

// TailLatency returns the tail latency of a rank, 0 if not known.
func (p *Pool) TailLatency(rank string) time.Duration {
	if r, ok := p.ranks[rank]; ok {
		return time.Duration(r.tail)
	}
	return 0
}
