package balancer

import (
	"strconv"
	"time"
)

// Rate is a number of requests per second, over all entries.
type Rate float64

// String formats the rate with its unit.
func (r Rate) String() string { return strconv.FormatFloat(float64(r), 'f', -1, 64) + "/s" }

// rateLimit is the state of an upstream that names the rate of requests that it takes.
type rateLimit struct {
	limited bool
	rate    Rate
	// namedAt is when a response last named the rate.
	namedAt time.Time
}

func (p *Pool) recordRate(now time.Time, u *upstream, rate *Rate) {
	if rate == nil {
		return
	}
	if !u.limited {
		p.changes = append(p.changes, Change{Name: u.Name, State: RateLimited, Reason: rate.String()})
	}
	u.limited = true
	u.rate = *rate
	u.namedAt = now
}

// RateOmitted records a response of one start of an upstream that named no rate, to a
// request that was sent at the given time. It ends the limit if a rate was last named
// before that.
func (p *Pool) RateOmitted(now time.Time, name string, born int64, sentAt time.Time) {
	u, ok := p.byName[name]
	if !ok || u.Born != born || !u.limited || !sentAt.After(u.namedAt) {
		return
	}
	u.rateLimit = rateLimit{}
	p.changes = append(p.changes, Change{Name: u.Name, State: RateUnlimited, Reason: "no rate named"})
}

// Limited reports whether an upstream names the rate of requests that it takes.
func (p *Pool) Limited(name string) bool {
	u, ok := p.byName[name]
	return ok && u.limited
}
