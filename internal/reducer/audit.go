package reducer

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/azuretrestle/azuretrestle/internal/auditor"
	"github.com/azuretrestle/azuretrestle/internal/gossiper"
)

const (
	auditAppendTimeout = 3 * time.Second
	auditReadInterval  = 10 * time.Second
	// auditTailRecords is the number of records before the tail that an entry reads
	// after a start or an outage: at most 3 MB in batches of 256 changes.
	auditTailRecords = 64
)

// auditState holds the node's state for writing and reading the Audit stream.
type auditState struct {
	trailBuffer   auditor.Buffer
	trail         auditor.Trail
	auditSequence uint64
	flushTimer    *timer
	// auditNext is the offset to read from. tailKnown is set once a response has
	// returned the offset of the tail, and cleared when a read fails.
	auditNext uint64
	tailKnown bool
}

// audit writes a change that only this entry observes to the audit trail.
func (n *Node) audit(e auditor.Entry) {
	n.auditSequence++
	e.At = n.now
	e.Origin = auditor.Origin(n.Name, n.Incarnation, n.auditSequence)
	n.emit(Audit{e})
	if n.Managed != nil {
		return
	}
	n.trailBuffer.Add(e)
	n.scheduleFlush()
}

// auditShared writes a change that all entries observe to the audit trail. Only one
// of the live entries, chosen by a hash of the change, writes it.
func (n *Node) auditShared(e auditor.Entry) {
	key := e.Action + "/" + e.Subject + "/"
	best := n.Name
	lowest := xxhash.Sum64String(key + n.Name)
	// View.Alive is not used: when a whole region becomes silent, it would copy
	// all rows once for each entry of that region.
	for a := range n.view.All() {
		if a.State != gossiper.Alive || n.view.Suspected(n.now, a) && a.Name != n.Name {
			continue
		}
		if h := xxhash.Sum64String(key + a.Name); h < lowest {
			best = a.Name
			lowest = h
		}
	}
	if best == n.Name {
		n.audit(e)
	}
}

func (n *Node) scheduleFlush() {
	if n.flushTimer == nil && !n.trailBuffer.Empty() {
		n.flushTimer = n.runAt(later(n.now, n.trailBuffer.NextAt()), n.flushAudit)
	}
}

func (n *Node) flushAudit() {
	n.flushTimer = nil
	payload, ok := n.trailBuffer.Next(n.now)
	if !ok {
		return
	}
	n.config.lastAppend++
	n.emit(Append{Stream: auditor.Stream, ID: n.config.lastAppend, Payload: payload, Deadline: n.now.Add(auditAppendTimeout)})
}

func (n *Node) auditAppended(ev AppendFinished) {
	n.trailBuffer.FinishAppend(n.now, ev.OK)
	n.scheduleFlush()
}

// readAudit reads the trail. The first read, and the first one after a failure,
// starts beyond the tail to learn the tail's offset. It does not continue at
// auditNext, since after an outage a response with all records since the last read
// may exceed the client's size limit, so that each read would fail.
func (n *Node) readAudit() {
	from := n.auditNext
	if !n.tailKnown {
		from = math.MaxInt64
	}
	n.emit(ReadLog{Stream: auditor.Stream, From: from, Deadline: n.now.Add(readTimeout)})
}

func (n *Node) auditRead(ev LogRead) {
	if !n.tailKnown {
		n.tailKnown = true
		n.auditNext = max(n.auditNext, ev.First, ev.Tail-min(ev.Tail, auditTailRecords))
		n.readAudit()
		return
	}
	for _, r := range ev.Records {
		n.trail.Read(r.Payload)
	}
	n.auditNext = max(n.auditNext, ev.Next)
	n.scheduleAuditRead()
}

func (n *Node) scheduleAuditRead() { n.runAt(n.now.Add(auditReadInterval), n.readAudit) }

// Trail returns the last records of the audit trail that were read from the log, oldest first.
func (n *Node) Trail() []auditor.Entry { return n.trail.Entries() }
