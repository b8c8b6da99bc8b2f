package auditor

import (
	"encoding/json"
	"slices"
	"time"
)

// Limits of the buffer. An hour without the log at one entry a second fits.
const (
	MaxBuffered  = 4096
	maxBatch     = 256
	appendPeriod = time.Second
	retryPeriod  = 5 * time.Second
)

// Buffer holds entries until the log has them; its zero value is empty.
type Buffer struct {
	entries []Entry
	lost    uint64
	// sending is the number of entries in the append in progress.
	sending     int
	sendingLost uint64
	nextAt      time.Time
}

// Add puts an entry into the buffer, or counts it if the buffer is full.
func (b *Buffer) Add(e Entry) {
	if len(b.entries) >= MaxBuffered {
		b.lost++
		return
	}
	b.entries = append(b.entries, e.bounded())
}

// Empty reports whether everything is in the log.
func (b *Buffer) Empty() bool { return len(b.entries) == 0 && b.lost == 0 }

// Len returns the number of entries held.
func (b *Buffer) Len() int { return len(b.entries) }

// Lost returns the number of entries that did not fit and are not yet counted in the log.
func (b *Buffer) Lost() uint64 { return b.lost }

// NextAt returns the earliest time of the next append.
func (b *Buffer) NextAt() time.Time { return b.nextAt }

// Next returns the record to append, if there is one and an append may be made.
func (b *Buffer) Next(now time.Time) ([]byte, bool) {
	if b.sending > 0 || b.Empty() || now.Before(b.nextAt) {
		return nil, false
	}
	count := min(len(b.entries), maxBatch)
	payload, err := json.Marshal(Batch{Lost: b.lost, Entries: b.entries[:count]})
	if err != nil {
		return nil, false
	}
	b.sending = count
	b.sendingLost = b.lost
	b.nextAt = now.Add(appendPeriod)
	return payload, true
}

// Finished ends the append in progress. The entries of a failed one stay, since
// the record may be missing; readers skip those that they saw.
func (b *Buffer) Finished(now time.Time, ok bool) {
	if ok {
		b.entries = slices.Clone(b.entries[b.sending:])
		b.lost -= b.sendingLost
	} else {
		b.nextAt = now.Add(retryPeriod)
	}
	b.sending = 0
	b.sendingLost = 0
}
