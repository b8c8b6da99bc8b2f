package sizer

import (
	"math"
	"time"

	"github.com/azuretrestle/azuretrestle/internal/deduplicator"
)

// Target is the load and deployment size that the system has to carry.
type Target struct {
	Servers        int
	Services       int
	CallsPerSecond int
	// Depth is the number of nested calls on one path.
	Depth         int
	Regions       int
	DataCentres   int
	PatchesPerDay int
	// Cores is the number of processor cores of an entry host.
	Cores int
	// Utilization is the planned utilisation of the cores by calls while no entry is lost.
	Utilization float64
	// Entries is the number of entry hosts; 0 means as many as the calls require.
	Entries int
	// ProbesPerSecond is the number of probes of one entry.
	ProbesPerSecond int
	// OnceOnlyShare is the share of calls that are once-only.
	OnceOnlyShare float64
	// OnceOnlyBody is the size in bytes of the stored response to such a call.
	OnceOnlyBody int
}

// The bounds of the control-plane cost of a node.
const (
	BoundProcessor = 4.5       // percent of a core
	BoundMemory    = 32 << 20  // bytes
	BoundTraffic   = 3 * 1_000 // bytes a second, each counted once, at the node that sends it
)

// Assumptions about the network, in bytes.
const (
	// segmentOverhead is the size of the headers of IPv4 and of TCP with timestamps.
	segmentOverhead = 20 + 32
	// recordOverhead is the header, type and tag of a TLS 1.3 record.
	recordOverhead = 5 + 1 + 16
	// frameOverhead is the header size of a drpc frame.
	frameOverhead = 8
	// connectionSegments is the number of segments that open and close a connection without data.
	connectionSegments = 7
	// segmentationFactor is the factor by which the headers of 1,448-byte segments enlarge a long transfer.
	segmentationFactor = 1.036
)

// Rates and limits of a node that the reducer and the messenger set.
const (
	exchangesPerSecond      = 4.0 // 2 started and, on average, 2 answered
	messagesPerExchange     = 3.0
	exchangeSegments        = messagesPerExchange + 1 // the last message has a separate acknowledgement
	connectionIdleTimeout   = 30.0                    // seconds until the messenger closes an idle connection
	tailReadsPerSecond      = 1.0 + 0.1               // of the streams Config and Audit
	hostListInterval        = 5.0                     // seconds between reads of the host list, at least
	hostListIntervalPerHost = 0.3                     // seconds for each line of the host list
	patchCopies             = 3.0                     // from the log in base64, and to and from peers
	base64Growth            = 4.0 / 3
	checkpointsPerDay       = 720.0/64 + 4 // one for 64 patches, and one in a quarter of 24 h of log retention
	requestSegments         = 3.0          // request, response, acknowledgement
	keyRetentionMinutes     = 11.0
	maxKeys                 = deduplicator.DefaultKeys
	maxStoredBodies         = deduplicator.DefaultBytes
	secondsPerDay           = 24 * 60 * 60
)

// TargetSize returns the target size, with assumptions for the values that the requirements leave open.
func TargetSize() Target {
	return Target{
		Servers: 1300, Services: 100, CallsPerSecond: 300_000, Depth: 6, Regions: 4, DataCentres: 14, PatchesPerDay: 720,
		Cores: 4, Utilization: 0.5, ProbesPerSecond: 3, OnceOnlyShare: 0.01, OnceOnlyBody: 1000,
	}
}

// ProcessorTimePerCall returns the processor time of a call in an entry. It is the
// largest median over the measured sizes, since the cost does not grow with the size.
func (s Samples) ProcessorTimePerCall() time.Duration {
	largest := 0.0
	for _, p := range s["call-processor-us"] {
		largest = max(largest, p.Value)
	}
	return time.Duration(largest * float64(time.Microsecond))
}

// RequiredEntries returns the number of entry hosts that carry all calls at the planned
// utilisation, rounded up to the same number in each data centre.
func (t Target) RequiredEntries(s Samples) int {
	if t.Entries > 0 {
		return t.Entries
	}
	cores := float64(t.CallsPerSecond) * s.ProcessorTimePerCall().Seconds()
	hosts := math.Ceil(cores / (float64(t.Cores) * t.Utilization))
	perDataCentre := math.Ceil(hosts / float64(t.DataCentres))
	return int(perDataCentre) * t.DataCentres
}

// UtilizationAfter returns the utilisation of the remaining cores when a share of the entries is lost.
func (t Target) UtilizationAfter(s Samples, lost float64) float64 {
	cores := float64(t.CallsPerSecond) * s.ProcessorTimePerCall().Seconds()
	return cores / (float64(t.RequiredEntries(s)*t.Cores) * (1 - lost))
}

// keysPerSecond returns the number of new once-only keys a second of which an entry is
// the owner. It is also the number of those of which it is the witness.
func (t Target) keysPerSecond(s Samples) float64 {
	return t.OnceOnlyShare * float64(t.CallsPerSecond) / float64(t.RequiredEntries(s))
}

// hostListReadsPerSecond returns the number of reads of the host list a second.
func (t Target) hostListReadsPerSecond() float64 {
	return 1 / max(hostListInterval, hostListIntervalPerHost*float64(t.Servers))
}

// newConnectionsPerSecond returns the number of peer connections that an entry
// opens a second. Messages between two entries are assumed to arrive at random (Poisson).
func (t Target) newConnectionsPerSecond(s Samples) float64 {
	rate := exchangesPerSecond // messages that may follow an idle period: requests and first replies
	perPeer := rate / float64(t.RequiredEntries(s))
	return rate * math.Exp(-connectionIdleTimeout*perPeer)
}

// peerConnections returns the number of open peer connections of an entry, in both directions.
func (t Target) peerConnections(s Samples) float64 {
	peers := float64(t.RequiredEntries(s) - 1)
	return 2 * peers * (1 - math.Exp(-connectionIdleTimeout*exchangesPerSecond/float64(t.RequiredEntries(s))))
}
