package reducer

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/azuretrestle/azuretrestle/internal/auditor"
	"github.com/azuretrestle/azuretrestle/internal/gossiper"
)

const (
	auditPatience     = 3 * time.Second
	auditReadInterval = 10 * time.Second
	// auditBacklog is the number of records before the tail that an entry reads
	// when it starts or resumes: at most 3 MB in batches of 256 changes.
	auditBacklog = 64
)

// auditing is the node's part in writing and reading the Audit stream.
type auditing struct {
	trailBuffer auditor.Buffer
	trail       auditor.Trail
	sequence    uint64
	flushTimer  *timer
	// auditNext is the offset to read from; located is set while the tail is known
	// to be near, from the answer that told it until a read fails.
	auditNext uint64
	located   bool
}

// audit puts a change that only this entry sees onto the audit trail.
func (n *Node) audit(e auditor.Entry) {
	n.sequence++
	e.At = n.now
	e.Origin = auditor.Origin(n.Name, n.Incarnation, n.sequence)
	n.emit(Audit{e})
	if n.Managed != nil {
		return
	}
	n.trailBuffer.Add(e)
	n.scheduleFlush()
}

// auditShared puts a change that all entries see onto the audit trail. One of
// the alive entries, chosen by a hash of the change, writes it.
func (n *Node) auditShared(e auditor.Entry) {
	key := e.Action + "/" + e.Subject + "/"
	best := n.Name
	lowest := xxhash.Sum64String(key + n.Name)
	// Alive would copy all rows for each entry of a region that falls silent.
	for a := range n.view.All() {
		if a.State != gossiper.Alive || a.Suspected(n.now) && a.Name != n.Name {
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
		n.flushTimer = n.after(later(n.now, n.trailBuffer.NextAt()), n.flushAudit)
	}
}

func (n *Node) flushAudit() {
	n.flushTimer = nil
	payload, ok := n.trailBuffer.Next(n.now)
	if !ok {
		return
	}
	n.config.lastAppend++
	n.emit(Append{Stream: auditor.Stream, ID: n.config.lastAppend, Payload: payload, Deadline: n.now.Add(auditPatience)})
}

func (n *Node) auditAppended(ev AppendFinished) {
	n.trailBuffer.Finished(n.now, ev.OK)
	n.scheduleFlush()
}

// readAudit reads the trail; the first read, and the first after a failure, asks
// beyond the tail to learn where it is. After an outage, an answer with all records
// since the last read may exceed what a client takes and would fail each time.
func (n *Node) readAudit() {
	from := n.auditNext
	if !n.located {
		from = math.MaxInt64
	}
	n.emit(ReadLog{Stream: auditor.Stream, From: from, Deadline: n.now.Add(readPatience)})
}

func (n *Node) auditRead(ev LogRead) {
	if !n.located {
		n.located = true
		n.auditNext = max(n.auditNext, ev.First, ev.Tail-min(ev.Tail, auditBacklog))
		n.readAudit()
		return
	}
	for _, r := range ev.Records {
		n.trail.Read(r.Payload)
	}
	n.auditNext = max(n.auditNext, ev.Next)
	n.scheduleAuditRead()
}

func (n *Node) scheduleAuditRead() { n.after(n.now.Add(auditReadInterval), n.readAudit) }

// Trail returns the last records of the audit trail that were read from the log, oldest first.
func (n *Node) Trail() []auditor.Entry { return n.trail.Entries() }
