package versioner

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

// Stream is the name of the log stream that carries the configuration.
const Stream = "Config"

// Limits of the stream's records, in bytes. Every node skips a longer record,
// so that all nodes fold the same ones.
const (
	MaxPatch      = 256 << 10
	MaxCheckpoint = 4 << 20
)

// MaxID bounds the identifier of a patch in bytes.
const MaxID = 128

// Record is one record of the stream.
type Record struct {
	Offset  uint64
	Payload []byte
}

// Request asks a peer for the records from an offset on.
type Request struct{ Next uint64 }

// Answer carries the records that were asked for or, if the peer no longer
// holds them, a checkpoint.
type Answer struct {
	Records    []Record
	Checkpoint []byte
}

// Folded is the fate of a patch that was read from the log.
type Folded struct {
	ID       string
	Actor    string
	Accepted bool
	// Stale is set if the patch was refused because of its base.
	Stale bool `json:",omitempty"`
	// Version is the one that the patch made, or the current one at its refusal.
	Version uint64
	Problem string `json:",omitempty"`
}

// Checkpoint is the state of the fold up to an offset.
type Checkpoint struct {
	Config *patcher.Config
	Recent []Folded
	// Next is the offset of the first record that is not folded in.
	Next uint64
	// At is the writer's clock; it only schedules the next checkpoint.
	At time.Time
	// Trail repeats the last records of the audit trail.
	Trail json.RawMessage `json:",omitempty"`
}

type record struct {
	Patch      *patcher.Patch `json:",omitempty"`
	Checkpoint *Checkpoint    `json:",omitempty"`
	// Mark stands for a checkpoint written at that time, in records sent to peers.
	Mark *time.Time `json:",omitempty"`
}

func encodeMark(at time.Time) []byte {
	b, err := json.Marshal(record{Mark: &at})
	if err != nil {
		return nil
	}
	return b
}

// EncodePatch returns the log record of a patch; it fails if the patch has no
// usable identifier or the record exceeds MaxPatch.
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

// EncodeCheckpoint returns the log record of a checkpoint; it fails if the record exceeds MaxCheckpoint.
func EncodeCheckpoint(c Checkpoint) ([]byte, error) {
	b, err := json.Marshal(record{Checkpoint: &c})
	if err == nil && len(b) > MaxCheckpoint {
		err = errors.Errorf("checkpoint has %d bytes, at most %d", len(b), MaxCheckpoint)
	}
	return b, err
}

// decode returns an empty record for a payload that has to be skipped.
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
		return Checkpoint{}, errors.New("not a valid checkpoint")
	}
	return *r.Checkpoint, nil
}
