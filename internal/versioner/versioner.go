package versioner

import (
	"encoding/json"
	"time"

	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

// Stream is the name of the log stream that carries the configuration.
const Stream = "Config"

// Request asks a peer for its configuration.
type Request struct{ Have uint64 }

// Answer carries a peer's configuration.
type Answer struct{ Config *patcher.Config }

// Log folds the configuration from the records of the stream.
type Log struct {
	config *patcher.Config
	next   uint64
}

// Verdict is the fate of a patch that was read from the log.
type Verdict struct {
	ID       string
	Accepted bool
	Version  uint64
	Problem  string
}

type record struct{ Patch *patcher.Patch }

// NewLog returns a log with version 0 of the configuration, which is empty.
func NewLog() *Log { return &Log{config: &patcher.Config{}} }

// Config returns the current configuration.
func (l *Log) Config() *patcher.Config { return l.config }

// Next returns the offset of the next record to read.
func (l *Log) Next() uint64 { return l.next }

// Encode returns the log record of a patch.
func Encode(p patcher.Patch) ([]byte, error) { return json.Marshal(record{Patch: &p}) }

// Fold takes one record and returns the verdict on the patch in it.
func (l *Log) Fold(_ time.Time, offset uint64, payload []byte) (Verdict, bool) {
	l.next = offset + 1
	var r record
	if err := json.Unmarshal(payload, &r); err != nil || r.Patch == nil {
		return Verdict{}, false
	}
	next, err := l.config.Apply(*r.Patch)
	if err != nil {
		return Verdict{ID: r.Patch.ID, Version: l.config.Version, Problem: err.Error()}, true
	}
	l.config = next
	return Verdict{ID: r.Patch.ID, Accepted: true, Version: next.Version}, true
}
