package balancer

import "time"

const (
	// warmPeriod is the time since its last use during which an upstream is assumed to
	// have an open connection.
	warmPeriod = 5 * time.Second
	// manyUpstreams is the size of a pool above which an entry doesn't keep connections
	// to all upstreams in use.
	manyUpstreams = 32
	// coldCost multiplies the cost of an upstream that most likely needs a new
	// connection. The warm set then grows no further than the requests in flight require.
	coldCost = 1.25
	// warmCandidates is the number of candidates that are taken from the warm set instead
	// of from all upstreams.
	warmCandidates = candidateCount - 1
)

// warmSet holds the upstreams to which connections are most likely open.
type warmSet struct {
	// warm lists the recently used upstreams. An upstream whose warmPeriod has passed
	// stays in it until considerWarm draws it.
	warm []*upstream
}

// markUsed records that an upstream was picked for an attempt.
func (p *Pool) markUsed(now time.Time, u *upstream) {
	u.usedAt = now
	if !u.inWarmSet && len(p.upstreams) > manyUpstreams {
		u.inWarmSet = true
		p.warm = append(p.warm, u)
	}
}

// considerWarm considers some upstreams of the warm set and drops those whose
// warmPeriod has passed.
func (p *Pool) considerWarm(now time.Time, consider func(*upstream)) {
	for range warmCandidates {
		if len(p.warm) == 0 {
			return
		}
		i := p.random.IntN(len(p.warm))
		u := p.warm[i]
		if u.removed || now.Sub(u.usedAt) > warmPeriod {
			u.inWarmSet = false
			p.warm[i] = p.warm[len(p.warm)-1]
			p.warm = p.warm[:len(p.warm)-1]
			continue
		}
		consider(u)
	}
}

// connectionFactor returns the factor on the cost of an upstream that may need a new connection.
func (p *Pool) connectionFactor(now time.Time, u *upstream) float64 {
	if len(p.upstreams) <= manyUpstreams || now.Sub(u.usedAt) <= warmPeriod {
		return 1
	}
	return coldCost
}
