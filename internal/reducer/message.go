package reducer

import (
	"time"

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

// StoreCopy passes on what an entry read from the store, so that the others need
// not read it themselves.
type StoreCopy struct {
	Topic Topic
	// Whole is set if the copy holds all that the sender knows of the topic.
	Whole bool `cbor:",omitempty"`
	// From and Next bound the records; those that change nothing are left out.
	From, Next    uint64
	Documents     []DocumentFact     `cbor:",omitempty"`
	Registrations []RegistrationFact `cbor:",omitempty"`
	// Removed names registrations that ended. Each came after the number of
	// Registrations given with it.
	Removed []RemovedCopy `cbor:",omitempty"`
	// Skipped is set if the records are too large to be copied to each entry.
	Skipped bool `cbor:",omitempty"`
	// LapseLeft is how much longer registrations may be missing by an outage.
	LapseLeft time.Duration `cbor:",omitempty"`
}

// StoreRequest asks an entry for all that it read from the store.
type StoreRequest struct{}

// RemovedCopy is a registration that ended.
type RemovedCopy struct {
	Name  string
	After int
}

func (StoreCopy) peerMessage()     {}
func (StoreRequest) peerMessage()  {}
func (Exchange) peerMessage()      {}
func (Intent) peerMessage()        {}
func (Grant) peerMessage()         {}
func (Denial) peerMessage()        {}
func (Fence) peerMessage()         {}
func (FenceAnswer) peerMessage()   {}
func (ResultCopy) peerMessage()    {}
func (ConfigRequest) peerMessage() {}
func (ConfigAnswer) peerMessage()  {}
