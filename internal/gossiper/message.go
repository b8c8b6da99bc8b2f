package gossiper

import (
	"net/netip"
	"time"
)

// Step is the position of a message in an exchange.
type Step uint8

// The steps of an exchange. An age in a digest is measured from the send time
// of the message that it answers. Therefore only Reply and Close carry digests: the
// receiver of an Ask can't bound its delay.
const (
	Ask Step = iota
	Reply
	Close
)

// MaxRows is the maximum number of rows of a digest. At 2 exchanges a second, it keeps all
// control traffic of a node below 3 KB/s. Profiles are sent only of entries that the
// receiver does not know, so that they may be those of all rows of a digest.
const MaxRows = 16

// ageUnit is the resolution of the ages in a digest, which are rounded up.
const ageUnit = 16 * time.Millisecond

// unknownAge and unknownLag encode values that are unknown or too large to encode.
const (
	unknownAge = 255
	unknownLag = 255
)

// Exchange is one message of a membership exchange.
type Exchange struct {
	_    struct{} `cbor:",toarray"`
	Step Step
	// Sequence identifies this message at its sender.
	Sequence uint32
	// Echo is the sequence of the message that this one answers.
	Echo uint32
	// Profile is the sender's profile in an Ask to a peer of which only the address is
	// known, and in the Reply to it; its name is empty in other messages.
	Profile Profile
	// You is the state of the receiver in the sender's view.
	You State
	// Known is the number of known entries on which the sender's majority is based.
	Known uint16
	// MajorityAge is the age of the sender's evidence from a majority, in units of 16 ms.
	MajorityAge uint8
	// Top is the highest configuration version known to the sender.
	Top uint64
	// Next is the offset up to which the sender has applied the configuration log.
	Next uint64
	// LogAge is the age of the sender's evidence from the log, in units of 16 ms.
	LogAge uint8
	// Rows contains the sender's own row first.
	Rows     []Row
	Profiles []Profile
	// Wanted contains the IDs of rows whose profiles the sender lacks.
	Wanted []uint32
	// Records are configuration records that the receiver lacks.
	Records []Record
}

// Record is a record of the configuration stream.
type Record struct {
	_       struct{} `cbor:",toarray"`
	Offset  uint64
	Payload []byte
}

// Profile holds the immutable properties of an incarnation.
type Profile struct {
	_             struct{} `cbor:",toarray"`
	Name          string
	Incarnation   uint64
	PeerAddress   netip.AddrPort
	CallerAddress netip.AddrPort
	DataCentre    string
}

// Row holds the changing properties of an incarnation.
type Row struct {
	_ struct{} `cbor:",toarray"`
	// ID is a hash of name and incarnation.
	ID uint32
	// Age is the time since the latest moment at which the entry is known to have run, in
	// units of 16 ms.
	Age   uint8
	State State
	Stale bool
	// Lag is the number of versions by which the entry is behind Top.
	Lag      uint8
	InFlight uint16
}
