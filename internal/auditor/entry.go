package auditor

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Stream is the name of the log stream that holds the audit trail.
const Stream = "Audit"

// maxText is the maximum length of each text of an audit entry in bytes.
const maxText = 512

// Entry is one entry of the audit trail.
type Entry struct {
	At      time.Time
	Actor   string
	Action  string
	Subject string
	Cause   string
	Version uint64
	// Origin identifies the audit entry by its writer, incarnation and sequence.
	Origin string
}

// Batch is one record of the audit stream.
type Batch struct {
	// Lost is the number of audit entries before this batch that did not fit into the
	// buffer.
	Lost    uint64 `json:",omitempty"`
	Entries []Entry
}

// Origin returns the identifier of an audit entry.
func Origin(name string, incarnation, sequence uint64) string {
	return name + "/" + strconv.FormatUint(incarnation, 16) + "/" + strconv.FormatUint(sequence, 10)
}

// truncated returns a copy of the entry whose texts are cut off after maxText bytes.
func (e Entry) truncated() Entry {
	for _, s := range []*string{&e.Actor, &e.Action, &e.Subject, &e.Cause} {
		if len(*s) > maxText {
			*s = strings.ToValidUTF8((*s)[:maxText], "")
		}
	}
	return e
}

// Trail holds the newest audit entries that were read from the log. Its zero value is
// empty.
type Trail struct{ entries []Entry }

// maxTrail is the maximum number of entries in a Trail.
const maxTrail = 256

// Read adds the entries of a record of the stream. It skips a malformed record.
func (t *Trail) Read(payload []byte) {
	var b Batch
	if json.Unmarshal(payload, &b) != nil {
		return
	}
	t.add(b.Entries)
}

// Restore adds the entries from a checkpoint and sorts the trail by time.
func (t *Trail) Restore(payload []byte) {
	var list []Entry
	if json.Unmarshal(payload, &list) != nil {
		return
	}
	t.add(list)
	slices.SortStableFunc(t.entries, func(a, b Entry) int { return a.At.Compare(b.At) })
}

// add skips entries that are already in the trail, because a batch is appended again if
// the response to its first append was lost.
func (t *Trail) add(list []Entry) {
	for _, e := range list {
		known := slices.ContainsFunc(t.entries, func(o Entry) bool { return o.Origin == e.Origin })
		if !known {
			t.entries = append(t.entries, e.truncated())
		}
	}
	if extra := len(t.entries) - maxTrail; extra > 0 {
		t.entries = slices.Clone(t.entries[extra:])
	}
}

// Entries returns the entries, oldest first.
func (t *Trail) Entries() []Entry { return slices.Clone(t.entries) }

// Last returns the newest entries in the encoding that Restore reads.
func (t *Trail) Last(count int) []byte {
	list := t.entries[max(0, len(t.entries)-count):]
	payload, err := json.Marshal(list)
	if err != nil {
		return nil
	}
	return payload
}
