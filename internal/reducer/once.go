package reducer

import (
	"slices"
	"time"

	"github.com/azuretrestle/azuretrestle/internal/deduplicator"
	"github.com/azuretrestle/azuretrestle/pkg/classifier"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

const (
	// peerTimeout is the timeout of messages to a witness or owner. It covers the
	// round trip to the farthest data centre and a few lost messages.
	peerTimeout = 500 * time.Millisecond
	// unknownPeerTimeout is the timeout for a witness that is not known yet. It
	// covers two exchanges, in which an entry learns of the others after its start.
	unknownPeerTimeout = time.Second
	// resendInterval is the delay before a message to a witness or owner is sent again.
	resendInterval = 100 * time.Millisecond
)

// onceOnly holds the node's state for once-only work.
type onceOnly struct {
	witness *deduplicator.WitnessTable
	owner   *deduplicator.OwnerTable
	// claims holds, by key, the claims with pending requests at this node.
	claims map[string]*keyClaim
}

// keyClaim groups the requests for one key. The leader proceeds; the others wait until it ends.
type keyClaim struct {
	keyText string
	key     deduplicator.Key
	record  *deduplicator.Record
	leader  *request
	waiting []*request
}

// onceStage is the stage of a once-only request in the protocol.
type onceStage uint8

const (
	// stageWaiting is the stage of a request that is not the leader.
	stageWaiting onceStage = iota
	// stageAsking waits for the witness to grant the key.
	stageAsking
	// stageFencing waits for the owner of the key to report its state.
	stageFencing
	// stageGranted lasts from the grant until the request ends.
	stageGranted
)

// onceRequest is the additional state of a once-only request.
type onceRequest struct {
	claim *keyClaim
	stage onceStage
	// firstAttempt is set while nothing contradicts the caller's guarantee that the
	// key was never sent before.
	firstAttempt bool
	// callerDisconnected is set once the caller has closed its connection.
	callerDisconnected bool
	// owner is the claim that is being fenced, barred the last one that was barred.
	owner, barred deduplicator.Holder
	// replyDeadline ends the wait for the witness or owner.
	replyDeadline time.Time
	resendTimer   *timer
	// undelivered counts the messages to the witness that could not be delivered.
	undelivered int
}

func newOnceOnly(o Options) onceOnly {
	return onceOnly{
		witness: deduplicator.NewWitnessTable(o.Name, o.Incarnation, deduplicator.Limits{}),
		owner:   deduplicator.NewOwnerTable(deduplicator.Limits{}),
		claims:  make(map[string]*keyClaim),
	}
}

// arrivalOutcome returns the outcome of a request that is refused before its key is
// looked up. An earlier attempt with the key may have run.
func (n *Node) arrivalOutcome(ev RequestArrived) classifier.Outcome {
	rank, code := n.Rank(ev.Service, ev.Rank)
	idempotent := code == classifier.OK && rank.Kind == patcher.Idempotent
	if idempotent || ev.Key == "" || ev.FirstAttempt {
		return classifier.OutcomeNotRun
	}
	return classifier.OutcomeUnknown
}

func (n *Node) refuseArrival(ev RequestArrived, code classifier.Code) {
	n.emit(Refuse{ID: ev.ID, Code: code, Outcome: n.arrivalOutcome(ev)})
}

func (n *Node) onceArrived(r *request, ev RequestArrived) {
	if ev.Key == "" {
		n.refuseNotRun(ev.ID, classifier.KeyMissing)
		return
	}
	key, err := deduplicator.ParseKey(ev.Key)
	if err != nil {
		n.refuseNotRun(ev.ID, classifier.KeyMalformed)
		return
	}
	record, isNew, code := n.once.owner.Open(n.now, ev.Key, ev.BodyDigest)
	if code == classifier.KeyReused {
		n.emit(Refuse{ID: ev.ID, Code: code, Outcome: classifier.OutcomeUnknown})
		return
	}
	if code != classifier.OK {
		n.refuseArrival(ev, code)
		return
	}
	r.once = &onceRequest{claim: n.claim(ev.Key, key, record), firstAttempt: ev.FirstAttempt && isNew}
	n.requests[r.id] = r
	r.timer = n.runAt(r.deadline, func() { n.deadlinePassed(r) })
	record.Hold()
	n.onceBegin(r)
}

func (n *Node) claim(text string, key deduplicator.Key, record *deduplicator.Record) *keyClaim {
	c, ok := n.once.claims[text]
	if !ok {
		c = &keyClaim{keyText: text, key: key, record: record}
		n.once.claims[text] = c
	}
	return c
}

// onceBegin starts processing a request that has arrived, or that waited for
// another one with its key.
func (n *Node) onceBegin(r *request) {
	c := r.once.claim
	if result, ok := c.record.Result(); ok {
		n.onceAnswerStored(r, result)
		return
	}
	// The claim may have been deleted by a request that ended while others began.
	n.once.claims[c.keyText] = c
	if c.leader != nil {
		c.waiting = append(c.waiting, r)
		return
	}
	c.leader = r
	if c.record.Granted() {
		n.onceGranted(r)
		return
	}
	n.askWitness(r)
}

func (n *Node) onceGranted(r *request) {
	n.timers.stop(r.once.resendTimer)
	r.once.stage = stageGranted
	if !n.now.Before(r.deadline) {
		n.refuseRequest(r, classifier.DeadlinePassed)
		return
	}
	n.enqueue(r)
}

// refuseRequest ends a request without a response from an upstream.
func (n *Node) refuseRequest(r *request, code classifier.Code) {
	if r.once != nil {
		n.onceRefuse(r, code)
		return
	}
	n.endRequest(r)
	n.emit(Refuse{ID: r.id, Code: code, Outcome: r.outcome(), Waiting: r.service.queue.Waiting(), Due: r.due, RetryAt: r.retryAt})
}

// refuseWaiting takes a request off its queue, if it is there, and refuses it.
func (n *Node) refuseWaiting(r *request, code classifier.Code) {
	r.service.queue.Remove(uint64(r.id))
	r.queued = false
	n.refuseRequest(r, code)
}

// onceRefuse ends a request that got no response. If its claim holds the grant for
// the key and none of its own attempts may have run, no attempt with the key has run
// on any entry. If the key may have been sent before, that outcome is stored as its
// final result before the caller receives it, so that no earlier attempt can run later.
func (n *Node) onceRefuse(r *request, code classifier.Code) {
	outcome := classifier.OutcomeUnknown
	record := r.once.claim.record
	code = r.once.refusalCode(code)
	switch {
	case r.once.stage == stageWaiting:
	case r.mayHaveRun:
		n.onceFinish(r, deduplicator.Result{Outcome: outcome, Code: code})
	case record.Granted():
		outcome = classifier.OutcomeNotRun
		if !r.once.firstAttempt && !r.once.callerDisconnected {
			n.onceFinish(r, deduplicator.Result{Outcome: outcome, Code: code})
		}
	case r.once.firstAttempt && code != classifier.KeyReused && code != classifier.KeyExpired:
		outcome = classifier.OutcomeNotRun
	}
	if !r.once.callerDisconnected {
		n.emit(Refuse{ID: r.id, Code: code, Outcome: outcome})
	}
	n.endRequest(r)
}

// refusalCode returns the code that names what a request was waiting for when its deadline passed.
func (o *onceRequest) refusalCode(code classifier.Code) classifier.Code {
	switch {
	case o.stage == stageWaiting, o.stage == stageFencing && code == classifier.DeadlinePassed:
		return classifier.KeyInProgress
	case o.stage == stageAsking && code == classifier.DeadlinePassed:
		return classifier.WitnessSilent
	default:
		return code
	}
}

// onceAnswerStored ends a request with the result of an earlier attempt.
func (n *Node) onceAnswerStored(r *request, result deduplicator.Result) {
	switch {
	case result.Outcome != classifier.OutcomeDone:
		n.emit(Refuse{ID: r.id, Code: result.Code, Outcome: result.Outcome})
	case result.Kept:
		n.emit(AnswerStored{ID: r.id, Status: result.Status, ContentType: result.ContentType, Body: result.Body})
	default:
		n.emit(Refuse{ID: r.id, Code: classifier.ResultNotKept, Outcome: classifier.OutcomeDone})
	}
	n.endRequest(r)
}

// onceFinish stores the final result of a key and copies it to the witness.
func (n *Node) onceFinish(r *request, result deduplicator.Result) {
	c := r.once.claim
	c.record.Finish(result)
	stored, _ := c.record.Result()
	m := deduplicator.ResultCopy{Key: c.keyText, Owner: n.holder(c), Result: stored}
	if c.key.Witness == n.Name {
		n.once.witness.StoreResult(n.now, m)
		return
	}
	n.sendTo(c.key.Witness, c.key.WitnessIncarnation, ResultCopy{m})
}

// onceEnd removes a request from its claim and passes the key to the next waiting request.
func (n *Node) onceEnd(r *request) {
	c := r.once.claim
	n.timers.stop(r.once.resendTimer)
	c.record.Release()
	if c.leader != r {
		c.waiting = slices.DeleteFunc(c.waiting, func(w *request) bool { return w == r })
	} else {
		c.leader = nil
	}
	waiting := c.waiting
	if c.leader == nil {
		c.waiting = nil
		for _, w := range waiting {
			n.onceBegin(w)
		}
	}
	if c.leader == nil && len(c.waiting) == 0 {
		delete(n.once.claims, c.keyText)
	}
}

// onceUpstreamAnswered stores the upstream's response; it reports whether the
// caller is still connected.
func (n *Node) onceUpstreamAnswered(r *request, ev UpstreamAnswered) bool {
	n.onceFinish(r, deduplicator.Result{
		Outcome: classifier.OutcomeDone, Status: ev.Status, ContentType: ev.ContentType,
		Kept: ev.Whole && ev.Body != nil, Body: ev.Body,
	})
	return !r.once.callerDisconnected
}

// onceNotRun records that the last dispatch was not run; it reports whether the
// request may be dispatched again.
func (n *Node) onceNotRun(r *request) bool {
	r.once.claim.record.NotRun()
	return !r.once.callerDisconnected
}

// onceCallerDisconnected handles a caller that has disconnected. An attempt in flight
// continues, so that its result is stored; a request that was not dispatched ends.
func (n *Node) onceCallerDisconnected(r *request) {
	r.once.callerDisconnected = true
	if r.relayed || r.once.claim.leader == r && r.once.claim.record.Dispatched() {
		return
	}
	n.endRequest(r)
	n.dispatchWaiting(r.service)
}
