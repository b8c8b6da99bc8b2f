package versioner

import "time"

// Periods of the rule of fresh evidence.
const (
	// EvidencePeriod bounds the age of evidence that a version is current.
	EvidencePeriod = 2500 * time.Millisecond
	// FetchPeriod bounds the time to get a newer version that was heard of.
	FetchPeriod = time.Second
	// SilencePeriod is how long a silent entry blocks the acceptance of a patch:
	// its evidence and its time to fetch have then run out. The rest is margin.
	SilencePeriod = EvidencePeriod + FetchPeriod + 500*time.Millisecond
)

// Freshness is the evidence that a node's version is current.
type Freshness struct {
	// LogAt is a time before which every record appended is folded in.
	LogAt time.Time
	// PeersAt is a time at or after which a majority of entries was heard.
	PeersAt time.Time
	// BehindUntil ends the time to get a newer version; zero if none was heard of.
	BehindUntil time.Time
}

// ExpiresAt returns when the evidence runs out.
func (f Freshness) ExpiresAt() time.Time {
	at := f.LogAt
	if f.PeersAt.After(at) {
		at = f.PeersAt
	}
	if at.IsZero() {
		return at
	}
	at = at.Add(EvidencePeriod)
	if !f.BehindUntil.IsZero() && f.BehindUntil.Before(at) {
		at = f.BehindUntil
	}
	return at
}

// Fresh reports whether new work may be accepted.
func (f Freshness) Fresh(now time.Time) bool { return now.Before(f.ExpiresAt()) }

// Confirmation is what the node that accepts a patch knows of one entry.
type Confirmation struct {
	Name    string
	Version uint64
	// HeardAt is the latest time at which the entry is known to have run; zero if it never was.
	HeardAt time.Time
}

// Acceptance decides when an accepted version is in force everywhere.
type Acceptance struct {
	Version uint64
	// MajorityAt is when a majority was first seen to confirm.
	MajorityAt time.Time
}

// Waiting returns the entries that are still waited for; none if the version is
// in force. The confirmations cover all known entries that have not stopped.
//
// Silent entries need no confirmation once SilencePeriod has passed since a
// majority confirmed: they then lack evidence or heard of the version. The
// members of the majority have to be heard again after MajorityAt, since one
// that restarted before may have forgotten the version.
func (a *Acceptance) Waiting(now time.Time, known []Confirmation) []string {
	confirmed := 0
	again := 0
	for _, c := range known {
		if c.Version < a.Version {
			continue
		}
		confirmed++
		if !a.MajorityAt.IsZero() && c.HeardAt.After(a.MajorityAt) {
			again++
		}
	}
	if confirmed == len(known) {
		return nil
	}
	if a.MajorityAt.IsZero() && 2*confirmed > len(known) {
		a.MajorityAt = now
	}
	silentBefore := now.Add(-SilencePeriod)
	excused := 2*again > len(known) && !a.MajorityAt.After(silentBefore)
	var waiting []string
	for _, c := range known {
		silent := excused && c.HeardAt.Before(silentBefore)
		if c.Version < a.Version && !silent {
			waiting = append(waiting, c.Name)
		}
	}
	return waiting
}
