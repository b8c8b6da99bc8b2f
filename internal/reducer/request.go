package reducer

import (
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/azuretrestle/azuretrestle/internal/admitter"
	"github.com/azuretrestle/azuretrestle/internal/balancer"
	"github.com/azuretrestle/azuretrestle/pkg/classifier"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

// maxAttempts is the maximum number of attempts per request.
const maxAttempts = 3

// defaultTimeout applies if neither the rank nor the caller sets a deadline.
const defaultTimeout = 30 * time.Second

// maxNotRunRetries is the number of attempts allowed beyond maxAttempts to make up
// for attempts that were not run. Such attempts cost an upstream almost nothing,
// and the request has already been accepted.
const maxNotRunRetries = 3

// request is the state of a caller's request, from its arrival until it ends.
type request struct {
	id       RequestID
	service  *service
	rank     patcher.Rank
	deadline time.Time
	// arrivedAt is when the entry received the request.
	arrivedAt time.Time
	// due is the time by which a response meets the latency target; zero if unknown.
	due        time.Time
	replayable bool
	// size is the length of the buffered body in bytes.
	size   int64
	queued bool
	// relayed is set once a response has been relayed to the caller.
	relayed bool
	// mayHaveRun is set once an attempt has ended and may have been run by the upstream.
	mayHaveRun bool
	// notRun counts the attempts that were certainly not run.
	notRun int
	// unsent counts the attempts in notRun that never reached an upstream.
	unsent   int
	attempts []*attempt
	timer    *timer
	// once is nil unless the rank is once-only.
	once *onceRequest
	// hedgeTimer fires when a hedged attempt may be started.
	hedgeTimer *timer
	// retryAt is the earliest time for the caller to retry a refused request; zero if unknown.
	retryAt time.Time
	// freshConnection is set if further attempts must use new connections.
	freshConnection bool
	preflightState
}

// attempt is one dispatch of a request to an upstream.
type attempt struct {
	id       AttemptID
	upstream string
	address  netip.AddrPort
	slot     *balancer.Attempt
	open     bool
	// silenceTimer fires when the connection has to be checked for silence.
	silenceTimer *timer
}

func (n *Node) requestArrived(ev RequestArrived) {
	if code := n.admissionCode(); code != classifier.OK {
		n.refuseArrival(ev, code)
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
	if n.endsAfterStop(s, ev.Rank) {
		n.refuseArrival(ev, classifier.EntryStopping)
		return
	}
	r := &request{id: ev.ID, service: s, rank: *rank, arrivedAt: n.now, replayable: ev.Replayable}
	timeout := rank.Patience.Duration
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	r.deadline = n.now.Add(timeout)
	if !ev.Deadline.IsZero() && ev.Deadline.Before(r.deadline) {
		r.deadline = ev.Deadline
	}
	if rank.Kind == patcher.OnceOnly {
		n.onceArrived(r, ev)
		return
	}
	if ev.Replayable {
		r.size = max(ev.BodySize, 0)
	}
	if n.Managed != nil {
		r.due = s.estimateFirstSent(n.now, ev).Add(rank.Target.Duration)
	}
	n.requests[ev.ID] = r
	s.creditBudgets()
	n.enqueue(r)
}

// enqueue queues a request for a slot. A request that was accepted before is not
// refused because of load.
func (n *Node) enqueue(r *request) {
	r.retryAt = time.Time{}
	code := classifier.OK
	if len(r.attempts) == 0 {
		code = r.service.queue.Offer(n.now, r.item())
	} else if !r.service.queue.Requeue(n.now, r.item()) {
		code = classifier.UnknownRank
	}
	if code != classifier.OK {
		n.refuseRequest(r, code)
		return
	}
	r.queued = true
	if r.timer == nil {
		r.timer = n.runAt(r.deadline, func() { n.deadlinePassed(r) })
	}
	n.dispatchWaiting(r.service)
}

func (r *request) item() admitter.Item {
	return admitter.Item{
		ID: uint64(r.id), Rank: r.rank.Name, Deadline: r.deadline, Due: r.due,
		Size: r.size, Expected: r.service.pool.BaselineLatency(r.rank.Name),
	}
}

// maxSkipped limits the waiting requests that are skipped because only upstreams are
// available that they have tried, or that they may not probe any more.
const maxSkipped = 4

// dispatchWaiting dispatches waiting requests while upstreams have free slots.
func (n *Node) dispatchWaiting(s *service) {
	var skipped []admitter.Item
	for _, it := range s.queue.EvictLate(n.now) {
		n.refuseWaiting(n.requests[RequestID(it.ID)], classifier.DeadlineUnreachable)
	}
	n.refuseUnservable(s)
	n.refuseEndingAfterStop(s)
	for len(skipped) < maxSkipped {
		it, ok := s.queue.Next()
		if !ok {
			break
		}
		r := n.requests[RequestID(it.ID)]
		if !n.now.Before(r.deadline) {
			n.refuseWaiting(r, classifier.DeadlinePassed)
			continue
		}
		if n.usedUpProbes(r) && n.missesTarget(r) {
			n.refuseSaturated(r)
			continue
		}
		choice, ok := s.pool.Pick(n.now, n.requirements(r))
		if ok {
			s.queue.Dispatch(n.now, it.ID)
			r.queued = false
			if !n.preflight(r, choice) {
				break
			}
			continue
		}
		if len(r.attempts) == 0 && !n.waitsForReport(r) {
			break
		}
		s.queue.Remove(it.ID)
		skipped = append(skipped, it)
	}
	for _, it := range skipped {
		s.queue.Requeue(n.now, it)
	}
	n.scheduleRecheck(s)
}

func (n *Node) dispatch(r *request, c balancer.Choice) {
	if r.once != nil && !r.once.claim.record.Dispatch() {
		r.service.pool.Finish(n.now, c.Attempt, balancer.Feedback{Failure: balancer.FailureCancelled})
		n.refuseRequest(r, classifier.KeyInProgress)
		return
	}
	a := &attempt{
		id:       AttemptID{Request: r.id, Number: uint32(len(r.attempts)) + 1},
		upstream: c.Name,
		address:  c.Address,
		slot:     c.Attempt,
		open:     true,
	}
	fresh := c.Fresh || r.wasSentTo(c.Address)
	r.attempts = append(r.attempts, a)
	r.service.queue.Started(r.rank.Name)
	n.emit(Dispatch{
		Attempt: a.id, Service: r.service.config.Name, Rank: r.rank.Name,
		Upstream: c.Name, Address: c.Address, Born: c.Born, Connections: c.Connections,
		Deadline: r.deadline, Fresh: fresh, StoreAnswer: r.once != nil, Known: c.Attempt.Condition,
	})
	n.scheduleHedge(r)
	n.scheduleSilenceCheck(r, a)
}

// wasSentTo reports whether an earlier attempt went to an address, where the upstream may
// have started again under another name. A copy of the response to that attempt may still
// arrive on its connection, and it names the request as the response to the next one does.
func (r *request) wasSentTo(address netip.AddrPort) bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.address == address })
}

func (n *Node) requirements(r *request) balancer.Requirements {
	requirements := balancer.Requirements{Rank: r.rank.Name, Urgent: r.service.mostUrgent(r.rank), Idempotent: r.idempotent(), Fresh: r.freshConnection}
	for _, a := range r.attempts {
		requirements.Tried = append(requirements.Tried, a.upstream)
	}
	requirements.Tried = append(requirements.Tried, r.unsuitable...)
	requirements.MaxSlowdown = n.maxSlowdown(r)
	requirements.Reported = n.waitsForReport(r)
	return requirements
}

func (n *Node) findAttempt(id AttemptID) (*request, *attempt) {
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

func (n *Node) closeAttempt(r *request, a *attempt, f balancer.Feedback) {
	a.open = false
	n.timers.stop(a.silenceTimer)
	r.service.queue.Ended(r.rank.Name)
	r.service.pool.Finish(n.now, a.slot, f)
	n.closeIdle(r.service, a, false)
	n.auditUpstreams(r.service)
}

func (n *Node) upstreamAnswered(ev UpstreamAnswered) {
	r, a := n.findAttempt(ev.Attempt)
	if r == nil {
		return
	}
	if ev.NotRun {
		n.closeAttempt(r, a, balancer.Feedback{NotRun: true, Draining: ev.Draining, Report: ev.Report})
		if r.service.pool.HadFreeSlot(a.slot) {
			r.retryAt = n.now.Add(shedRetryDelay)
		}
		n.retryOrRefuse(r, classifier.UpstreamRefused, classifier.OutcomeNotRun, true)
		n.dispatchWaiting(r.service)
		return
	}
	f := balancer.Feedback{Draining: ev.Draining, Report: ev.Report}
	if upstreamError(ev.Status) {
		f.Failure = balancer.FailureStatus
		if r.openAttempts() > 1 || r.idempotent() && n.canRetry(r) && r.service.retryBudget.tokens >= 1 {
			n.closeAttempt(r, a, f)
			n.retryOrRefuse(r, classifier.ConnectionLost, classifier.OutcomeUnknown, true)
			n.dispatchWaiting(r.service)
			return
		}
	}
	r.relayed = r.once == nil || n.onceUpstreamAnswered(r, ev)
	if !r.relayed {
		n.closeAttempt(r, a, f)
		n.endRequest(r)
		n.dispatchWaiting(r.service)
		return
	}
	n.emit(Relay{Attempt: a.id})
	n.cancelOthers(r, a)
	if !ev.Whole {
		r.service.pool.RecordResponse(n.now, a.slot, f)
		return
	}
	n.closeAttempt(r, a, f)
	n.endRequest(r)
	n.dispatchWaiting(r.service)
}

// upstreamError reports whether a status indicates a fault of the upstream rather
// than of the request.
func upstreamError(status int) bool {
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	default:
		return false
	}
}

func (n *Node) upstreamFinished(ev UpstreamFinished) {
	r, a := n.findAttempt(ev.Attempt)
	if r == nil {
		return
	}
	f := balancer.Feedback{}
	if ev.Truncated {
		f.Failure = balancer.FailureTruncated
	}
	n.closeAttempt(r, a, f)
	n.endRequest(r)
	n.dispatchWaiting(r.service)
}

func (n *Node) attemptFailed(ev AttemptFailed) {
	r, a := n.findAttempt(ev.Attempt)
	if r == nil {
		return
	}
	n.closeAttempt(r, a, balancer.Feedback{Failure: ev.Failure})
	code, outcome := failureResult(ev)
	n.retryOrRefuse(r, code, outcome, ev.Sent)
	n.dispatchWaiting(r.service)
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

// retryOrRefuse queues a request again if a retry is safe, and refuses it
// otherwise. Only retries after attempts that may have run draw on the retry
// budget; for a managed entry, all retries after attempts that may have reached an
// upstream do.
func (n *Node) retryOrRefuse(r *request, code classifier.Code, outcome classifier.Outcome, reachedUpstream bool) {
	if !reachedUpstream {
		r.unsent++
	}
	if outcome == classifier.OutcomeNotRun {
		r.notRun++
	} else {
		r.mayHaveRun = true
	}
	if r.openAttempts() > 0 {
		return
	}
	if r.pending != nil {
		// The hedged attempt, whose probe is pending, replaces the retry.
		r.hedged = false
		r.service.retryBudget.take()
		return
	}
	if r.once != nil && !r.mayHaveRun && !n.onceNotRun(r) {
		n.endRequest(r)
		return
	}
	exempt := outcome == classifier.OutcomeNotRun && (n.Managed == nil || !reachedUpstream)
	if (!r.mayHaveRun || r.idempotent()) && n.canRetry(r) && (exempt || r.service.retryBudget.take()) {
		n.enqueue(r)
		return
	}
	n.refuseRequest(r, code)
}

func (r *request) idempotent() bool { return r.rank.Kind == patcher.Idempotent }

// canRetry reports whether the attempt limit, the deadline and the buffered body
// allow a retry; it does not check whether a retry is safe. Each attempt needs an
// upstream that has not been tried.
func (n *Node) canRetry(r *request) bool {
	limit := min(maxAttempts+min(r.notRun, maxNotRunRetries), r.service.pool.Len())
	if r.rank.Attempts > 0 {
		limit = min(limit, r.rank.Attempts+r.unsent)
	}
	return r.replayable && len(r.attempts) < limit && n.now.Before(r.deadline)
}

// outcome returns the outcome of a request that ends without a response.
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
	n.dispatchWaiting(r.service)
}

func (n *Node) cancelAttempts(r *request, f balancer.Failure) {
	n.cancelPreflight(r)
	for _, a := range r.attempts {
		if a.open {
			r.mayHaveRun = true
			n.closeAttempt(r, a, balancer.Feedback{Failure: f})
			n.emit(Cancel{Attempt: a.id})
		}
	}
}

func (n *Node) callerDisconnected(ev CallerDisconnected) {
	r, ok := n.requests[ev.ID]
	if !ok {
		return
	}
	if r.once != nil {
		n.onceCallerDisconnected(r)
		return
	}
	n.cancelAttempts(r, balancer.FailureCancelled)
	n.endRequest(r)
	n.dispatchWaiting(r.service)
}

func (n *Node) endRequest(r *request) {
	n.cancelPreflight(r)
	if r.queued {
		r.service.queue.Remove(uint64(r.id))
	}
	n.timers.stop(r.timer)
	n.timers.stop(r.hedgeTimer)
	delete(n.requests, r.id)
	if r.once != nil {
		n.onceEnd(r)
	}
}

func (n *Node) refuseNotRun(id RequestID, code classifier.Code) {
	n.emit(Refuse{ID: id, Code: code, Outcome: classifier.OutcomeNotRun})
}
