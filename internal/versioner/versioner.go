package versioner

import (
	"slices"
	"time"

	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

// Bounds of the memory of the fold.
const (
	maxRecent    = 512
	maxTail      = 64
	maxTailBytes = 256 << 10
	maxGapBytes  = 8 << 20
)

// Log folds the configuration from the records of the stream.
type Log struct {
	config *patcher.Config
	next   uint64
	recent []Folded
	byID   map[string]Folded
	// tail holds the last folded records, which end at next.
	tail      []Record
	tailBytes int
	gap       *gap
	// adopted is set once the state came from a checkpoint.
	adopted bool
	// checkpointNext is the offset up to which the last checkpoint read is folded.
	checkpointNext uint64

	// CheckpointAt is the time of the last checkpoint read, zero if none was.
	CheckpointAt time.Time
	// SinceCheckpoint counts the patches folded since then.
	SinceCheckpoint int
	// Trail is the part of the audit trail in the last checkpoint read.
	Trail []byte
}

// gap holds the records read after some that had expired unread.
type gap struct {
	start   uint64
	end     uint64
	records []Record
	bytes   int
}

// NewLog returns a log with version 0 of the configuration, which is empty.
func NewLog() *Log { return &Log{config: &patcher.Config{}, byID: make(map[string]Folded)} }

// Config returns the current configuration.
func (l *Log) Config() *patcher.Config { return l.config }

// Folded returns the offset after the last record that was folded.
func (l *Log) Folded() uint64 { return l.next }

// Gap reports whether records expired before they were read and no checkpoint
// that covers them was found yet.
func (l *Log) Gap() bool { return l.gap != nil }

// Next returns the offset of the next record to read.
func (l *Log) Next() uint64 {
	if l.gap != nil {
		return max(l.gap.end, l.next)
	}
	return l.next
}

// Find returns the fate of a patch, if it is among the last ones folded.
func (l *Log) Find(id string) (Folded, bool) {
	f, ok := l.byID[id]
	return f, ok
}

// Read takes a page of the stream and returns the patches folded from it. First
// is the oldest offset that the log still keeps.
func (l *Log) Read(first uint64, records []Record) []Folded {
	if first > l.Next() {
		l.gap = &gap{start: first, end: first}
	}
	var out []Folded
	for _, r := range records {
		if r.Offset < l.Next() {
			continue
		}
		if r.Offset > l.Next() {
			l.gap = &gap{start: r.Offset, end: r.Offset}
		}
		if l.gap != nil {
			out = append(out, l.readGap(r)...)
			continue
		}
		out = append(out, l.fold(r)...)
	}
	return out
}

// readGap keeps a record until a checkpoint is found whose later records were all read.
func (l *Log) readGap(r Record) []Folded {
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

// Adopt takes over a later state of the fold and returns the patches folded on
// top of it. An earlier state, or one with an earlier version, changes nothing.
func (l *Log) Adopt(c Checkpoint) []Folded {
	if c.Next <= l.next || c.Config.Version < l.config.Version {
		return nil
	}
	l.config = c.Config
	l.next = c.Next
	l.adopted = true
	l.recent = nil
	clear(l.byID)
	for _, f := range c.Recent {
		l.remember(f)
	}
	l.tail = nil
	l.tailBytes = 0
	l.sawCheckpoint(&c)
	return l.closeGap()
}

// Join folds records that a peer holds, as far as they continue the own ones.
func (l *Log) Join(records []Record) []Folded {
	var out []Folded
	for _, r := range records {
		if r.Offset == l.next {
			out = append(out, l.fold(r)...)
		}
	}
	return append(out, l.closeGap()...)
}

// closeGap folds the records read after a gap once the state reaches up to them.
func (l *Log) closeGap() []Folded {
	if l.gap == nil || l.next < l.gap.start {
		return nil
	}
	held := l.gap.records
	l.gap = nil
	var out []Folded
	for _, r := range held {
		if r.Offset >= l.next {
			out = append(out, l.fold(r)...)
		}
	}
	return out
}

// sawCheckpoint ignores a checkpoint that is older than the last one.
func (l *Log) sawCheckpoint(c *Checkpoint) {
	if c.Next <= l.checkpointNext {
		return
	}
	l.checkpointNext = c.Next
	l.CheckpointAt = c.At
	l.SinceCheckpoint = 0
	l.Trail = c.Trail
}

// fold takes the record at next.
func (l *Log) fold(r Record) []Folded {
	l.next = r.Offset + 1
	rec := decode(r.Payload)
	l.keep(r, rec)
	if rec.Checkpoint != nil && rec.Checkpoint.Next <= r.Offset {
		l.sawCheckpoint(rec.Checkpoint)
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
	f := l.apply(*rec.Patch)
	l.remember(f)
	return []Folded{f}
}

func (l *Log) apply(p patcher.Patch) Folded {
	f := Folded{ID: p.ID, Actor: p.Actor, Version: l.config.Version, Stale: p.Base != l.config.Version}
	next, err := l.config.Apply(p)
	if err != nil {
		f.Problem = err.Error()
		return f
	}
	l.config = next
	f.Accepted = true
	f.Version = next.Version
	return f
}

func (l *Log) remember(f Folded) {
	l.recent = append(l.recent, f)
	l.byID[f.ID] = f
	if len(l.recent) > maxRecent {
		delete(l.byID, l.recent[0].ID)
		l.recent = slices.Clone(l.recent[1:])
	}
}

// keep holds the record for peers. A checkpoint changes nothing for a peer that
// folds in order, so that a mark stands for it.
func (l *Log) keep(r Record, rec record) {
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

// Since returns the folded records from an offset on; it reports false if they
// are no longer held or exceed a size in bytes.
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

// Checkpoint returns the state of the fold.
func (l *Log) Checkpoint(now time.Time, trail []byte) Checkpoint {
	return Checkpoint{Config: l.config, Recent: slices.Clone(l.recent), Next: l.next, At: now, Trail: trail}
}

// Configured reports whether the log holds a state: one that was folded from
// the first record on, or one that was adopted.
func (l *Log) Configured() bool { return l.adopted || l.next > 0 }
