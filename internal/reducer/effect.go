package reducer

import (
	"net/netip"
	"time"

	"github.com/azuretrestle/azuretrestle/internal/auditor"
	"github.com/azuretrestle/azuretrestle/internal/balancer"
	"github.com/azuretrestle/azuretrestle/pkg/classifier"
)

// Effect is something that the driver has to do.
type Effect interface{ effect() }

// Dispatch sends a request to an upstream.
type Dispatch struct {
	Attempt  AttemptID
	Service  string
	Rank     string
	Upstream string
	Address  netip.AddrPort
	// Connections bounds the connections of this entry to the upstream.
	Connections int
	Deadline    time.Time
	// Fresh asks for a new connection.
	Fresh bool
	// StoreAnswer asks for the body in UpstreamAnswered, to be kept for repeats of the key.
	StoreAnswer bool
	// Known is what the choice was based on.
	Known balancer.Condition
}

// Cancel abandons an attempt.
type Cancel struct{ Attempt AttemptID }

// Relay gives the answer of an attempt to the caller.
type Relay struct{ Attempt AttemptID }

// Refuse ends a request without an answer of an upstream.
type Refuse struct {
	ID      RequestID
	Code    classifier.Code
	Outcome classifier.Outcome
	// RetryAt is when a repeat may succeed; zero if not known.
	RetryAt time.Time
	// Waiting is the number of requests that waited for the service.
	Waiting int
	// Due is when an answer would no longer have been in time; zero if that is not known.
	Due time.Time
}

// AnswerStored gives a caller the stored result of an earlier attempt with the same key.
type AnswerStored struct {
	ID          RequestID
	Status      int
	ContentType string
	Body        []byte
}

// Probe reads the load and health of an upstream.
type Probe struct {
	// Request is the one whose attempt the probe precedes, 0 if it is none.
	Request  RequestID
	Service  string
	Upstream string
	Address  netip.AddrPort
	// Connections bounds the connections of this entry to the upstream; 0 means one.
	Connections int
	// Path is where the upstream answers; empty means the entry's own.
	Path     string
	Deadline time.Time
}

// CloseIdle closes the idle connections to an upstream.
type CloseIdle struct {
	Service  string
	Upstream string
	Address  netip.AddrPort
}

// Send gives a message to another entry.
type Send struct {
	To string
	// Incarnation is the one that the message is meant for; others drop it. 0 means any.
	Incarnation uint64
	Address     netip.AddrPort
	Message     PeerMessage
}

// Disconnect ends the connection to another entry that has fallen silent.
type Disconnect struct{ Peer string }

// ReadLog reads a stream from an offset.
type ReadLog struct {
	Stream   string
	From     uint64
	Deadline time.Time
}

// Append adds a record to a stream.
type Append struct {
	Stream   string
	ID       uint64
	Payload  []byte
	Deadline time.Time
}

// ListHosts reads the platform's host list.
type ListHosts struct{ Deadline time.Time }

// SetTimer replaces the deadline of the node's one timer.
type SetTimer struct{ Deadline time.Time }

// AnswerPatch ends a patch submission.
type AnswerPatch struct {
	ID   RequestID
	Code classifier.Code
	// Version is the version that the patch made, or the current one if it was refused.
	Version uint64
	Detail  string
	// Pending names the entries that have not confirmed the version.
	Pending []string
}

// AnswerEntries tells a caller which entries to use until Expires.
type AnswerEntries struct {
	ID      RequestID
	Entries []EntryAddress
	Expires time.Time
}

// EntryAddress is one entry that a caller may use.
type EntryAddress struct {
	Name       string
	Address    netip.AddrPort
	DataCentre string
}

// AnswerKeys gives a caller idempotency keys.
type AnswerKeys struct {
	ID   RequestID
	Keys []string
}

// Audit reports a change that was put on the audit trail, for the log output.
type Audit struct{ auditor.Entry }

// Stop tells the driver that a planned stop has reached a new phase.
type Stop struct{ Phase StopPhase }

// StopPhase is a step of a planned stop.
type StopPhase uint8

// The phases of a planned stop, in order.
const (
	// StopListening closes the callers' listener.
	StopListening StopPhase = iota + 1
	// StopDone ends the process.
	StopDone
)

func (Dispatch) effect()      {}
func (Cancel) effect()        {}
func (Relay) effect()         {}
func (Refuse) effect()        {}
func (AnswerStored) effect()  {}
func (Probe) effect()         {}
func (CloseIdle) effect()     {}
func (Send) effect()          {}
func (Disconnect) effect()    {}
func (ReadLog) effect()       {}
func (Append) effect()        {}
func (ListHosts) effect()     {}
func (SetTimer) effect()      {}
func (AnswerPatch) effect()   {}
func (AnswerEntries) effect() {}
func (AnswerKeys) effect()    {}
func (Audit) effect()         {}
func (Stop) effect()          {}
