package driver

import "github.com/azuretrestle/azuretrestle/internal/reducer"

// peerEvents turns messages and failures of the messenger into events.
type peerEvents struct{ d *Driver }

// Received steps the node with a message from a peer.
func (p peerEvents) Received(from string, incarnation uint64, m reducer.PeerMessage) {
	p.d.post(func(s reducer.Stamp) reducer.Event {
		return reducer.PeerMessageReceived{Stamp: s, From: from, FromIncarnation: incarnation, Message: m}
	})
}

// Unreachable reports to the node that messages to a peer may have been lost.
func (p peerEvents) Unreachable(peer string) {
	p.d.post(func(s reducer.Stamp) reducer.Event {
		return reducer.PeerUnreachable{Stamp: s, Peer: peer}
	})
}
