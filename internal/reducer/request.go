package reducer

import (
	"net/http"
	"time"

	"github.com/azuretrestle/azuretrestle/internal/admitter"
	"github.com/azuretrestle/azuretrestle/internal/balancer"
	"github.com/azuretrestle/azuretrestle/pkg/classifier"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

// maxAttempts bounds the dispatches of one request.
const maxAttempts = 3

// defaultPatience is the time to the deadline if neither the rank nor the caller names one.
const defaultPatience = 30 * time.Second

// maxNotRun bounds the attempts beyond maxAttempts for those that did not run.
// They cost an upstream next to nothing, and the request was accepted.
const maxNotRun = 3

// request is a caller's request from its arrival to its end.
type request struct {
	id       RequestID
	service  *service
	rank     patcher.Rank
	deadline time.Time
	// due is when an answer no longer is in time, zero if that is not known.
	due        time.Time
	replayable bool
	// size is the length of the held body in bytes.
	size   int64
	queued bool
	// relayed is set once an answer was given to the caller.
	relayed bool
	// mayHaveRun is set once an attempt ended without certainty that it did not run.
	mayHaveRun bool
	// notRun counts the attempts that certainly did not run.
	notRun int
	// unsent counts those of them that never reached an upstream.
	unsent   int
	attempts []*attempt
	timer    *timer
	// once is nil unless the rank is once-only.
	once *onceRequest
	// watch is the timer of a hedged attempt.
	watch *timer
	// retryAt is when the caller may come back if the request is refused; zero if nothing is known.
	retryAt time.Time
	// fresh is set if further attempts need new connections.
	fresh bool
	screening
}

// attempt is one dispatch of a request.
type attempt struct {
	id       AttemptID
	upstream string
	slot     *balancer.Attempt
	open     bool
	// silence is the timer of the check for a silent connection.
	silence *timer
}

func (n *Node) requestArrived(ev RequestArrived) {
	if code := n.refusal(); code != classifier.OK {
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
	r := &request{id: ev.ID, service: s, rank: *rank, replayable: ev.Replayable}
	patience := rank.Patience.Duration
	if patience <= 0 {
		patience = defaultPatience
	}
	r.deadline = n.now.Add(patience)
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
		r.due = s.began(n.now, ev).Add(rank.Target.Duration)
	}
	n.requests[ev.ID] = r
	s.earn()
	n.enqueue(r)
}

// enqueue lets a request wait for a slot; one that was accepted before is not refused for load.
func (n *Node) enqueue(r *request) {
	code := classifier.OK
	if len(r.attempts) == 0 {
		code = r.service.queue.Offer(n.now, r.item())
	} else if !r.service.queue.Return(n.now, r.item()) {
		code = classifier.UnknownRank
	}
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

func (r *request) item() admitter.Item {
	return admitter.Item{
		ID: uint64(r.id), Rank: r.rank.Name, Deadline: r.deadline, Due: r.due,
		Size: r.size, Expected: r.service.pool.Usual(r.rank.Name),
	}
}

// maxAside bounds the repeats that are passed over because they can't go where they have been.
const maxAside = 4

// pump dispatches waiting requests while upstreams have room.
func (n *Node) pump(s *service) {
	var aside []admitter.Item
	for _, it := range s.queue.Age(n.now) {
		r := n.requests[RequestID(it.ID)]
		r.queued = false
		n.refuseRequest(r, classifier.DeadlineUnreachable)
	}
	for len(aside) < maxAside {
		it, ok := s.queue.Next()
		if !ok {
			break
		}
		r := n.requests[RequestID(it.ID)]
		if !n.now.Before(r.deadline) {
			s.queue.Remove(it.ID)
			r.queued = false
			n.refuseRequest(r, classifier.DeadlinePassed)
			continue
		}
		choice, ok := s.pool.Pick(n.now, n.need(r))
		if ok {
			s.queue.Take(n.now, it.ID)
			r.queued = false
			if !n.screen(r, choice) {
				break
			}
			continue
		}
		if len(r.attempts) == 0 {
			break
		}
		s.queue.Remove(it.ID)
		aside = append(aside, it)
	}
	for _, it := range aside {
		s.queue.Return(n.now, it)
	}
	n.recheck(s)
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
		slot:     c.Attempt,
		open:     true,
	}
	r.attempts = append(r.attempts, a)
	r.service.queue.Started(r.rank.Name)
	n.emit(Dispatch{
		Attempt: a.id, Service: r.service.config.Name, Rank: r.rank.Name,
		Upstream: c.Name, Address: c.Address, Connections: c.Connections,
		Deadline: r.deadline, Fresh: c.Fresh, StoreAnswer: r.once != nil, Known: c.Attempt.Condition,
	})
	n.watch(r)
	n.watchSilence(r, a)
}

func (n *Node) need(r *request) balancer.Need {
	need := balancer.Need{Rank: r.rank.Name, Urgent: r.service.urgent(r.rank), Idempotent: r.idempotent(), Fresh: r.fresh}
	for _, a := range r.attempts {
		need.Tried = append(need.Tried, a.upstream)
	}
	need.Tried = append(need.Tried, r.unsuited...)
	need.AnyPace = n.late(r)
	return need
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
	n.timers.stop(a.silence)
	r.service.queue.Ended(r.rank.Name)
	r.service.pool.Finish(n.now, a.slot, f)
	n.closeIdle(r.service, a, false)
	n.auditUpstreams(r.service)
}

func (n *Node) upstreamAnswered(ev UpstreamAnswered) {
	r, a := n.find(ev.Attempt)
	if r == nil {
		return
	}
	if ev.NotRun {
		n.close(r, a, balancer.Feedback{NotRun: true, Draining: ev.Draining, Report: ev.Report})
		n.repeat(r, classifier.UpstreamRefused, classifier.OutcomeNotRun, true)
		n.pump(r.service)
		return
	}
	f := balancer.Feedback{Draining: ev.Draining, Report: ev.Report}
	if upstreamError(ev.Status) {
		f.Failure = balancer.FailureStatus
		if r.open() > 1 || r.idempotent() && n.canRepeat(r) && r.service.repeats.saved >= 1 {
			n.close(r, a, f)
			n.repeat(r, classifier.ConnectionLost, classifier.OutcomeUnknown, true)
			n.pump(r.service)
			return
		}
	}
	r.relayed = r.once == nil || n.onceAnswered(r, ev)
	if !r.relayed {
		n.close(r, a, f)
		n.end(r)
		n.pump(r.service)
		return
	}
	n.emit(Relay{Attempt: a.id})
	n.cancelOthers(r, a)
	if !ev.Whole {
		r.service.pool.Answered(n.now, a.slot, f)
		return
	}
	n.close(r, a, f)
	n.end(r)
	n.pump(r.service)
}

// upstreamError reports whether a status tells of a fault of the upstream rather than of the request.
func upstreamError(status int) bool {
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	default:
		return false
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
	n.repeat(r, code, outcome, ev.Sent)
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

// repeat queues a request again if that is safe, and refuses it otherwise. Only
// attempts that may have run count against the allowance; for a managed entry
// all do that may have reached an upstream.
func (n *Node) repeat(r *request, code classifier.Code, outcome classifier.Outcome, arrived bool) {
	if !arrived {
		r.unsent++
	}
	if outcome == classifier.OutcomeNotRun {
		r.notRun++
	} else {
		r.mayHaveRun = true
	}
	if r.open() > 0 {
		return
	}
	if r.screened != nil {
		// The second attempt that is under way takes the place of the repeat.
		r.hedged = false
		r.service.repeats.spend()
		return
	}
	if r.once != nil && !r.mayHaveRun && !n.onceNotRun(r) {
		n.end(r)
		return
	}
	free := outcome == classifier.OutcomeNotRun && (n.Managed == nil || !arrived)
	if (!r.mayHaveRun || r.idempotent()) && n.canRepeat(r) && (free || r.service.repeats.spend()) {
		n.enqueue(r)
		return
	}
	n.refuseRequest(r, code)
}

func (r *request) idempotent() bool { return r.rank.Kind == patcher.Idempotent }

// canRepeat reports whether a request can be sent again, apart from whether that is safe.
// Each attempt needs an upstream that had none before.
func (n *Node) canRepeat(r *request) bool {
	limit := min(maxAttempts+min(r.notRun, maxNotRun), r.service.pool.Len())
	if r.rank.Attempts > 0 {
		limit = min(limit, r.rank.Attempts+r.unsent)
	}
	return r.replayable && len(r.attempts) < limit && n.now.Before(r.deadline)
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
	n.endScreening(r)
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
	n.endScreening(r)
	if r.queued {
		r.service.queue.Remove(uint64(r.id))
	}
	n.timers.stop(r.timer)
	n.timers.stop(r.watch)
	delete(n.requests, r.id)
	if r.once != nil {
		n.onceEnd(r)
	}
}

func (n *Node) refuse(id RequestID, code classifier.Code) {
	n.emit(Refuse{ID: id, Code: code, Outcome: classifier.OutcomeNotRun})
}
