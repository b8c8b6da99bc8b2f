package reducer

import (
	"github.com/azuretrestle/azuretrestle/internal/deduplicator"
	"github.com/azuretrestle/azuretrestle/internal/gossiper"
	"github.com/azuretrestle/azuretrestle/internal/versioner"
)

// PeerMessage is a message between two entries.
type PeerMessage interface{ peerMessage() }

// Exchange carries a membership digest.
type Exchange struct{ gossiper.Exchange }

// Intent asks a witness for the right to run a key.
type Intent struct{ deduplicator.Intent }

// Grant gives an owner the right to run a key.
type Grant struct{ deduplicator.Grant }

// Denial refuses the right to run a key.
type Denial struct{ deduplicator.Denial }

// Fence asks an owner for the state of a key and bars it from a later dispatch.
type Fence struct{ deduplicator.Fence }

// FenceAnswer tells the state of a key at its owner.
type FenceAnswer struct{ deduplicator.FenceAnswer }

// ResultCopy gives the witness the result of a key.
type ResultCopy struct{ deduplicator.ResultCopy }

// ConfigRequest asks a peer for its configuration.
type ConfigRequest struct{ versioner.Request }

// ConfigAnswer carries a peer's configuration.
type ConfigAnswer struct{ versioner.Answer }

func (Exchange) peerMessage()      {}
func (Intent) peerMessage()        {}
func (Grant) peerMessage()         {}
func (Denial) peerMessage()        {}
func (Fence) peerMessage()         {}
func (FenceAnswer) peerMessage()   {}
func (ResultCopy) peerMessage()    {}
func (ConfigRequest) peerMessage() {}
func (ConfigAnswer) peerMessage()  {}
