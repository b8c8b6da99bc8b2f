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
func (n *Node) peerMessage(_ PeerMessageReceived) {
}
