package reducer

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"github.com/azuretrestle/azuretrestle/internal/admitter"
	"github.com/azuretrestle/azuretrestle/internal/balancer"
	"github.com/azuretrestle/azuretrestle/pkg/classifier"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

// maxAttempts bounds the dispatches of one request.
const maxAttempts = 3

// service is the state of one service at this node.
type service struct {
	node    *Node
	config  patcher.Service
	pool    *balancer.Pool
	queue   *admitter.Queue
	removed bool
}

// request is a caller's request from its arrival to its end.
type request struct {
	id         RequestID
	service    *service
	rank       patcher.Rank
	deadline   time.Time
	replayable bool
	queued     bool
	// relayed is set once an answer was given to the caller.
	relayed bool
	// mayHaveRun is set once an attempt ended without certainty that it did not run.
	mayHaveRun bool
	attempts   []*attempt
	timer      *timer
	// once is nil unless the rank is once-only.
	once *onceRequest
}

// attempt is one dispatch of a request.
type attempt struct {
	id       AttemptID
	upstream string
	started  time.Time
	open     bool
}

func newService(n *Node, name string) *service {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return &service{node: n, pool: balancer.New(n.Seed^h.Sum64(), n.DataCentre), queue: admitter.New()}
}

func (s *service) update(c *patcher.Service) {
	s.config = *c
	s.removed = false
	s.pool.Update(s.node.now, c)
	s.queue.Update(c.Ranks)
}

func (n *Node) requestArrived(ev RequestArrived) {
	if code := n.refusal(); code != classifier.OK {
		n.refuse(ev.ID, code)
		return
	}
	s, ok := n.services[ev.Service]
	if !ok || s.removed {
		n.refuseArrival(ev, classifier.UnknownService)
		return
	}
	rank, ok := s.config.Rank(ev.Rank)
	if !ok {
		n.refuseArrival(ev, classifier.UnknownRank)
		return
	}
	r := &request{id: ev.ID, service: s, rank: *rank, replayable: ev.Replayable}
	r.deadline = n.now.Add(rank.Patience.Duration)
	if !ev.Deadline.IsZero() && ev.Deadline.Before(r.deadline) {
		r.deadline = ev.Deadline
	}
	if rank.Kind == patcher.OnceOnly {
		n.onceArrived(r, ev)
		return
	}
	n.requests[ev.ID] = r
	n.enqueue(r)
}

func (n *Node) enqueue(r *request) {
	code := r.service.queue.Offer(n.now, admitter.Item{ID: uint64(r.id), Rank: r.rank.Name, Deadline: r.deadline})
	if code != classifier.OK {
		n.refuseRequest(r, code)
		return
	}
	r.queued = true
	if r.timer == nil {
		r.timer = n.after(r.deadline, func() { n.deadlinePassed(r) })
	}
	n.pump(r.service)
}

// pump dispatches waiting requests while upstreams have room.
func (n *Node) pump(s *service) {
	for {
		it, ok := s.queue.Take(n.now)
		if !ok {
			return
		}
		r := n.requests[RequestID(it.ID)]
		if !n.now.Before(r.deadline) {
			r.queued = false
			n.refuseRequest(r, classifier.DeadlinePassed)
			continue
		}
		choice, ok := s.pool.Pick(n.now, r.tried())
		if !ok {
			s.queue.Offer(n.now, it)
			return
		}
		r.queued = false
		n.dispatch(r, choice)
	}
}

func (n *Node) dispatch(r *request, c balancer.Choice) {
	if r.once != nil && !r.once.claim.record.Dispatch() {
		r.service.pool.Finish(n.now, c.Name, balancer.Feedback{Failure: balancer.FailureCancelled})
		n.refuseRequest(r, classifier.KeyInProgress)
		return
	}
	a := &attempt{
		id:       AttemptID{Request: r.id, Number: uint32(len(r.attempts)) + 1},
		upstream: c.Name,
		started:  n.now,
		open:     true,
	}
	r.attempts = append(r.attempts, a)
	n.emit(Dispatch{
		Attempt: a.id, Service: r.service.config.Name, Rank: r.rank.Name,
		Upstream: c.Name, Address: c.Address, Connections: c.Connections,
		Deadline: r.deadline, Fresh: c.Fresh, StoreAnswer: r.once != nil,
	})
}

func (r *request) tried() []string {
	var names []string
	for _, a := range r.attempts {
		names = append(names, a.upstream)
	}
	return names
}

func (n *Node) find(id AttemptID) (*request, *attempt) {
	r, ok := n.requests[id.Request]
	if !ok || id.Number < 1 || int(id.Number) > len(r.attempts) {
		return nil, nil
	}
	a := r.attempts[id.Number-1]
	if !a.open {
		return nil, nil
	}
	return r, a
}

func (n *Node) close(r *request, a *attempt, f balancer.Feedback) {
	a.open = false
	f.Started = a.started
	r.service.pool.Finish(n.now, a.upstream, f)
}

func (n *Node) upstreamAnswered(ev UpstreamAnswered) {
	r, a := n.find(ev.Attempt)
	if r == nil {
		return
	}
	if ev.NotRun {
		n.close(r, a, balancer.Feedback{NotRun: true, Draining: ev.Draining, Report: ev.Report})
		n.repeat(r, classifier.UpstreamRefused, classifier.OutcomeNotRun)
		n.pump(r.service)
		return
	}
	r.relayed = r.once == nil || n.onceAnswered(r, ev)
	if r.relayed {
		n.emit(Relay{Attempt: a.id})
	}
	if ev.Whole || !r.relayed {
		n.close(r, a, balancer.Feedback{Draining: ev.Draining, Report: ev.Report})
		n.end(r)
		n.pump(r.service)
	}
}

func (n *Node) upstreamFinished(ev UpstreamFinished) {
	r, a := n.find(ev.Attempt)
	if r == nil {
		return
	}
	f := balancer.Feedback{}
	if ev.Truncated {
		f.Failure = balancer.FailureTruncated
	}
	n.close(r, a, f)
	n.end(r)
	n.pump(r.service)
}

func (n *Node) attemptFailed(ev AttemptFailed) {
	r, a := n.find(ev.Attempt)
	if r == nil {
		return
	}
	n.close(r, a, balancer.Feedback{Failure: ev.Failure})
	code, outcome := failureResult(ev)
	n.repeat(r, code, outcome)
	n.pump(r.service)
}

func failureResult(ev AttemptFailed) (classifier.Code, classifier.Outcome) {
	outcome := classifier.OutcomeUnknown
	if !ev.Sent {
		outcome = classifier.OutcomeNotRun
	}
	switch ev.Failure {
	case balancer.FailureDial:
		return classifier.UpstreamUnreachable, outcome
	case balancer.FailureTimeout:
		return classifier.UpstreamTimeout, outcome
	case balancer.FailureTruncated:
		return classifier.AnswerTruncated, outcome
	default:
		return classifier.ConnectionLost, outcome
	}
}

// repeat queues a request again if that is safe, and refuses it otherwise.
func (n *Node) repeat(r *request, code classifier.Code, outcome classifier.Outcome) {
	if outcome != classifier.OutcomeNotRun {
		r.mayHaveRun = true
	}
	if r.once != nil && !r.mayHaveRun && !n.onceNotRun(r) {
		n.end(r)
		return
	}
	safe := !r.mayHaveRun || r.rank.Kind == patcher.Idempotent
	if safe && r.replayable && len(r.attempts) < maxAttempts && n.now.Before(r.deadline) {
		n.enqueue(r)
		return
	}
	n.refuseRequest(r, code)
}

// outcome is that of a request which ends without an answer.
func (r *request) outcome() classifier.Outcome {
	if r.mayHaveRun {
		return classifier.OutcomeUnknown
	}
	return classifier.OutcomeNotRun
}

func (n *Node) deadlinePassed(r *request) {
	r.timer = nil
	if r.relayed {
		return
	}
	n.cancelAttempts(r, balancer.FailureTimeout)
	code := classifier.DeadlinePassed
	if r.mayHaveRun {
		code = classifier.UpstreamTimeout
	}
	n.refuseRequest(r, code)
	n.pump(r.service)
}

func (n *Node) cancelAttempts(r *request, f balancer.Failure) {
	for _, a := range r.attempts {
		if a.open {
			r.mayHaveRun = true
			n.close(r, a, balancer.Feedback{Failure: f})
			n.emit(Cancel{Attempt: a.id})
		}
	}
}

func (n *Node) callerGone(ev CallerGone) {
	r, ok := n.requests[ev.ID]
	if !ok {
		return
	}
	if r.once != nil {
		n.onceCallerGone(r)
		return
	}
	n.cancelAttempts(r, balancer.FailureCancelled)
	n.end(r)
	n.pump(r.service)
}

func (n *Node) end(r *request) {
	if r.queued {
		r.service.queue.Remove(uint64(r.id), r.rank.Name)
	}
	n.timers.stop(r.timer)
	delete(n.requests, r.id)
	if r.once != nil {
		n.onceEnd(r)
	}
}

func (n *Node) refuse(id RequestID, code classifier.Code) {
	n.emit(Refuse{ID: id, Code: code, Outcome: classifier.OutcomeNotRun})
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
