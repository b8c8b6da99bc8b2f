package auditor

import "time"

// Entry is one line of the audit trail.
type Entry struct {
	At      time.Time
	Actor   string
	Action  string
	Subject string
	Cause   string
	Version uint64
}
