package reducer

import (
	"time"

	"github.com/azuretrestle/azuretrestle/internal/deduplicator"
	"github.com/azuretrestle/azuretrestle/internal/gossiper"
	"github.com/azuretrestle/azuretrestle/pkg/classifier"
)

// witnessAge is how long ago an entry may have been heard of to be named as a witness.
const witnessAge = 2 * time.Second

// holder returns the current claim of this node on a key.
func (n *Node) holder(c *keyClaim) deduplicator.Holder {
	return deduplicator.Holder{Name: n.Name, Incarnation: n.Incarnation, Sequence: c.record.Sequence()}
}

func (n *Node) askWitness(r *request) {
	r.once.stage = stageAsking
	r.once.silentAt = n.now.Add(peerPatience)
	if _, ok := n.view.Find(r.once.claim.key.Witness); !ok {
		r.once.silentAt = n.now.Add(unknownPatience)
	}
	n.sendIntent(r)
}

// maxUnreachable is the number of messages in a row that may fail to reach a
// witness before a first attempt ends; one may fall to a connection that broke.
const maxUnreachable = 2

// peerUnreachable ends first attempts whose witness can't be reached, so that
// their callers take another key without the wait for a silent witness. Other
// attempts wait on: they would end as unknown.
func (n *Node) peerUnreachable(ev PeerUnreachable) {
	for _, key := range sortedKeys(n.once.claims) {
		r := n.leading(key, stageAsking)
		if r == nil || !r.once.first || r.once.claim.key.Witness != ev.Peer {
			continue
		}
		r.once.unreachable++
		if r.once.unreachable >= maxUnreachable {
			n.refuseRequest(r, classifier.WitnessSilent)
		}
	}
}

func (n *Node) sendIntent(r *request) {
	c := r.once.claim
	m := deduplicator.Intent{Key: c.text, BodyDigest: c.record.Digest(), Owner: n.holder(c), Barred: r.once.barred}
	if c.key.Witness == n.Name {
		n.witnessReplied(n.once.witness.Decide(n.now, m))
		return
	}
	e, ok := n.view.Find(c.key.Witness)
	if !ok {
		// After a start the witness may not have been heard of yet.
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

// resendLater repeats a message until its wait is over, then refuses the request.
func (n *Node) resendLater(r *request, silent classifier.Code, send func(*request)) {
	n.timers.stop(r.once.resend)
	r.once.resend = n.after(n.now.Add(resendInterval), func() {
		if !n.now.Before(r.once.silentAt) {
			n.refuseRequest(r, silent)
			return
		}
		send(r)
	})
}

// leading returns the request that leads a key if it is in the given stage.
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
	case deduplicator.Full:
		n.refuseRequest(r, classifier.QueueFull)
	case deduplicator.Lost:
		n.refuseRequest(r, classifier.WitnessLost)
	case deduplicator.Owned:
		r.once.first = false
		if m.Result != nil {
			n.onceAnswer(r, *m.Result)
			return
		}
		r.once.stage = stageFencing
		r.once.owner = m.Owner
		r.once.silentAt = n.now.Add(peerPatience)
		n.sendFence(r)
	}
}

func (n *Node) sendFence(r *request) {
	o := r.once.owner
	m := deduplicator.Fence{Key: r.once.claim.text, Owner: o}
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

// fenceReceived answers for a claim of this node. Requests that led or waited
// under a claim that is barred now end as unknown, since the sender may run the key.
func (n *Node) fenceReceived(ev PeerMessageReceived, m deduplicator.Fence) {
	if m.Owner.Name != n.Name || m.Owner.Incarnation != n.Incarnation {
		return
	}
	c, led := n.once.claims[m.Key]
	led = led && c.record.Sequence() == m.Owner.Sequence
	answer := n.once.owner.Fence(m)
	n.sendTo(ev.From, ev.FromIncarnation, FenceAnswer{answer})
	if led && answer.State == deduplicator.Barred {
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
		r.once.first = false
		n.refuseRequest(r, classifier.KeyInProgress)
	}
}

func (n *Node) fenceAnswered(m deduplicator.FenceAnswer) {
	r := n.leading(m.Key, stageFencing)
	if r == nil || r.once.owner != m.Owner {
		return
	}
	switch m.State {
	case deduplicator.Forgotten:
		n.refuseRequest(r, classifier.KeyExpired)
	case deduplicator.InProgress:
		r.once.silentAt = n.now.Add(peerPatience)
	case deduplicator.Finished:
		if m.Result != nil {
			n.onceAnswer(r, *m.Result)
		}
	case deduplicator.Barred:
		r.once.barred = m.Owner
		n.askWitness(r)
	}
}

func (n *Node) keysAsked(ev KeysAsked) {
	a := AnswerKeys{ID: ev.ID}
	witnesses := n.witnesses()
	for _, id := range ev.IDs {
		w := witnesses[n.random.IntN(len(witnesses))]
		k := deduplicator.Key{ID: id, Witness: w.Name, WitnessIncarnation: w.Incarnation}
		a.Keys = append(a.Keys, k.String())
	}
	n.emit(a)
}

// witnesses returns the best entries to name as a witness: alive in another
// data centre, else alive, else known, and this entry only if no other is known.
func (n *Node) witnesses() []gossiper.Entry {
	var elsewhere, alive, known []gossiper.Entry
	for _, e := range n.view.Entries() {
		if e.Name == n.Name || e.State == gossiper.Stopped {
			continue
		}
		known = append(known, e)
		if e.State != gossiper.Alive || n.now.Sub(e.HeardAt) > witnessAge {
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
