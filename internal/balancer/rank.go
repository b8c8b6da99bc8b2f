package balancer

import "time"

// meanWeight is the reciprocal weight of a new sample in the mean latency of a rank.
const meanWeight = 64

// rankLatency is what the pool learned of one rank's latency over all upstreams.
type rankLatency struct {
	mean time.Duration
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
		return
	}
	r.mean += (d - r.mean) / meanWeight
}

// Expected returns the mean latency of a rank, 0 if nothing is known.
func (p *Pool) Expected(rank string) time.Duration {
	if r, ok := p.ranks[rank]; ok {
		return r.mean
	}
	return 0
}
