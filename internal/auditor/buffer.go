package auditor

import (
	"encoding/json"
	"slices"
	"time"
)

// Limits of the buffer. It can hold the entries of a one-hour outage of the log at one
// entry per second.
const (
	MaxBuffered    = 4096
	maxBatch       = 256
	appendInterval = time.Second
	retryInterval  = 5 * time.Second
)

// Buffer holds audit entries until they are in the log. Its zero value is empty.
type Buffer struct {
	entries []Entry
	// lost counts the entries that did not fit and whose count is not yet in the log.
	lost uint64
	// inFlight is the number of entries in the append that is in progress.
	inFlight int
	// inFlightLost is the count of lost entries in that append.
	inFlightLost uint64
	nextAt       time.Time
}

// Add adds an entry to the buffer. If the buffer is full, it only counts the entry as lost.
func (b *Buffer) Add(e Entry) {
	if len(b.entries) >= MaxBuffered {
		b.lost++
		return
	}
	b.entries = append(b.entries, e.truncated())
}

// Empty reports whether all entries and the count of lost ones are in the log.
func (b *Buffer) Empty() bool { return len(b.entries) == 0 && b.lost == 0 }

// Len returns the number of entries in the buffer.
func (b *Buffer) Len() int { return len(b.entries) }

// Lost returns the number of entries that did not fit and whose count is not yet in the
// log.
func (b *Buffer) Lost() uint64 { return b.lost }

// NextAt returns the earliest time of the next append.
func (b *Buffer) NextAt() time.Time { return b.nextAt }

// Next returns the next record to append. It reports false if there is none, if an append
// is in progress or if it is too early for the next one.
func (b *Buffer) Next(now time.Time) ([]byte, bool) {
	if b.inFlight > 0 || b.Empty() || now.Before(b.nextAt) {
		return nil, false
	}
	count := min(len(b.entries), maxBatch)
	payload, err := json.Marshal(Batch{Lost: b.lost, Entries: b.entries[:count]})
	if err != nil {
		return nil, false
	}
	b.inFlight = count
	b.inFlightLost = b.lost
	b.nextAt = now.Add(appendInterval)
	return payload, true
}

// FinishAppend ends the append in progress. If it failed, its entries stay in the buffer,
// because the record may not be in the log. Readers skip entries that they already have.
func (b *Buffer) FinishAppend(now time.Time, ok bool) {
	if ok {
		b.entries = slices.Clone(b.entries[b.inFlight:])
		b.lost -= b.inFlightLost
	} else {
		b.nextAt = now.Add(retryInterval)
	}
	b.inFlight = 0
	b.inFlightLost = 0
}
