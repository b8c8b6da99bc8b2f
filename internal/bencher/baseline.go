package bencher

import (
	"math/rand/v2"
	"time"

	"github.com/azuretrestle/azuretrestle/internal/balancer"
	"github.com/azuretrestle/azuretrestle/internal/reducer"
	"github.com/azuretrestle/azuretrestle/pkg/classifier"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

// Policy names a policy by which an entry chooses upstreams.
type Policy string

// The policies: the real reducer and the baselines.
const (
	Reducer        Policy = "ours"
	Random         Policy = "random"
	RoundRobin     Policy = "round robin"
	FewestInFlight Policy = "fewest in flight"
	TwoChoices     Policy = "two choices"
	LeastReported  Policy = "least reported"
)

// Baselines returns the policies to compare the reducer with.
func Baselines() []Policy {
	return []Policy{Random, RoundRobin, FewestInFlight, TwoChoices, LeastReported}
}

// baselineAttempts is the maximum number of attempts per request.
const baselineAttempts = 3

// baseline is an entry with queues ordered by urgency, no early refusal and a simple choice of upstreams.
type baseline struct {
	policy   Policy
	random   *rand.Rand
	service  patcher.Service
	next     int
	inFlight []int
	reported []int
	waiting  [][]*baselineCall
	calls    map[reducer.RequestID]*baselineCall
	effects  []reducer.Effect
}

// baselineCall is a request that waits or has an attempt in flight.
type baselineCall struct {
	id       reducer.RequestID
	rank     int
	deadline time.Time
	// tried holds the upstream of each attempt.
	tried []int
}

func newBaseline(p Policy, s patcher.Service, seed uint64) *baseline {
	return &baseline{
		policy: p, service: s, random: rand.New(rand.NewPCG(seed, 5)),
		inFlight: make([]int, len(s.Upstreams)), reported: make([]int, len(s.Upstreams)),
		waiting: make([][]*baselineCall, len(s.Ranks)), calls: make(map[reducer.RequestID]*baselineCall),
	}
}

// Step implements stepper.
func (b *baseline) Step(ev reducer.Event) []reducer.Effect {
	b.effects = nil
	switch ev := ev.(type) {
	case reducer.RequestArrived:
		b.handleArrival(ev)
	case reducer.UpstreamAnswered:
		b.handleResponse(ev)
	case reducer.AttemptFailed:
		c := b.endAttempt(ev.Attempt, nil)
		b.retry(c, ev.Now, ev.Sent)
	}
	b.dispatchWaiting(ev.Time())
	return b.effects
}

func (b *baseline) handleArrival(ev reducer.RequestArrived) {
	for i, r := range b.service.Ranks {
		if r.Name != ev.Rank {
			continue
		}
		if len(b.waiting[i]) >= r.MaxQueue {
			b.effects = append(b.effects, reducer.Refuse{ID: ev.ID, Code: classifier.QueueFull, Outcome: classifier.OutcomeNotRun})
			return
		}
		c := &baselineCall{id: ev.ID, rank: i, deadline: ev.Now.Add(r.Patience.Duration)}
		b.calls[ev.ID] = c
		b.waiting[i] = append(b.waiting[i], c)
	}
}

// endAttempt updates the requests in flight and the reported load after an attempt; r is
// nil if the upstream returned no load report.
func (b *baseline) endAttempt(id reducer.AttemptID, r *balancer.Report) *baselineCall {
	c := b.calls[id.Request]
	u := c.tried[id.Number-1]
	b.inFlight[u]--
	if r != nil {
		b.reported[u] = r.InFlight + r.Queued
	}
	return c
}

func (b *baseline) handleResponse(ev reducer.UpstreamAnswered) {
	c := b.endAttempt(ev.Attempt, ev.Report)
	if ev.NotRun {
		b.retry(c, ev.Now, false)
		return
	}
	delete(b.calls, c.id)
	b.effects = append(b.effects, reducer.Relay{Attempt: ev.Attempt})
}

// retry puts a call back at the head of its queue, or refuses it if its attempts or its time are used up.
func (b *baseline) retry(c *baselineCall, now time.Time, sent bool) {
	if len(c.tried) < baselineAttempts && now.Before(c.deadline) {
		b.waiting[c.rank] = append([]*baselineCall{c}, b.waiting[c.rank]...)
		return
	}
	outcome := classifier.OutcomeNotRun
	if sent {
		outcome = classifier.OutcomeUnknown
	}
	delete(b.calls, c.id)
	b.effects = append(b.effects, reducer.Refuse{ID: c.id, Code: classifier.UpstreamRefused, Outcome: outcome})
}

func (b *baseline) dispatchWaiting(now time.Time) {
	for i := range b.waiting {
		for len(b.waiting[i]) > 0 {
			c := b.waiting[i][0]
			u, ok := b.choose(c)
			if !ok {
				return
			}
			b.waiting[i] = b.waiting[i][1:]
			if now.Before(c.deadline) {
				b.dispatch(c, u)
				continue
			}
			delete(b.calls, c.id)
			b.effects = append(b.effects, reducer.Refuse{ID: c.id, Code: classifier.DeadlinePassed, Outcome: classifier.OutcomeUnknown})
		}
	}
}

func (b *baseline) dispatch(c *baselineCall, i int) {
	u := b.service.Upstreams[i]
	c.tried = append(c.tried, i)
	b.inFlight[i]++
	b.effects = append(b.effects, reducer.Dispatch{
		Attempt: reducer.AttemptID{Request: c.id, Number: uint32(len(c.tried))}, Service: b.service.Name,
		Upstream: u.Name, Address: u.Address, Connections: u.Connections, Deadline: c.deadline,
	})
}

// hasFreeSlot reports whether the upstream has fewer requests in flight than slots.
func (b *baseline) hasFreeSlot(i int) bool { return b.inFlight[i] < b.service.Upstreams[i].Slots }

// choose returns an upstream with a free slot that the call has not tried; it reports
// false if there is none.
func (b *baseline) choose(c *baselineCall) (int, bool) {
	var eligible []int
	for i := range b.service.Upstreams {
		if b.hasFreeSlot(i) && !wasTried(c, i) {
			eligible = append(eligible, i)
		}
	}
	if len(eligible) == 0 {
		return 0, false
	}
	switch b.policy {
	case RoundRobin:
		b.next++
		return eligible[b.next%len(eligible)], true
	case FewestInFlight:
		return b.leastBy(eligible, b.inFlight), true
	case LeastReported:
		return b.leastBy(eligible, b.reported), true
	case TwoChoices:
		pair := []int{eligible[b.random.IntN(len(eligible))], eligible[b.random.IntN(len(eligible))]}
		return b.leastBy(pair, b.inFlight), true
	default:
		return eligible[b.random.IntN(len(eligible))], true
	}
}

func wasTried(c *baselineCall, i int) bool {
	for _, t := range c.tried {
		if t == i {
			return true
		}
	}
	return false
}

// leastBy returns the element of the list with the smallest measure and breaks ties at random.
func (b *baseline) leastBy(list, measure []int) int {
	first := b.random.IntN(len(list))
	best := list[first]
	for k := range list {
		i := list[(first+k)%len(list)]
		if measure[i] < measure[best] {
			best = i
		}
	}
	return best
}
