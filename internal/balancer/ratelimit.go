package balancer

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minSharers is the number of entries assumed to share a rate while fewer are known.
	minSharers = 6
	// minRate is the rate below which no entry sends requests.
	minRate Rate = 0.01
	// cutOffFactor lengthens the interval between the requests of an entry that is cut off
	// from most others, which take over its share after a while.
	cutOffFactor = 2
	// recheckInterval is the mean time between two health checks with which an entry that
	// has no share of a rate finds out whether the upstream still names it.
	recheckInterval = 10 * time.Second
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
	// precedingEntries is the number of entries that have a share of the rate before this
	// one gets one. The order differs by upstream.
	precedingEntries int
	// opensAt is when this entry may send the next request or, if it has no share of the
	// rate, the next health check.
	opensAt time.Time
}

// entries are the names of the entries that share the rates of upstreams.
type entries struct {
	self  string
	names []string
	// cutOff is set if self hears from no more than half of them, itself included.
	cutOff bool
}

// SetEntries sets the names of the entries that share the rates of upstreams, which
// include self. cutOff tells that no more than half of them, self included, are heard.
func (p *Pool) SetEntries(self string, names []string, cutOff bool) {
	p.entries.cutOff = cutOff
	if p.entries.self == self && slices.Equal(p.entries.names, names) {
		return
	}
	p.entries.self, p.entries.names = self, names
	for _, u := range p.upstreams {
		if u.limited {
			u.precedingEntries = p.entries.preceding(u.Name)
		}
	}
}

// preceding returns how many entries come before this one in the order of shares of an
// upstream. It is the order of a hash of both names (rendezvous hashing, Thaler and
// Ravishankar 1998), so that a change of the entries changes few shares.
func (e entries) preceding(upstream string) int {
	weight := func(entry string) uint64 { return xxhash.Sum64String(upstream + "/" + entry) }
	own := weight(e.self)
	count := 0
	for _, name := range e.names {
		if name != e.self && weight(name) > own {
			count++
		}
	}
	return count
}

// shareInterval returns the time between two requests of this entry to an upstream that
// names a rate; it reports false if the entry has no share. The rate is divided among
// about as many entries as it has requests per second. Many more would each send a request
// in several seconds, and could by chance send them all at once.
func (p *Pool) shareInterval(u *upstream) (time.Duration, bool) {
	known := max(len(p.entries.names), minSharers)
	sharers := min(int(min(u.rate, Rate(known)))+1, known)
	if u.rate < minRate || u.precedingEntries >= sharers {
		return 0, false
	}
	interval := float64(time.Second) * float64(sharers) / float64(u.rate)
	if p.entries.cutOff {
		interval *= cutOffFactor
	}
	return time.Duration(interval), true
}

// recordRate records the rate that an upstream names, nil if a response names none, which
// changes nothing. The first request of each entry is delayed by a random part of the
// interval, so that the entries do not send at the same time.
func (p *Pool) recordRate(now time.Time, u *upstream, rate *Rate) {
	if rate == nil {
		return
	}
	hadShare := false
	if u.limited {
		_, hadShare = p.shareInterval(u)
	} else {
		u.precedingEntries = p.entries.preceding(u.Name)
		p.changes = append(p.changes, Change{Name: u.Name, State: RateLimited, Reason: rate.String()})
	}
	first := !u.limited
	u.limited = true
	u.rate = *rate
	u.namedAt = now
	interval, share := p.shareInterval(u)
	switch {
	case share && !hadShare:
		u.opensAt = now.Add(time.Duration(p.random.Float64() * float64(interval)))
	case first:
		u.opensAt = now.Add(p.recheckDelay())
	}
}

// recheckDelay returns a random time with the mean recheckInterval.
func (p *Pool) recheckDelay() time.Duration {
	return recheckInterval/2 + time.Duration(p.random.Int64N(int64(recheckInterval)))
}

// takeShare accounts for an attempt at an upstream that names a rate. One request that
// could have been sent before may be made up for. Without a share, the attempt is only a
// reason to check whether the upstream still names the rate.
func (p *Pool) takeShare(now time.Time, u *upstream, a *Attempt) {
	if !u.limited {
		return
	}
	interval, ok := p.shareInterval(u)
	if !ok {
		a.recheck = true
		u.opensAt = now.Add(p.recheckDelay())
		return
	}
	if earliest := now.Add(-interval); u.opensAt.Before(earliest) {
		u.opensAt = earliest
	}
	u.opensAt = u.opensAt.Add(interval)
	a.interval = interval
}

// returnShare undoes takeShare for an attempt that was not sent.
func (u *upstream) returnShare(a *Attempt) {
	if u.limited {
		u.opensAt = u.opensAt.Add(-a.interval)
	}
}

// RateOmitted records a response of one start of an upstream that named no rate, to a
// request that was sent at the given time. It ends the limit if a rate was last named
// before that.
func (p *Pool) RateOmitted(name string, born int64, sentAt time.Time) {
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
