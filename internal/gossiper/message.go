package gossiper

import (
	"net/netip"
	"time"
)

// Step is the place of a message in an exchange.
type Step uint8

// The steps of an exchange. An age in a digest is measured from the send time
// of the message that it answers, so only Reply and Close carry digests: the
// delay of an Ask can't be bounded by its receiver.
const (
	Ask Step = iota
	Reply
	Close
)

// Limits of an exchange. At 2 exchanges a second, MaxRows keeps all control
// traffic of a node below 3 KB/s.
const (
	MaxRows     = 16
	maxProfiles = 4
	maxWanted   = 4
)

// ageUnit is the resolution of the ages in a digest, which are rounded up.
const ageUnit = 16 * time.Millisecond

// unknownAge and unknownLag stand for values that are too large to tell.
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
	// Profile is that of the sender in an Ask to an address and in the answer to
	// it; its name is empty otherwise.
	Profile Profile
	// You is the state of the receiver in the sender's view.
	You State
	// Known is the number of entries that the sender counted for its majority.
	Known uint16
	// MajorityAge is the age of the sender's evidence from peers, in units of 16 ms.
	MajorityAge uint8
	// Top is the highest configuration version heard of.
	Top uint64
	// Next is the offset up to which the sender has folded the configuration.
	Next uint64
	// LogAge is the age of the sender's evidence from the log, in units of 16 ms.
	LogAge uint8
	// Rows holds the sender first.
	Rows     []Row
	Profiles []Profile
	// Wanted names rows whose profiles the sender lacks.
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

// Profile holds the facts of an incarnation that never change.
type Profile struct {
	_             struct{} `cbor:",toarray"`
	Name          string
	Incarnation   uint64
	PeerAddress   netip.AddrPort
	CallerAddress netip.AddrPort
	DataCentre    string
}

// Row holds the changing facts of one incarnation.
type Row struct {
	_ struct{} `cbor:",toarray"`
	// ID is a hash of name and incarnation.
	ID uint32
	// Age is the time since the entry is known to have run, in units of 16 ms.
	Age   uint8
	State State
	Stale bool
	// Lag is the number of versions that the entry is behind Top.
	Lag      uint8
	InFlight uint16
}
