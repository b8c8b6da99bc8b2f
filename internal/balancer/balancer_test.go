package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azuretrestle/azuretrestle/internal/balancer"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

var epoch = time.Unix(1_700_000_000, 0)

func service(n int) *patcher.Service {
	s := &patcher.Service{Name: "S", MaxEntries: 2}
	for i := range n {
		s.Upstreams = append(s.Upstreams, patcher.Upstream{Name: fmt.Sprintf("u%02d", i), Slots: 4, Connections: 8})
	}
	return s
}

func pool(n int) *balancer.Pool {
	p := balancer.New(1, "a")
	p.Update(epoch, service(n))
	return p
}

var requirements = balancer.Requirements{Rank: "a", Urgent: true, Idempotent: true}

func ejected(p *balancer.Pool, now time.Time) (n int) {
	for _, s := range p.Status(now) {
		if s.State == balancer.Ejected {
			n++
		}
	}
	return n
}

// TestEjectionFloor guards against the ejection of most of a pool when all upstreams fail.
func TestEjectionFloor(t *testing.T) {
	for n, most := range map[int]int{1: 0, 2: 1, 3: 1, 15: 5, 100: 33} {
		is := is.New(t)
		p := pool(n)
		now := epoch
		for range 50 * n {
			now = now.Add(time.Millisecond)
			c, ok := p.Pick(now, requirements)
			is.True(ok)
			p.Finish(now, c.Attempt, balancer.Feedback{Failure: balancer.FailureStatus})
			is.True(ejected(p, now) <= most)
		}
		s := service(n)
		s.Upstreams = s.Upstreams[:1]
		p.Update(now, s) // removed upstreams must not count as ejected for ever
		is.True(ejected(p, now) <= 1)
	}
}

// share sends n requests one after the other and returns the share that the named upstream
// received. A request takes 1 ms, but fails at once on that upstream if fails is set.
func share(p *balancer.Pool, now *time.Time, name string, fails bool, n int) float64 {
	got := 0
	for range n {
		c, ok := p.Pick(*now, requirements)
		if !ok {
			continue
		}
		f := balancer.Feedback{}
		if c.Name == name {
			got++
		}
		if c.Name == name && fails {
			f.Failure = balancer.FailureStatus
		} else {
			*now = now.Add(time.Millisecond)
		}
		p.Finish(*now, c.Attempt, f)
	}
	return float64(got) / float64(n)
}

// TestFastFailure guards against an upstream that attracts most requests because it fails
// faster than others respond, and against an upstream that after an ejection gets no
// requests or its full share at once.
func TestFastFailure(t *testing.T) {
	is := is.New(t)
	p := pool(10)
	now := epoch
	share(p, &now, "u03", false, 200)
	is.True(share(p, &now, "u03", true, 5000) < 0.01)
	for ejected(p, now) > 0 { // ends with the first trial that succeeds
		share(p, &now, "u03", false, 1)
		is.True(now.Sub(epoch) < 30*time.Second)
	}
	is.True(share(p, &now, "u03", false, 100) < 0.1)
	now = now.Add(2 * time.Second)
	is.True(share(p, &now, "u03", false, 1000) > 0.05)
}

// TestSharedSlots guards against an entry that takes slots used by other entries, and
// against old reports that keep slots unused for ever.
func TestSharedSlots(t *testing.T) {
	is := is.New(t)
	p := pool(1)
	bulk := balancer.Requirements{Rank: "a", Idempotent: true}
	// backlog keeps as many requests in flight as the limit allows and returns the largest
	// number that were in flight.
	backlog := func(now time.Time, r *balancer.Report) (most int) {
		var open []*balancer.Attempt
		for range 1000 {
			for c, ok := p.Pick(now, bulk); ok; c, ok = p.Pick(now, bulk) {
				open = append(open, c.Attempt)
			}
			most = max(most, len(open))
			p.Finish(now, open[0], balancer.Feedback{Report: r})
			open = open[1:]
		}
		for _, a := range open {
			p.Finish(now, a, balancer.Feedback{})
		}
		return most
	}
	is.Equal(backlog(epoch, nil), 4)
	backlog(epoch, &balancer.Report{InFlight: 4, Queued: 6})
	is.Equal(backlog(epoch, &balancer.Report{InFlight: 4, Queued: 6}), 2) // slots / MaxEntries
	is.Equal(backlog(epoch.Add(10*time.Second), nil), 4)
}

// TestRemovedUpstream guards against requests to an upstream that was removed while
// attempts were in flight.
func TestRemovedUpstream(t *testing.T) {
	is := is.New(t)
	p := pool(2)
	var open []*balancer.Attempt
	for range 4 {
		c, _ := p.Pick(epoch, requirements)
		open = append(open, c.Attempt)
	}
	s := service(2)
	s.Upstreams = s.Upstreams[1:]
	p.Update(epoch, s)
	for _, a := range open {
		p.Finish(epoch, a, balancer.Feedback{Draining: true, Failure: balancer.FailureLost})
	}
	for range 20 {
		if c, ok := p.Pick(epoch, requirements); ok {
			is.Equal(c.Name, "u01")
		}
	}
}

// TestConnectionShare guards against entries that together open more connections than an
// upstream accepts, and against the choice of an upstream to which no connection is free.
func TestConnectionShare(t *testing.T) {
	is := is.New(t)
	s := &patcher.Service{Name: "S", MaxEntries: 8, Upstreams: []patcher.Upstream{{Name: "u", Slots: 100, Connections: 24}}}
	p := balancer.New(1, "a")
	now := time.Unix(1000, 0)
	p.Update(now, s)
	for range 3 {
		c, ok := p.Pick(now, balancer.Requirements{Rank: "R", Urgent: true})
		is.True(ok)
		is.Equal(c.Connections, 3)
	}
	_, ok := p.Pick(now, balancer.Requirements{Rank: "R", Urgent: true})
	is.True(!ok)
}
