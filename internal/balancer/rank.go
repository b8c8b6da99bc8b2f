package balancer

import (
	"time"

	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

const (
	// meanWeight is the reciprocal weight of a new sample in the mean latency of a rank.
	meanWeight = 64
	// tailQuantile is the share of answers that come before the tail latency.
	tailQuantile = 0.95
	// tailStep is the step of the tail estimate as a share of its value.
	tailStep = 0.05
	// firstTail is the first estimate of the tail as a multiple of the mean.
	firstTail = 4
)

// rankLatency is what the pool learned of one rank's latency over all upstreams.
type rankLatency struct {
	target patcher.Period
	mean   time.Duration
	// usual is the mean latency at the usual pace and without crowding, 0 if not known.
	usual time.Duration
	// tail is a quantile, followed by small steps (Ma, Muthukrishnan and Sandler 2013).
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
		r.tail = firstTail * float64(d)
		return
	}
	r.mean += (d - r.mean) / meanWeight
	r.observeTail(d)
}

func (r *rankLatency) observeTail(d time.Duration) {
	if float64(d) > r.tail {
		r.tail *= 1 + tailStep*tailQuantile
	} else {
		r.tail *= 1 - tailStep*(1-tailQuantile)
	}
}

// Expected returns the mean latency of a rank, 0 if nothing is known.
func (p *Pool) Expected(rank string) time.Duration {
	if r, ok := p.ranks[rank]; ok {
		return r.mean
	}
	return 0
}

// Usual returns the mean latency of a rank at the usual pace, the plain mean if that is not known.
func (p *Pool) Usual(rank string) time.Duration {
	if r, ok := p.ranks[rank]; ok && r.usual > 0 {
		return r.usual
	}
	return p.Expected(rank)
}

// Tail returns the latency that few answers of a rank exceed, 0 if nothing is known.
func (p *Pool) Tail(rank string) time.Duration {
	if r, ok := p.ranks[rank]; ok {
		return time.Duration(r.tail)
	}
	return 0
}
