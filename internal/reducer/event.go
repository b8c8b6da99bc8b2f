package reducer

import (
	"net/netip"
	"time"

	"github.com/azuretrestle/azuretrestle/internal/balancer"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

// Event is an input to a node; every event carries the time.
type Event interface {
	event()
	// Time returns when the event happened by the node's clock.
	Time() time.Time
}

// Stamp holds the time of an event; every event embeds it.
type Stamp struct{ Now time.Time }

// Time returns when the event happened.
func (s Stamp) Time() time.Time { return s.Now }

// RequestID identifies a caller's request within one incarnation of an entry.
type RequestID uint64

// AttemptID identifies one attempt of a request.
type AttemptID struct {
	Request RequestID
	Number  uint32
}

// RequestArrived reports a caller's request whose headers, and in once-only ranks
// also its body, have been read.
type RequestArrived struct {
	Stamp
	ID      RequestID
	Service string
	Rank    string
	// Route is the route that the request matched, empty if there are no routes.
	Route    string
	Deadline time.Time
	Key      string
	// BodyDigest is a hash of the body of a once-only request.
	BodyDigest uint64
	// BodySize is the size of the body in bytes, -1 if unknown.
	BodySize int64
	// FirstAttempt is set if the caller guarantees that it never sent the key before.
	FirstAttempt bool
	// Replayable is set if the driver holds the whole body and can send it again.
	Replayable bool
}

// CallerDisconnected reports that a caller disconnected before its response was complete.
type CallerDisconnected struct {
	Stamp
	ID RequestID
}

// UpstreamAnswered reports that an attempt has a response that can be relayed: the
// whole response, or its headers and first bytes if it is too large to buffer.
type UpstreamAnswered struct {
	Stamp
	Attempt AttemptID
	Status  int
	// NotRun is set if the upstream reported that it did not run the request.
	NotRun bool
	// Whole is set if the response has been read to its end.
	Whole  bool
	Report *balancer.Report
	// Draining is set if the upstream reported that it is leaving.
	Draining bool
	// Body is the whole body of the response if it is to be stored for retries with
	// the same key: nil if it is not stored, empty if the response has no body.
	Body []byte
	// ContentType is the content type of Body.
	ContentType string
}

// UpstreamFinished reports that the rest of a relayed response was transferred or truncated.
type UpstreamFinished struct {
	Stamp
	Attempt   AttemptID
	Truncated bool
}

// AttemptFailed reports that an attempt ended without a response.
type AttemptFailed struct {
	Stamp
	Attempt AttemptID
	Failure balancer.Failure
	// Sent is set unless it is certain that no byte of the request left the entry.
	Sent bool
}

// ProbeAnswered reports the end of a probe.
type ProbeAnswered struct {
	Stamp
	// Request is copied from the Probe effect.
	Request  RequestID
	Service  string
	Upstream string
	OK       bool
	Draining bool
	Report   *balancer.Report
}

// UpstreamAnnounced reports what an upstream stated about itself in the headers of a
// response, whether or not the response is used.
type UpstreamAnnounced struct {
	Stamp
	Service  string
	Upstream string
	// Born is copied from the Dispatch or Probe effect.
	Born int64
	balancer.Announcement
	// SentAt is when the request was sent to which the response certainly belongs; zero
	// if it may be a late response, or one that the upstream itself did not write.
	SentAt time.Time
}

// TimerFired reports that the deadline of the last SetTimer effect has passed.
type TimerFired struct{ Stamp }

// PeerMessageReceived delivers a message from another entry.
type PeerMessageReceived struct {
	Stamp
	From string
	// FromIncarnation is the sender's incarnation.
	FromIncarnation uint64
	Message         PeerMessage
}

// PeerUnreachable reports that a message could not be delivered.
type PeerUnreachable struct {
	Stamp
	Peer string
}

// LogRead delivers records of a stream.
type LogRead struct {
	Stamp
	Stream string
	// AskedAt is when the read was sent; all records appended before it are below Tail.
	AskedAt time.Time
	// First is the offset of the oldest record that the log still keeps.
	First uint64
	// Next is the offset after the last record delivered.
	Next uint64
	// Tail is the offset of the next append.
	Tail    uint64
	Records []Record
}

// Record is one record of a stream.
type Record struct {
	Offset  uint64
	Payload []byte
}

// LogFailed reports that a read of a stream got no response.
type LogFailed struct {
	Stamp
	Stream string
}

// AppendFinished reports the end of an append.
type AppendFinished struct {
	Stamp
	Stream string
	ID     uint64
	// OK is set if the log confirmed the append; otherwise it may or may not have taken effect.
	OK bool
	// Refused is set if the log certainly did not store the record.
	Refused bool
	Offset  uint64
}

// HostsListed delivers the platform's host list, which may be out of date.
type HostsListed struct {
	Stamp
	Hosts []Host
}

// Host is one line of the platform's host list.
type Host struct {
	Name       string
	Address    netip.AddrPort
	DataCentre string
	// Role is "Entry" or the name of the service that the host is an upstream of.
	Role    string
	Leaving bool
}

// PatchSubmitted delivers an operator's patch.
type PatchSubmitted struct {
	Stamp
	ID    RequestID
	Patch patcher.Patch
}

// EntriesRequested requests the entries that a caller should use.
type EntriesRequested struct {
	Stamp
	ID         RequestID
	DataCentre string
}

// KeysRequested requests idempotency keys.
type KeysRequested struct {
	Stamp
	ID RequestID
	// IDs are new UUIDv7 values; the reducer generates no time-based identifiers itself.
	IDs []string
}

// StopRequested begins a planned stop.
type StopRequested struct {
	Stamp
	// Deadline is when all requests have to have ended; zero if there is no limit.
	Deadline time.Time
}

// Resumed reports that the machine was suspended for a time that the clock of the stamps
// leaves out.
type Resumed struct {
	Stamp
	Suspended time.Duration
}

func (Resumed) event()             {}
func (RequestArrived) event()      {}
func (CallerDisconnected) event()  {}
func (UpstreamAnswered) event()    {}
func (UpstreamFinished) event()    {}
func (AttemptFailed) event()       {}
func (ProbeAnswered) event()       {}
func (UpstreamAnnounced) event()   {}
func (TimerFired) event()          {}
func (PeerMessageReceived) event() {}
func (PeerUnreachable) event()     {}
func (LogRead) event()             {}
func (LogFailed) event()           {}
func (AppendFinished) event()      {}
func (HostsListed) event()         {}
func (PatchSubmitted) event()      {}
func (EntriesRequested) event()    {}
func (KeysRequested) event()       {}
func (StopRequested) event()       {}
