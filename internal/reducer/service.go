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
	// probeTimer fires when the next probe is due.
	probeTimer *timer
	// hedgeBudget and retryBudget limit the extra attempts. A managed entry uses
	// one bucket for both.
	hedgeBudget, retryBudget *tokenBucket
	// probeTokens is the number of probes that the entry could send at probeTokensAt.
	probeTokens float64
	// recheckScheduled is set while a timer is pending that dispatches waiting requests again.
	recheckScheduled bool
	probeTokensAt    time.Time
	// routeTimeouts holds, by route, the estimated timeout that callers set for
	// their first attempt.
	routeTimeouts map[string]time.Duration
}

func newService(n *Node, name string) *service {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	s := &service{
		node: n, routeTimeouts: make(map[string]time.Duration), pool: balancer.New(n.Seed^h.Sum64(), n.DataCentre), queue: admitter.New(),
		hedgeBudget: &tokenBucket{tokens: maxTokens, capacity: maxTokens}, retryBudget: &tokenBucket{tokens: maxTokens, capacity: maxTokens},
	}
	if n.Managed != nil {
		names, cutOff := n.rateSharers()
		s.pool.SetEntries(n.Name, names, cutOff)
		s.retryBudget = n.newManagedRetryBudget()
		s.hedgeBudget = s.retryBudget
	}
	return s
}

// mostUrgent reports whether no rank of the service is more urgent than the given one.
func (s *service) mostUrgent(r patcher.Rank) bool {
	for i := range s.config.Ranks {
		if s.config.Ranks[i].Urgency < r.Urgency {
			return false
		}
	}
	return true
}

func (s *service) update(c *patcher.Service) {
	if !s.removed && s.sameConfig(c) {
		return
	}
	s.rescheduleProbes(c)
	s.config = *c
	s.removed = false
	s.pool.Update(s.node.now, c)
	s.node.auditUpstreams(s)
	s.queue.Update(c.Ranks)
}

const (
	// timeoutDecayDivisor sets how fast the estimated timeout of a route falls:
	// each request with less time left lowers it by 1/timeoutDecayDivisor of the
	// difference, so that the estimate follows callers that begin to set shorter
	// timeouts.
	timeoutDecayDivisor = 100
	// minFirstShare is the share of a route's estimated timeout that must be left for
	// a request to count as a first attempt. It is below 1 because callers set
	// different timeouts.
	minFirstShare = 0.85
	// meanFirstShare is the share that is left at a first attempt on average.
	meanFirstShare = 0.925
)

// estimateFirstSent estimates when a caller first sent a request. A caller that
// retries after a refusal has less time left than at its first attempt.
func (s *service) estimateFirstSent(now time.Time, ev RequestArrived) time.Time {
	if ev.Deadline.IsZero() {
		return now
	}
	remaining := ev.Deadline.Sub(now)
	timeout := s.routeTimeouts[ev.Route]
	if remaining >= timeout {
		timeout = remaining
	} else {
		timeout -= (timeout - remaining) / timeoutDecayDivisor
	}
	s.routeTimeouts[ev.Route] = timeout
	if float64(remaining) >= minFirstShare*float64(timeout) {
		return now
	}
	return ev.Deadline.Add(-time.Duration(meanFirstShare * float64(timeout)))
}

// sameConfig reports whether a configuration of the service equals the one in force.
func (s *service) sameConfig(c *patcher.Service) bool {
	have := s.config
	return have.Name == c.Name && have.MeasuringBudget == c.MeasuringBudget && have.MaxEntries == c.MaxEntries &&
		have.ProbePath == c.ProbePath && slices.Equal(have.Ranks, c.Ranks) && slices.Equal(have.Upstreams, c.Upstreams)
}

// markLeavingUpstreams tells the pools which upstreams the platform's host list shows as leaving.
func (n *Node) markLeavingUpstreams(ev HostsListed) {
	for _, h := range ev.Hosts {
		if s, ok := n.services[h.Role]; ok {
			s.pool.SetListedLeaving(n.now, h.Name, h.Leaving)
			n.auditUpstreams(s)
			n.dispatchWaiting(s)
		}
	}
}

// auditUpstreams writes state changes of upstreams to the audit trail. Each entry
// writes its own changes, since other entries may not have observed them.
func (n *Node) auditUpstreams(s *service) {
	for _, c := range s.pool.Changes() {
		n.audit(auditor.Entry{
			Actor: n.Name, Action: "Upstream" + string(c.State), Subject: s.config.Name + "/" + c.Name,
			Cause: c.Reason, Version: n.Config().Version,
		})
	}
}

// Upstreams returns the status of a service's upstreams as seen by this entry, nil
// if the service is unknown.
func (n *Node) Upstreams(service string) []balancer.Status {
	s, ok := n.services[service]
	if !ok {
		return nil
	}
	return s.pool.Status(n.now)
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

func sortedIDs(m map[RequestID]*request) []RequestID { return slices.Sorted(maps.Keys(m)) }
