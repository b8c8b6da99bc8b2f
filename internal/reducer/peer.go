package reducer

// send gives a message to another entry; a name that is not known is dropped
// and counts as an entry that does not answer.
func (n *Node) send(to string, m PeerMessage) {
	e, ok := n.view.Find(to)
	if !ok {
		return
	}
	n.emit(Send{To: to, Incarnation: e.Incarnation, Address: e.PeerAddress, Message: m})
}

// peerMessage handles a message; the driver has already dropped those that
// were meant for another incarnation of this entry.
func (n *Node) peerMessage(ev PeerMessageReceived) {
	if ev.From == n.Name {
		return
	}
	if e, ok := n.view.Find(ev.From); ok && e.Incarnation > ev.FromIncarnation {
		return
	}
	switch m := ev.Message.(type) {
	case Exchange:
		n.exchange(ev.From, m)
	case ConfigRequest:
		n.configRequested(ev.From, m)
	case ConfigAnswer:
		n.configAnswered(m)
	}
}
