package sizer

import (
	"math"
	"time"

	"github.com/azuretrestle/azuretrestle/internal/deduplicator"
)

// Target is the size that the system has to carry.
type Target struct {
	Servers        int
	Services       int
	CallsPerSecond int
	Depth          int
	Regions        int
	DataCentres    int
	PatchesPerDay  int
	// Cores is the number of processor cores of an entry host.
	Cores int
	// Utilization is the share of the cores that calls take while nothing is lost.
	Utilization float64
	// Entries is the number of entry hosts; 0 means as many as the calls need.
	Entries int
	// ProbesPerSecond is the number of probes of one entry.
	ProbesPerSecond int
	// OnceOnlyShare is the share of calls that are once-only.
	OnceOnlyShare float64
	// OnceOnlyBody is the size in bytes of the stored answer to such a call.
	OnceOnlyBody int
}

// The bounds of a node for control.
const (
	BoundProcessor = 4.5       // percent of a core
	BoundMemory    = 32 << 20  // bytes
	BoundTraffic   = 3 * 1_000 // bytes a second, each counted once, at the node that sends it
)

// Assumptions about the network, in bytes.
const (
	// segmentOverhead is that of IPv4, and of TCP with timestamps.
	segmentOverhead = 20 + 32
	// recordOverhead is that of a TLS 1.3 record: header, type and tag.
	recordOverhead = 5 + 1 + 16
	// frameOverhead is that of a drpc frame.
	frameOverhead = 8
	// connectionSegments open and close a connection without data.
	connectionSegments = 7
	// segmentShare is the growth of a long transfer by the overhead of its segments of 1,448 bytes.
	segmentShare = 1.036
)

// Rates of the node that the reducer and the messenger fix.
const (
	exchangesPerSecond  = 4.0 // 2 begun and, on average, 2 answered
	messagesPerExchange = 3.0
	exchangeSegments    = messagesPerExchange + 1 // the last message is acknowledged alone
	connectionIdle      = 30.0                    // seconds until the messenger closes one
	tailReadsPerSecond  = 1.0 + 0.1               // Config and Audit
	listInterval        = 5.0                     // seconds between reads of the host list, at least
	listIntervalPerHost = 0.3                     // seconds for each line of the host list
	patchCopies         = 3.0                     // from the log in base64, and to and from peers
	base64Growth        = 4.0 / 3
	checkpointsPerDay   = 720.0/64 + 4
	requestSegments     = 3.0 // question, answer, acknowledgement
	keyMinutes          = 11.0
	maxKeys             = deduplicator.DefaultKeys
	maxStoredBodies     = deduplicator.DefaultBytes
	secondsPerDay       = 24 * 60 * 60
)

// AtTarget returns the target size with the assumptions that the requirements leave open.
func AtTarget() Target {
	return Target{
		Servers: 1300, Services: 100, CallsPerSecond: 300_000, Depth: 6, Regions: 4, DataCentres: 14, PatchesPerDay: 720,
		Cores: 4, Utilization: 0.5, ProbesPerSecond: 3, OnceOnlyShare: 0.01, OnceOnlyBody: 1000,
	}
}

// CallTime returns the processor time of a call in an entry: the largest
// median over the measured sizes, since it does not grow with them.
func (s Samples) CallTime() time.Duration {
	most := 0.0
	for _, p := range s["call-processor-us"] {
		most = max(most, p.Value)
	}
	return time.Duration(most * float64(time.Microsecond))
}

// Need returns the number of entry hosts for all calls at the planned
// utilization, rounded up to the same number in each data centre.
func (t Target) Need(s Samples) int {
	if t.Entries > 0 {
		return t.Entries
	}
	cores := float64(t.CallsPerSecond) * s.CallTime().Seconds()
	hosts := math.Ceil(cores / (float64(t.Cores) * t.Utilization))
	perCentre := math.Ceil(hosts / float64(t.DataCentres))
	return int(perCentre) * t.DataCentres
}

// UtilizationAfter returns the share of the cores in use once a share of the entries is lost.
func (t Target) UtilizationAfter(s Samples, lost float64) float64 {
	cores := float64(t.CallsPerSecond) * s.CallTime().Seconds()
	return cores / (float64(t.Need(s)*t.Cores) * (1 - lost))
}

// keysPerSecond is the number of new once-only keys of one entry, as owner and again as witness.
func (t Target) keysPerSecond(s Samples) float64 {
	return t.OnceOnlyShare * float64(t.CallsPerSecond) / float64(t.Need(s))
}

// listReads is the number of reads of the host list a second.
func (t Target) listReads() float64 {
	return 1 / max(listInterval, listIntervalPerHost*float64(t.Servers))
}

// newConnections is the number of peer connections that an entry opens a
// second. Messages between two entries are taken for random in time.
func (t Target) newConnections(s Samples) float64 {
	rate := exchangesPerSecond // messages that follow a pause: questions and first answers
	perPeer := rate / float64(t.Need(s))
	return rate * math.Exp(-connectionIdle*perPeer)
}

// peerConnections is the number of open connections of an entry, in both directions.
func (t Target) peerConnections(s Samples) float64 {
	peers := float64(t.Need(s) - 1)
	return 2 * peers * (1 - math.Exp(-connectionIdle*exchangesPerSecond/float64(t.Need(s))))
}
