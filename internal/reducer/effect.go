package reducer

import (
	"net/netip"
	"time"

	"github.com/azuretrestle/azuretrestle/internal/auditor"
	"github.com/azuretrestle/azuretrestle/internal/balancer"
	"github.com/azuretrestle/azuretrestle/internal/registrar"
	"github.com/azuretrestle/azuretrestle/pkg/classifier"
)

// Effect is an action that the driver has to carry out.
type Effect interface{ effect() }

// Dispatch sends a request to an upstream.
type Dispatch struct {
	Attempt  AttemptID
	Service  string
	Rank     string
	Upstream string
	Address  netip.AddrPort
	// Born is the start of the upstream, 0 if unknown.
	Born int64
	// Connections limits the connections of this entry to the upstream.
	Connections int
	Deadline    time.Time
	// Fresh requests a new connection.
	Fresh bool
	// StoreAnswer requests the body in UpstreamAnswered, to be stored for retries
	// with the same key.
	StoreAnswer bool
	// Known is the condition of the upstream, as known when it was chosen.
	Known balancer.Condition
}

// Cancel cancels an attempt.
type Cancel struct{ Attempt AttemptID }

// Relay relays the response of an attempt to the caller.
type Relay struct{ Attempt AttemptID }

// Refuse ends a request without a response from an upstream.
type Refuse struct {
	ID      RequestID
	Code    classifier.Code
	Outcome classifier.Outcome
	// RetryAt is the earliest time at which a retry may succeed; zero if unknown.
	RetryAt time.Time
	// Waiting is the number of requests that were waiting in the service's queue.
	Waiting int
	// Due is the time by which a response would have met the latency target; zero if unknown.
	Due time.Time
}

// AnswerStored sends a caller the stored result of an earlier attempt with the same key.
type AnswerStored struct {
	ID          RequestID
	Status      int
	ContentType string
	Body        []byte
}

// Probe reads the load and health of an upstream.
type Probe struct {
	// Request is the request whose attempt the probe precedes, 0 if there is none.
	Request  RequestID
	Service  string
	Upstream string
	Address  netip.AddrPort
	// Born is the start of the upstream, 0 if unknown.
	Born int64
	// Connections limits the connections of this entry to the upstream; 0 means one.
	Connections int
	// Path is the path to probe; empty means the entry's default.
	Path     string
	Deadline time.Time
}

// CloseIdle closes the idle connections to an upstream.
type CloseIdle struct {
	Service  string
	Upstream string
	Address  netip.AddrPort
}

// Send sends a message to another entry.
type Send struct {
	To string
	// Incarnation is the incarnation that the message is meant for; others drop it. 0 means any.
	Incarnation uint64
	Address     netip.AddrPort
	Message     PeerMessage
}

// Disconnect closes the connection to another entry that has become silent.
type Disconnect struct{ Peer string }

// ReadLog reads a stream from an offset.
type ReadLog struct {
	Stream   string
	From     uint64
	Deadline time.Time
}

// Append appends a record to a stream.
type Append struct {
	Stream   string
	ID       uint64
	Payload  []byte
	Deadline time.Time
}

// ListHosts reads the platform's host list.
type ListHosts struct{ Deadline time.Time }

// SetTimer replaces the deadline of the node's single timer.
type SetTimer struct{ Deadline time.Time }

// AnswerPatch sends an operator the result of a submitted patch.
type AnswerPatch struct {
	ID   RequestID
	Code classifier.Code
	// Version is the version that the patch created, or the current one if it was refused.
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

// AnswerKeys sends a caller idempotency keys.
type AnswerKeys struct {
	ID   RequestID
	Keys []string
}

// Audit carries an audit record that the driver writes to the log output.
type Audit struct{ auditor.Entry }

// SetCallerLimits puts the limits of a document in force for all connections of callers.
type SetCallerLimits struct{ registrar.Limits }

// Stop tells the driver that a planned stop has reached a new phase.
type Stop struct{ Phase StopStep }

// StopStep is a phase of a planned stop, as seen by the driver.
type StopStep uint8

// The phases of a planned stop, in order.
const (
	// StopListening closes the callers' listener.
	StopListening StopStep = iota + 1
	// StopDone ends the process.
	StopDone
)

func (Dispatch) effect()        {}
func (Cancel) effect()          {}
func (Relay) effect()           {}
func (Refuse) effect()          {}
func (AnswerStored) effect()    {}
func (Probe) effect()           {}
func (CloseIdle) effect()       {}
func (Send) effect()            {}
func (Disconnect) effect()      {}
func (ReadLog) effect()         {}
func (Append) effect()          {}
func (ListHosts) effect()       {}
func (SetTimer) effect()        {}
func (AnswerPatch) effect()     {}
func (AnswerEntries) effect()   {}
func (AnswerKeys) effect()      {}
func (Audit) effect()           {}
func (SetCallerLimits) effect() {}
func (Stop) effect()            {}
