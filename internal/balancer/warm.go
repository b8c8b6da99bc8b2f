package balancer

import "time"

const (
	// warmPeriod is how long an upstream counts as one with an open connection.
	warmPeriod = 5 * time.Second
	// manyUpstreams is the size of a pool from which an entry alone does not keep
	// connections to all upstreams in use.
	manyUpstreams = 32
	// coldCost multiplies the cost of an upstream that most likely needs a new
	// connection. The set of upstreams in use then grows no further than the
	// requests in flight ask for.
	coldCost = 1.25
	// warmCandidates is the number of upstreams in use that are compared, instead
	// of as many of all.
	warmCandidates = candidates - 1
)

// warmth is what a pool knows of connections that are likely open.
type warmth struct {
	// warm lists upstreams used lately; some may have cooled since.
	warm []*upstream
}

// use notes that an upstream gets an attempt.
func (p *Pool) use(now time.Time, u *upstream) {
	u.usedAt = now
	if !u.listedWarm && len(p.upstreams) > manyUpstreams {
		u.listedWarm = true
		p.warm = append(p.warm, u)
	}
}

// considerWarm looks at some upstreams in use and forgets those that have cooled.
func (p *Pool) considerWarm(now time.Time, consider func(*upstream)) {
	for range warmCandidates {
		if len(p.warm) == 0 {
			return
		}
		i := p.random.IntN(len(p.warm))
		u := p.warm[i]
		if u.gone || now.Sub(u.usedAt) > warmPeriod {
			u.listedWarm = false
			p.warm[i] = p.warm[len(p.warm)-1]
			p.warm = p.warm[:len(p.warm)-1]
			continue
		}
		consider(u)
	}
}

// coldness is the factor on the cost of an upstream that needs a new connection.
func (p *Pool) coldness(now time.Time, u *upstream) float64 {
	if len(p.upstreams) <= manyUpstreams || now.Sub(u.usedAt) <= warmPeriod {
		return 1
	}
	return coldCost
}
