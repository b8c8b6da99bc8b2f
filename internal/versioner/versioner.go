package versioner

import (
	"slices"
	"time"

	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

// Limits of the memory of a Log: the numbers of recent patches and of records in the
// tail, and the bytes of the tail and of the records after a gap.
const (
	maxRecent    = 512
	maxTail      = 64
	maxTailBytes = 256 << 10
	maxGapBytes  = 8 << 20
)

// Log folds the records of the stream into the configuration.
type Log struct {
	config *patcher.Config
	// next is the offset after the last folded record.
	next uint64
	// recent contains the outcomes of the newest patches, and byID maps their identifiers
	// to them.
	recent []PatchOutcome
	byID   map[string]PatchOutcome
	// tail holds the newest folded records, up to next.
	tail      []Record
	tailBytes int
	gap       *gap
	// restored is set once the state was replaced by that of a checkpoint.
	restored bool
	// checkpointNext is Next of the newest checkpoint read.
	checkpointNext uint64

	// CheckpointAt is the time of the newest checkpoint read. It is zero if there is
	// none.
	CheckpointAt time.Time
	// SinceCheckpoint is the number of patches folded since that checkpoint.
	SinceCheckpoint int
	// Trail is the copy of the audit trail in the newest checkpoint read.
	Trail []byte
}

// gap buffers the records read after a gap, that is after records that expired in the
// log before they were read.
type gap struct {
	// start is the offset from which all records are buffered, end the offset after the last one.
	start   uint64
	end     uint64
	records []Record
	// bytes is the total size of the buffered records.
	bytes int
}

// NewLog returns a log with version 0 of the configuration, which is empty.
func NewLog() *Log { return &Log{config: &patcher.Config{}, byID: make(map[string]PatchOutcome)} }

// Config returns the current configuration.
func (l *Log) Config() *patcher.Config { return l.config }

// FoldedOffset returns the offset after the last folded record.
func (l *Log) FoldedOffset() uint64 { return l.next }

// Gap reports whether records expired before they were read and no checkpoint that
// covers them has been found yet.
func (l *Log) Gap() bool { return l.gap != nil }

// Next returns the offset of the next record to read.
func (l *Log) Next() uint64 {
	if l.gap != nil {
		return max(l.gap.end, l.next)
	}
	return l.next
}

// Find returns the outcome of a patch, if it is among the maxRecent newest ones.
func (l *Log) Find(id string) (PatchOutcome, bool) {
	o, ok := l.byID[id]
	return o, ok
}

// Read folds a page of the stream and returns the outcomes of its patches. The
// parameter first is the oldest offset that the log retains.
func (l *Log) Read(first uint64, records []Record) []PatchOutcome {
	if first > l.Next() {
		l.gap = &gap{start: first, end: first}
	}
	var out []PatchOutcome
	for _, r := range records {
		if r.Offset < l.Next() {
			continue
		}
		if r.Offset > l.Next() {
			l.gap = &gap{start: r.Offset, end: r.Offset}
		}
		if l.gap != nil {
			out = append(out, l.readAfterGap(r)...)
			continue
		}
		out = append(out, l.fold(r)...)
	}
	return out
}

// readAfterGap buffers a record until a checkpoint is found that closes the gap: all
// records after the state in the checkpoint must have been read.
func (l *Log) readAfterGap(r Record) []PatchOutcome {
	g := l.gap
	g.end = r.Offset + 1
	g.records = append(g.records, r)
	g.bytes += len(r.Payload)
	for g.bytes > maxGapBytes {
		g.bytes -= len(g.records[0].Payload)
		g.start = g.records[0].Offset + 1
		g.records = g.records[1:]
	}
	if c := decode(r.Payload).Checkpoint; c != nil && c.Next >= g.start && c.Next <= r.Offset {
		return l.Adopt(*c)
	}
	return nil
}

// Adopt replaces the state by that of a later checkpoint and returns the outcomes of
// the patches folded after it. It ignores a checkpoint with an earlier offset or
// version.
func (l *Log) Adopt(c Checkpoint) []PatchOutcome {
	if c.Next <= l.next || c.Config.Version < l.config.Version {
		return nil
	}
	l.config = c.Config
	l.next = c.Next
	l.restored = true
	l.recent = nil
	clear(l.byID)
	for _, o := range c.Recent {
		l.addRecent(o)
	}
	l.tail = nil
	l.tailBytes = 0
	l.recordCheckpoint(&c)
	return l.closeGap()
}

// Join folds records from a peer that directly follow the last folded record.
func (l *Log) Join(records []Record) []PatchOutcome {
	var out []PatchOutcome
	for _, r := range records {
		if r.Offset == l.next {
			out = append(out, l.fold(r)...)
		}
	}
	return append(out, l.closeGap()...)
}

// closeGap folds the records buffered after a gap once the state covers the gap.
func (l *Log) closeGap() []PatchOutcome {
	if l.gap == nil || l.next < l.gap.start {
		return nil
	}
	buffered := l.gap.records
	l.gap = nil
	var out []PatchOutcome
	for _, r := range buffered {
		if r.Offset >= l.next {
			out = append(out, l.fold(r)...)
		}
	}
	return out
}

// recordCheckpoint updates the values of the newest checkpoint read. It ignores an older
// checkpoint.
func (l *Log) recordCheckpoint(c *Checkpoint) {
	if c.Next <= l.checkpointNext {
		return
	}
	l.checkpointNext = c.Next
	l.CheckpointAt = c.At
	l.SinceCheckpoint = 0
	l.Trail = c.Trail
}

// fold applies a record and advances next. It returns the outcome if the record is a patch
// that was not folded before.
func (l *Log) fold(r Record) []PatchOutcome {
	l.next = r.Offset + 1
	rec := decode(r.Payload)
	l.appendTail(r, rec)
	if rec.Checkpoint != nil && rec.Checkpoint.Next <= r.Offset {
		l.recordCheckpoint(rec.Checkpoint)
	}
	if rec.Mark != nil {
		l.CheckpointAt = *rec.Mark
		l.SinceCheckpoint = 0
	}
	if rec.Patch == nil {
		return nil
	}
	if _, ok := l.byID[rec.Patch.ID]; ok {
		return nil
	}
	l.SinceCheckpoint++
	o := l.apply(*rec.Patch)
	l.addRecent(o)
	return []PatchOutcome{o}
}

func (l *Log) apply(p patcher.Patch) PatchOutcome {
	o := PatchOutcome{ID: p.ID, Actor: p.Actor, Version: l.config.Version, Stale: p.Base != l.config.Version}
	next, err := l.config.Apply(p)
	if err != nil {
		o.Problem = err.Error()
		return o
	}
	l.config = next
	o.Accepted = true
	o.Version = next.Version
	return o
}

func (l *Log) addRecent(o PatchOutcome) {
	l.recent = append(l.recent, o)
	l.byID[o.ID] = o
	if len(l.recent) > maxRecent {
		delete(l.byID, l.recent[0].ID)
		l.recent = slices.Clone(l.recent[1:])
	}
}

// appendTail keeps the record for peers. A checkpoint does not change the state of a
// peer that folds in order, so a mark replaces it.
func (l *Log) appendTail(r Record, rec record) {
	switch {
	case rec.Checkpoint != nil:
		r.Payload = encodeMark(rec.Checkpoint.At)
	case rec.Patch == nil && rec.Mark == nil:
		r.Payload = nil
	}
	l.tail = append(l.tail, r)
	l.tailBytes += len(r.Payload)
	for len(l.tail) > maxTail || l.tailBytes > maxTailBytes {
		l.tailBytes -= len(l.tail[0].Payload)
		l.tail = slices.Clone(l.tail[1:])
	}
}

// Since returns the folded records that start at the given offset. It reports false
// if they are no longer in the tail or exceed the given size in bytes.
func (l *Log) Since(offset uint64, size int) ([]Record, bool) {
	if offset >= l.next || len(l.tail) == 0 || offset < l.tail[0].Offset {
		return nil, false
	}
	i, _ := slices.BinarySearchFunc(l.tail, offset, func(r Record, o uint64) int { return int(int64(r.Offset - o)) })
	out := l.tail[i:]
	total := 0
	for _, r := range out {
		total += len(r.Payload)
	}
	return out, total <= size
}

// Checkpoint returns a checkpoint of the current state.
func (l *Log) Checkpoint(now time.Time, trail []byte) Checkpoint {
	return Checkpoint{Config: l.config, Recent: slices.Clone(l.recent), Next: l.next, At: now, Trail: trail}
}

// Configured reports whether the log has a state that was folded from records or
// adopted from a checkpoint.
func (l *Log) Configured() bool { return l.restored || l.next > 0 }
