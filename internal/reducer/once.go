package reducer

import (
	"slices"
	"time"

	"github.com/azuretrestle/azuretrestle/internal/deduplicator"
	"github.com/azuretrestle/azuretrestle/pkg/classifier"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

const (
	// peerPatience bounds the wait for a witness or an owner; it covers the
	// farthest data centre and a few lost messages.
	peerPatience = 500 * time.Millisecond
	// unknownPatience bounds the wait for a witness that is not heard of yet; it
	// covers two exchanges, as an entry learns the others after its start.
	unknownPatience = time.Second
	// resendInterval is the wait before a message to a witness or owner is sent again.
	resendInterval = 100 * time.Millisecond
)

// onceOnly is the node's part in once-only work.
type onceOnly struct {
	witness *deduplicator.WitnessTable
	owner   *deduplicator.OwnerTable
	// claims holds the keys that requests of this node wait for.
	claims map[string]*keyClaim
}

// keyClaim joins the requests of one key: the first leads, the others wait for its end.
type keyClaim struct {
	text    string
	key     deduplicator.Key
	record  *deduplicator.Record
	leader  *request
	waiting []*request
}

// onceStage is how far a leading request is.
type onceStage uint8

const (
	stageWaiting onceStage = iota
	stageAsking
	stageFencing
	stageGranted
)

// onceRequest is the part of a request that only once-only ranks have.
type onceRequest struct {
	claim *keyClaim
	stage onceStage
	// first is set while nothing contradicts that the key was never sent before.
	first bool
	// gone is set once the caller hung up.
	gone bool
	// owner is the claim that is being fenced, and barred the one that was.
	owner, barred deduplicator.Holder
	// silentAt ends the wait for the witness or owner.
	silentAt time.Time
	resend   *timer
	// unreachable counts the messages to the witness that could not be delivered.
	unreachable int
}

func newOnceOnly(o Options) onceOnly {
	return onceOnly{
		witness: deduplicator.NewWitnessTable(o.Name, o.Incarnation, deduplicator.Limits{}),
		owner:   deduplicator.NewOwnerTable(deduplicator.Limits{}),
		claims:  make(map[string]*keyClaim),
	}
}

// arrivalOutcome is that of a request refused before its key was looked at: an
// earlier attempt with the key may have run.
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
		n.refuse(ev.ID, classifier.KeyMissing)
		return
	}
	key, err := deduplicator.ParseKey(ev.Key)
	if err != nil {
		n.refuse(ev.ID, classifier.KeyMalformed)
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
	r.once = &onceRequest{claim: n.claim(ev.Key, key, record), first: ev.FirstAttempt && isNew}
	n.requests[r.id] = r
	r.timer = n.after(r.deadline, func() { n.deadlinePassed(r) })
	record.Hold()
	n.onceBegin(r)
}

func (n *Node) claim(text string, key deduplicator.Key, record *deduplicator.Record) *keyClaim {
	c, ok := n.once.claims[text]
	if !ok {
		c = &keyClaim{text: text, key: key, record: record}
		n.once.claims[text] = c
	}
	return c
}

// onceBegin takes up a request that arrived, or that waited for another of its key.
func (n *Node) onceBegin(r *request) {
	c := r.once.claim
	if result, ok := c.record.Result(); ok {
		n.onceAnswer(r, result)
		return
	}
	// A request that ended while others began may have removed the entry.
	n.once.claims[c.text] = c
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
	n.timers.stop(r.once.resend)
	r.once.stage = stageGranted
	if !n.now.Before(r.deadline) {
		n.refuseRequest(r, classifier.DeadlinePassed)
		return
	}
	n.enqueue(r)
}

// refuseRequest ends a request without an answer.
func (n *Node) refuseRequest(r *request, code classifier.Code) {
	if r.once != nil {
		n.onceRefuse(r, code)
		return
	}
	n.end(r)
	n.emit(Refuse{ID: r.id, Code: code, Outcome: r.outcome(), Waiting: r.service.queue.Waiting(), Due: r.due, RetryAt: r.retryAt})
}

// onceRefuse ends a request that got no answer. While its claim has the right
// to the key, no attempt with the key ran anywhere. If the caller is told so
// although the key was sent before, the key is closed, so that no earlier
// attempt can run it later.
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
		if !r.once.first && !r.once.gone {
			n.onceFinish(r, deduplicator.Result{Outcome: outcome, Code: code})
		}
	case r.once.first && code != classifier.KeyReused && code != classifier.KeyExpired:
		outcome = classifier.OutcomeNotRun
	}
	if !r.once.gone {
		n.emit(Refuse{ID: r.id, Code: code, Outcome: outcome})
	}
	n.end(r)
}

// refusalCode names what a request waited for when its deadline passed.
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

// onceAnswer gives a request the result of an earlier attempt.
func (n *Node) onceAnswer(r *request, result deduplicator.Result) {
	switch {
	case result.Outcome != classifier.OutcomeDone:
		n.emit(Refuse{ID: r.id, Code: result.Code, Outcome: result.Outcome})
	case result.Kept:
		n.emit(AnswerStored{ID: r.id, Status: result.Status, ContentType: result.ContentType, Body: result.Body})
	default:
		n.emit(Refuse{ID: r.id, Code: classifier.ResultNotKept, Outcome: classifier.OutcomeDone})
	}
	n.end(r)
}

// onceFinish stores the final result of a key and copies it to the witness.
func (n *Node) onceFinish(r *request, result deduplicator.Result) {
	c := r.once.claim
	c.record.Finish(result)
	stored, _ := c.record.Result()
	m := deduplicator.ResultCopy{Key: c.text, Owner: n.holder(c), Result: stored}
	if c.key.Witness == n.Name {
		n.once.witness.Store(n.now, m)
		return
	}
	n.sendTo(c.key.Witness, c.key.WitnessIncarnation, ResultCopy{m})
}

// onceEnd hands the key to the next request that waits for it.
func (n *Node) onceEnd(r *request) {
	c := r.once.claim
	n.timers.stop(r.once.resend)
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
		delete(n.once.claims, c.text)
	}
}

// onceAnswered records the answer of the upstream; it reports whether the
// caller is still there to get it.
func (n *Node) onceAnswered(r *request, ev UpstreamAnswered) bool {
	n.onceFinish(r, deduplicator.Result{
		Outcome: classifier.OutcomeDone, Status: ev.Status, ContentType: ev.ContentType,
		Kept: ev.Whole && ev.Body != nil, Body: ev.Body,
	})
	return !r.once.gone
}

// onceNotRun notes that the last dispatch did not run; it reports whether the
// request may be dispatched again.
func (n *Node) onceNotRun(r *request) bool {
	r.once.claim.record.NotRun()
	return !r.once.gone
}

// onceCallerGone lets a dispatched attempt go on, so that its result is
// recorded, and ends a request that was not dispatched.
func (n *Node) onceCallerGone(r *request) {
	r.once.gone = true
	if r.relayed || r.once.claim.leader == r && r.once.claim.record.Dispatched() {
		return
	}
	n.end(r)
	n.pump(r.service)
}
