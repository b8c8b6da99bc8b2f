package driver

import "github.com/azuretrestle/azuretrestle/internal/reducer"

// fromPeers turns what the messenger receives into events.
type fromPeers struct{ d *Driver }

// Received steps the node with a peer's message.
func (p fromPeers) Received(from string, incarnation uint64, m reducer.PeerMessage) {
	p.d.post(func(s reducer.Stamp) reducer.Event {
		return reducer.PeerMessageReceived{Stamp: s, From: from, FromIncarnation: incarnation, Message: m}
	})
}

// Unreachable steps the node with the loss of messages to a peer.
func (p fromPeers) Unreachable(peer string) {
	p.d.post(func(s reducer.Stamp) reducer.Event {
		return reducer.PeerUnreachable{Stamp: s, Peer: peer}
	})
}
