package reducer

import "github.com/azuretrestle/azuretrestle/internal/deduplicator"

// send sends a message to the known incarnation of another entry. A message to an
// unknown name is dropped, as if that entry did not respond.
func (n *Node) send(to string, m PeerMessage) {
	if e, ok := n.view.Find(to); ok {
		n.sendTo(to, e.Incarnation, m)
	}
}

// sendTo sends a message to one incarnation of another entry.
func (n *Node) sendTo(to string, incarnation uint64, m PeerMessage) {
	e, ok := n.view.Find(to)
	if !ok {
		return
	}
	n.emit(Send{To: to, Incarnation: incarnation, Address: e.PeerAddress, Message: m})
}

// peerMessage handles a message from a peer. The driver has already dropped
// messages for another incarnation of this entry.
func (n *Node) peerMessage(ev PeerMessageReceived) {
	if ev.From == n.Name {
		return
	}
	if n.view.Outdated(n.now, ev.From, ev.FromIncarnation) {
		return
	}
	switch m := ev.Message.(type) {
	case Exchange:
		n.exchangeReceived(ev.From, m)
	case StoreCopy:
		n.storeCopied(ev.From, m)
	case StoreRequest:
		n.storeRequested(ev.From)
	case ConfigRequest:
		n.configRequested(ev.From, m)
	case ConfigAnswer:
		n.configAnswered(m)
	case Intent:
		n.intentReceived(ev, m.Intent)
	case Grant:
		if n.fromWitness(ev, m.Key) {
			n.witnessReplied(m.Grant)
		}
	case Denial:
		if n.fromWitness(ev, m.Key) {
			n.witnessReplied(m.Denial)
		}
	case Fence:
		n.fenceReceived(ev, m.Fence)
	case FenceAnswer:
		if m.Owner.Name == ev.From && m.Owner.Incarnation == ev.FromIncarnation {
			n.fenceAnswered(m.FenceAnswer)
		}
	case ResultCopy:
		if m.Owner.Name == ev.From && m.Owner.Incarnation == ev.FromIncarnation {
			n.once.witness.StoreResult(n.now, m.ResultCopy)
		}
	}
}

// fromWitness reports whether the sender is the witness incarnation that the key names.
func (n *Node) fromWitness(ev PeerMessageReceived, key string) bool {
	k, err := deduplicator.ParseKey(key)
	return err == nil && k.Witness == ev.From && k.WitnessIncarnation == ev.FromIncarnation
}
