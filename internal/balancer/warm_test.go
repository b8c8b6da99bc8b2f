package balancer

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

// largePool returns a pool with more upstreams than an entry keeps connections to.
func largePool(now time.Time) *Pool {
	const upstreams = 160
	s := &patcher.Service{Name: "s", Ranks: []patcher.Rank{{Name: "r"}}}
	for i := range upstreams {
		s.Upstreams = append(s.Upstreams, patcher.Upstream{
			Name: fmt.Sprintf("u%03d", i), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80), Slots: 4, Connections: 100,
		})
	}
	p := New(1, "a")
	p.Update(now, s)
	return p
}

// TestWarmSet guards against a new connection for nearly every request when an
// entry spreads few requests over many upstreams, and against a warm set that
// is too small for the requests in flight.
func TestWarmSet(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	p := largePool(now)
	const inFlight, requests, gap = 5, 1000, 50 * time.Millisecond
	last := make(map[string]time.Time)
	cold := 0
	var open []*Attempt
	most := 0
	for range requests {
		c, ok := p.Pick(now, Requirements{Rank: "r", Urgent: true})
		is.True(ok)
		if at, known := last[c.Name]; !known || now.Sub(at) > warmPeriod {
			cold++
		}
		last[c.Name] = now
		most = max(most, p.byName[c.Name].inFlight)
		open = append(open, c.Attempt)
		if len(open) > inFlight {
			p.Finish(now, open[0], Feedback{})
			open = open[1:]
		}
		now = now.Add(gap)
	}
	is.True(cold < requests/5)
	is.True(most <= 3)
}

// TestRemovedWarmUpstream guards against requests to an upstream that was removed while it was
// in the warm set.
func TestRemovedWarmUpstream(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	p := largePool(now)
	c, _ := p.Pick(now, Requirements{Rank: "r", Urgent: true})
	p.Finish(now, c.Attempt, Feedback{})
	s := &patcher.Service{Name: "s", Ranks: []patcher.Rank{{Name: "r"}}}
	for _, u := range p.upstreams {
		if u.Name != c.Name {
			s.Upstreams = append(s.Upstreams, u.Upstream)
		}
	}
	p.Update(now, s)
	for range 500 {
		next, ok := p.Pick(now, Requirements{Rank: "r", Urgent: true})
		is.True(ok)
		is.True(next.Name != c.Name)
		p.Finish(now, next.Attempt, Feedback{})
	}
}
