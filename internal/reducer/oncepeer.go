package reducer

import (
	"time"

	"github.com/azuretrestle/azuretrestle/internal/deduplicator"
	"github.com/azuretrestle/azuretrestle/internal/gossiper"
	"github.com/azuretrestle/azuretrestle/pkg/classifier"
)

// maxWitnessAge is the maximum time since an entry was last heard for it to be named as a witness.
const maxWitnessAge = 2 * time.Second

// holder returns the current claim of this node on a key.
func (n *Node) holder(c *keyClaim) deduplicator.Holder {
	return deduplicator.Holder{Name: n.Name, Incarnation: n.Incarnation, Sequence: c.record.Sequence()}
}

func (n *Node) askWitness(r *request) {
	r.once.stage = stageAsking
	r.once.replyDeadline = n.now.Add(peerTimeout)
	if _, ok := n.view.Find(r.once.claim.key.Witness); !ok {
		r.once.replyDeadline = n.now.Add(unknownPeerTimeout)
	}
	n.sendIntent(r)
}

// maxUndelivered is the number of consecutive undelivered messages to a witness
// after which a first attempt ends. It is above 1 because one message may be lost
// with a broken connection.
const maxUndelivered = 2

// peerUnreachable ends first attempts whose witness can't be reached, so that their
// callers can use another key without waiting for the timeout. Other attempts keep
// waiting, since they would end with the outcome unknown.
func (n *Node) peerUnreachable(ev PeerUnreachable) {
	for _, key := range sortedKeys(n.once.claims) {
		r := n.leading(key, stageAsking)
		if r == nil || !r.once.firstAttempt || r.once.claim.key.Witness != ev.Peer {
			continue
		}
		r.once.undelivered++
		if r.once.undelivered >= maxUndelivered {
			n.refuseRequest(r, classifier.WitnessSilent)
		}
	}
}

func (n *Node) sendIntent(r *request) {
	c := r.once.claim
	m := deduplicator.Intent{Key: c.keyText, BodyDigest: c.record.Digest(), Owner: n.holder(c), Barred: r.once.barred}
	if c.key.Witness == n.Name {
		n.witnessReplied(n.once.witness.Decide(n.now, m))
		return
	}
	e, ok := n.view.Find(c.key.Witness)
	if !ok {
		// Shortly after the start the witness may not be known yet.
		n.resendLater(r, classifier.WitnessSilent, n.sendIntent)
		return
	}
	if e.Incarnation > c.key.WitnessIncarnation {
		n.refuseRequest(r, classifier.WitnessLost)
		return
	}
	n.sendTo(c.key.Witness, c.key.WitnessIncarnation, Intent{m})
	n.resendLater(r, classifier.WitnessSilent, n.sendIntent)
}

// resendLater sends a message again until the reply deadline, then refuses the
// request with the given code.
func (n *Node) resendLater(r *request, timeoutCode classifier.Code, send func(*request)) {
	n.timers.stop(r.once.resendTimer)
	r.once.resendTimer = n.runAt(n.now.Add(resendInterval), func() {
		if !n.now.Before(r.once.replyDeadline) {
			n.refuseRequest(r, timeoutCode)
			return
		}
		send(r)
	})
}

// leading returns the leading request of a key if it is in the given stage.
func (n *Node) leading(key string, stage onceStage) *request {
	c, ok := n.once.claims[key]
	if !ok || c.leader == nil || c.leader.once.stage != stage {
		return nil
	}
	return c.leader
}

func (n *Node) intentReceived(ev PeerMessageReceived, m deduplicator.Intent) {
	if m.Owner.Name != ev.From || m.Owner.Incarnation != ev.FromIncarnation {
		return
	}
	switch reply := n.once.witness.Decide(n.now, m).(type) {
	case deduplicator.Grant:
		n.sendTo(ev.From, ev.FromIncarnation, Grant{reply})
	case deduplicator.Denial:
		n.sendTo(ev.From, ev.FromIncarnation, Denial{reply})
	}
}

func (n *Node) witnessReplied(reply deduplicator.Reply) {
	switch m := reply.(type) {
	case deduplicator.Grant:
		r := n.leading(m.Key, stageAsking)
		if r != nil && r.once.claim.record.Grant(m.Sequence) {
			n.onceGranted(r)
		}
	case deduplicator.Denial:
		r := n.leading(m.Key, stageAsking)
		if r != nil && r.once.claim.record.Sequence() == m.Sequence {
			n.denied(r, m)
		}
	}
}

func (n *Node) denied(r *request, m deduplicator.Denial) {
	switch m.Reason {
	case deduplicator.Reused:
		n.refuseRequest(r, classifier.KeyReused)
	case deduplicator.Expired:
		n.refuseRequest(r, classifier.KeyExpired)
	case deduplicator.WitnessFull:
		n.refuseRequest(r, classifier.QueueFull)
	case deduplicator.WitnessLost:
		n.refuseRequest(r, classifier.WitnessLost)
	case deduplicator.Owned:
		r.once.firstAttempt = false
		if m.Result != nil {
			n.onceAnswerStored(r, *m.Result)
			return
		}
		r.once.stage = stageFencing
		r.once.owner = m.Owner
		r.once.replyDeadline = n.now.Add(peerTimeout)
		n.sendFence(r)
	}
}

func (n *Node) sendFence(r *request) {
	o := r.once.owner
	m := deduplicator.Fence{Key: r.once.claim.keyText, Owner: o}
	if o.Name == n.Name && o.Incarnation == n.Incarnation {
		n.fenceAnswered(n.once.owner.Fence(m))
		return
	}
	e, ok := n.view.Find(o.Name)
	if !ok || e.Incarnation > o.Incarnation {
		n.refuseRequest(r, classifier.OwnerSilent)
		return
	}
	n.sendTo(o.Name, o.Incarnation, Fence{m})
	n.resendLater(r, classifier.OwnerSilent, n.sendFence)
}

// fenceReceived replies with the state of a claim of this node. If the claim is now
// barred, its leading and waiting requests end with the outcome unknown, since the
// sender may run the request with that key.
func (n *Node) fenceReceived(ev PeerMessageReceived, m deduplicator.Fence) {
	if m.Owner.Name != n.Name || m.Owner.Incarnation != n.Incarnation {
		return
	}
	c, current := n.once.claims[m.Key]
	current = current && c.record.Sequence() == m.Owner.Sequence
	answer := n.once.owner.Fence(m)
	n.sendTo(ev.From, ev.FromIncarnation, FenceAnswer{answer})
	if current && answer.State == deduplicator.Barred {
		n.endBarred(c)
	}
}

func (n *Node) endBarred(c *keyClaim) {
	all := c.waiting
	c.waiting = nil
	if c.leader != nil {
		all = append(all, c.leader)
	}
	for _, r := range all {
		r.once.firstAttempt = false
		n.refuseRequest(r, classifier.KeyInProgress)
	}
}

func (n *Node) fenceAnswered(m deduplicator.FenceAnswer) {
	r := n.leading(m.Key, stageFencing)
	if r == nil || r.once.owner != m.Owner {
		return
	}
	switch m.State {
	case deduplicator.NoRecord:
		n.refuseRequest(r, classifier.KeyExpired)
	case deduplicator.InProgress:
		r.once.replyDeadline = n.now.Add(peerTimeout)
	case deduplicator.Finished:
		if m.Result != nil {
			n.onceAnswerStored(r, *m.Result)
		}
	case deduplicator.Barred:
		r.once.barred = m.Owner
		n.askWitness(r)
	}
}

func (n *Node) keysRequested(ev KeysRequested) {
	a := AnswerKeys{ID: ev.ID}
	witnesses := n.witnessCandidates()
	for _, id := range ev.IDs {
		w := witnesses[n.random.IntN(len(witnesses))]
		k := deduplicator.Key{ID: id, Witness: w.Name, WitnessIncarnation: w.Incarnation}
		a.Keys = append(a.Keys, k.String())
	}
	n.emit(a)
}

// witnessCandidates returns the entries to choose a witness from: those alive in
// another data centre, else those alive, else those known. It returns this entry
// only if no other is known.
func (n *Node) witnessCandidates() []gossiper.Entry {
	var elsewhere, alive, known []gossiper.Entry
	for _, e := range n.view.Entries() {
		if e.Name == n.Name || e.State == gossiper.Stopped {
			continue
		}
		known = append(known, e)
		if e.State != gossiper.Alive || n.now.Sub(e.HeardAt) > maxWitnessAge {
			continue
		}
		alive = append(alive, e)
		if e.DataCentre != n.DataCentre {
			elsewhere = append(elsewhere, e)
		}
	}
	for _, list := range [][]gossiper.Entry{elsewhere, alive, known} {
		if len(list) > 0 {
			return list
		}
	}
	return []gossiper.Entry{n.view.Self()}
}
