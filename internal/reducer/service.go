package reducer

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"github.com/azuretrestle/azuretrestle/internal/admitter"
	"github.com/azuretrestle/azuretrestle/internal/auditor"
	"github.com/azuretrestle/azuretrestle/internal/balancer"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

// service is the state of one service at this node.
type service struct {
	node    *Node
	config  patcher.Service
	pool    *balancer.Pool
	queue   *admitter.Queue
	removed bool
	// probe is the timer of the next probe.
	probe *timer
	// hedges and repeats bound the extra attempts; a managed entry has one bound for both.
	hedges, repeats *allowance
	// probesSaved are the probes that the entry may send at probesAt.
	probesSaved float64
	// rechecking is set while a look for upstreams is due for waiting requests.
	rechecking bool
	probesAt   time.Time
	// spans holds the time that callers of a route allow with their first attempt.
	spans map[string]time.Duration
}

func newService(n *Node, name string) *service {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	s := &service{
		node: n, spans: make(map[string]time.Duration), pool: balancer.New(n.Seed^h.Sum64(), n.DataCentre), queue: admitter.New(),
		hedges: &allowance{saved: maxSaved, most: maxSaved}, repeats: &allowance{saved: maxSaved, most: maxSaved},
	}
	if n.Managed != nil {
		s.repeats = n.managedAllowance()
		s.hedges = s.repeats
	}
	return s
}

// urgent reports whether no rank of the service comes before the given one.
func (s *service) urgent(r patcher.Rank) bool {
	for i := range s.config.Ranks {
		if s.config.Ranks[i].Urgency < r.Urgency {
			return false
		}
	}
	return true
}

func (s *service) update(c *patcher.Service) {
	if !s.removed && s.same(c) {
		return
	}
	s.planProbes(c)
	s.config = *c
	s.removed = false
	s.pool.Update(s.node.now, c)
	s.node.auditUpstreams(s)
	s.queue.Update(c.Ranks)
}

const (
	// spanDecay is the reciprocal share of a shortfall by which a route's span falls
	// with each request, so that it follows callers that come to allow less.
	spanDecay = 100
	// leastFirst is the share of a route's span that a first attempt allows at
	// least; callers are not equally patient.
	leastFirst = 0.85
	// meanFirst is the share that it allows on average.
	meanFirst = 0.925
)

// began estimates when a caller first sent a request. Callers that come back
// after a refusal allow less time than they did at first.
func (s *service) began(now time.Time, ev RequestArrived) time.Time {
	if ev.Deadline.IsZero() {
		return now
	}
	left := ev.Deadline.Sub(now)
	span := s.spans[ev.Route]
	if left >= span {
		span = left
	} else {
		span -= (span - left) / spanDecay
	}
	s.spans[ev.Route] = span
	if float64(left) >= leastFirst*float64(span) {
		return now
	}
	return ev.Deadline.Add(-time.Duration(meanFirst * float64(span)))
}

// same reports whether a configuration of the service is the one in force.
func (s *service) same(c *patcher.Service) bool {
	have := s.config
	return have.Name == c.Name && have.MeasuringBudget == c.MeasuringBudget && have.MaxEntries == c.MaxEntries &&
		have.ProbePath == c.ProbePath && slices.Equal(have.Ranks, c.Ranks) && slices.Equal(have.Upstreams, c.Upstreams)
}

// hostsChanged passes on which upstreams the platform's host list names as leaving.
func (n *Node) hostsChanged(ev HostsListed) {
	for _, h := range ev.Hosts {
		if s, ok := n.services[h.Role]; ok {
			s.pool.Listed(n.now, h.Name, h.Leaving)
			n.auditUpstreams(s)
			n.pump(s)
		}
	}
}

// auditUpstreams puts the changes of the upstreams' states onto the audit trail.
// Each entry writes its own, since others may not have seen them.
func (n *Node) auditUpstreams(s *service) {
	for _, c := range s.pool.Changes() {
		n.audit(auditor.Entry{
			Actor: n.Name, Action: "Upstream" + string(c.State), Subject: s.config.Name + "/" + c.Name,
			Cause: c.Reason, Version: n.Config().Version,
		})
	}
}

// Upstreams returns the upstreams of a service as this entry sees them, nil if the service is unknown.
func (n *Node) Upstreams(service string) []balancer.Status {
	s, ok := n.services[service]
	if !ok {
		return nil
	}
	return s.pool.Status(n.now)
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
