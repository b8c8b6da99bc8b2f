package reducer

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azuretrestle/azuretrestle/internal/auditor"
)

// auditReads returns the start offsets of the reads of the audit trail among the effects.
func auditReads(effects []Effect) []uint64 {
	var out []uint64
	for _, e := range effects {
		if r, ok := e.(ReadLog); ok && r.Stream == auditor.Stream {
			out = append(out, r.From)
		}
	}
	return out
}

// TestAuditResumes guards against an entry that requests all records since its
// last read after an outage: the response may exceed the client's limit, so that
// every retry fails. It also guards against records that are skipped or read twice.
func TestAuditResumes(t *testing.T) {
	const last = 1000
	for _, tt := range []struct {
		name        string
		first, tail uint64
		want        uint64
	}{
		{"nothing new", 0, last, last},
		{"few new", 0, last + 10, last + 10 - 10},
		{"just the backlog", 0, last + auditTailRecords, last},
		{"far behind", 0, last + 5000, last + 5000 - auditTailRecords},
		{"records expired", last + 20, last + 30, last + 20},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
			n := New(Options{Name: "a", Incarnation: 1})
			is.Equal(auditReads(n.Start(now)), []uint64{math.MaxInt64})
			n.Step(LogRead{Stamp: Stamp{now}, Stream: auditor.Stream, Next: last, Tail: last})
			n.Step(LogRead{Stamp: Stamp{now}, Stream: auditor.Stream, Next: last, Tail: last})
			now = now.Add(auditReadInterval)
			is.Equal(auditReads(n.Step(TimerFired{Stamp{now}})), []uint64{last})
			n.Step(LogFailed{Stamp: Stamp{now}, Stream: auditor.Stream})
			now = now.Add(auditReadInterval)
			is.Equal(auditReads(n.Step(TimerFired{Stamp{now}})), []uint64{math.MaxInt64})
			found := n.Step(LogRead{Stamp: Stamp{now}, Stream: auditor.Stream, First: tt.first, Next: tt.tail, Tail: tt.tail})
			is.Equal(auditReads(found), []uint64{tt.want})
		})
	}
}
