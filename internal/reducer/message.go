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

// Intent asks a witness for the grant to run the request with a key.
type Intent struct{ deduplicator.Intent }

// Grant permits an owner to run the request with a key.
type Grant struct{ deduplicator.Grant }

// Denial refuses an owner the grant for a key.
type Denial struct{ deduplicator.Denial }

// Fence asks an owner for the state of a key and bars it from dispatching the
// request later.
type Fence struct{ deduplicator.Fence }

// FenceAnswer returns the state of a key at its owner.
type FenceAnswer struct{ deduplicator.FenceAnswer }

// ResultCopy sends the witness the result of a key.
type ResultCopy struct{ deduplicator.ResultCopy }

// ConfigRequest requests the configuration of a peer.
type ConfigRequest struct{ versioner.Request }

// ConfigAnswer carries a peer's configuration.
type ConfigAnswer struct{ versioner.Answer }

// StoreCopy carries records that an entry read from the store, so that the others
// need not read them.
type StoreCopy struct {
	Topic Topic
	// Whole is set if the copy holds all that the sender knows of the topic.
	Whole bool `cbor:",omitempty"`
	// From and Next are the offsets that the copy covers. Records that change nothing are left out.
	From, Next    uint64
	Documents     []DocumentRecord     `cbor:",omitempty"`
	Registrations []RegistrationRecord `cbor:",omitempty"`
	// Removed names the registrations that ended, each with its position among
	// Registrations.
	Removed []RemovedCopy `cbor:",omitempty"`
	// Skipped is set if the records are too large to be copied to each entry.
	Skipped bool `cbor:",omitempty"`
	// LapseLeft is how much longer registrations may be missing because of an outage. It
	// concerns only receivers that were without knowledge of the store as well.
	LapseLeft time.Duration `cbor:",omitempty"`
}

// StoreRequest asks an entry for all that it has read from the store.
type StoreRequest struct{}

// RemovedCopy names a registration that ended after the first After elements of the
// copy's Registrations.
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
