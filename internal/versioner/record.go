package versioner

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

// Stream is the name of the log stream that carries the configuration.
const Stream = "Config"

// Maximum sizes of the records in the stream, in bytes. All nodes skip longer
// records, so that all nodes fold the same ones.
const (
	MaxPatch      = 256 << 10
	MaxCheckpoint = 4 << 20
)

// MaxID is the maximum length of the identifier of a patch in bytes.
const MaxID = 128

// Record is one record of the stream.
type Record struct {
	Offset  uint64
	Payload []byte
}

// Request asks a peer for the records that start at the offset Next.
type Request struct{ Next uint64 }

// Answer holds the requested records or, if the peer no longer has them, a
// checkpoint.
type Answer struct {
	Records    []Record
	Checkpoint []byte
}

// PatchOutcome is the outcome of a patch that was read from the log.
type PatchOutcome struct {
	ID       string
	Actor    string
	Accepted bool
	// Stale is set if the base of the patch was not the current version.
	Stale bool `json:",omitempty"`
	// Version is the version that the patch created, or the current version when the
	// patch was refused.
	Version uint64
	Problem string `json:",omitempty"`
}

// Checkpoint is a snapshot of the state after all records below the offset Next.
type Checkpoint struct {
	Config *patcher.Config
	Recent []PatchOutcome
	// Next is the offset of the first record that is not included.
	Next uint64
	// At is the time on the writer's clock. It is only used to schedule the next
	// checkpoint.
	At time.Time
	// Trail holds a copy of the newest entries of the audit trail.
	Trail json.RawMessage `json:",omitempty"`
}

// record is the payload of a log record: a patch, a checkpoint or a mark.
type record struct {
	Patch      *patcher.Patch `json:",omitempty"`
	Checkpoint *Checkpoint    `json:",omitempty"`
	// Mark replaces a checkpoint in records that are sent to peers. It is the time at
	// which the checkpoint was written.
	Mark *time.Time `json:",omitempty"`
}

func encodeMark(at time.Time) []byte {
	b, err := json.Marshal(record{Mark: &at})
	if err != nil {
		return nil
	}
	return b
}

// EncodePatch returns the log record of a patch. It fails if the identifier of the
// patch is empty or longer than MaxID, or if the record exceeds MaxPatch.
func EncodePatch(p patcher.Patch) ([]byte, error) {
	if p.ID == "" || len(p.ID) > MaxID {
		return nil, errors.Errorf("patch identifier has %d bytes, want 1 to %d", len(p.ID), MaxID)
	}
	b, err := json.Marshal(record{Patch: &p})
	if err == nil && len(b) > MaxPatch {
		err = errors.Errorf("patch has %d bytes, at most %d", len(b), MaxPatch)
	}
	return b, err
}

// EncodeCheckpoint returns the log record of a checkpoint. It fails if the record
// exceeds MaxCheckpoint.
func EncodeCheckpoint(c Checkpoint) ([]byte, error) {
	b, err := json.Marshal(record{Checkpoint: &c})
	if err == nil && len(b) > MaxCheckpoint {
		err = errors.Errorf("checkpoint record has %d bytes, want at most %d", len(b), MaxCheckpoint)
	}
	return b, err
}

// decode parses a payload. It returns an empty record for a payload that must be skipped.
func decode(payload []byte) record {
	var r record
	if len(payload) > MaxCheckpoint || json.Unmarshal(payload, &r) != nil {
		return record{}
	}
	if r.Patch != nil && (len(payload) > MaxPatch || r.Patch.ID == "" || len(r.Patch.ID) > MaxID) {
		return record{}
	}
	if c := r.Checkpoint; c != nil && (c.Config == nil || len(c.Config.Check()) > 0) {
		return record{}
	}
	return r
}

// DecodeCheckpoint parses the record of a checkpoint.
func DecodeCheckpoint(payload []byte) (Checkpoint, error) {
	r := decode(payload)
	if r.Checkpoint == nil {
		return Checkpoint{}, errors.New("record is not a valid checkpoint")
	}
	return *r.Checkpoint, nil
}
