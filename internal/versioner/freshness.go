package versioner

import "time"

// Time limits for the evidence that a version is current.
const (
	// EvidenceTTL is the maximum age of evidence that a version is current.
	EvidenceTTL = 2500 * time.Millisecond
	// FetchTimeout is the maximum time to fetch a newer version after a node learns
	// that it exists.
	FetchTimeout = time.Second
	// SilencePeriod is how long a silent entry delays the acceptance of a patch.
	// After it, the evidence of the entry and its time to fetch the version have
	// expired. The remaining 500 ms are margin.
	SilencePeriod = EvidenceTTL + FetchTimeout + 500*time.Millisecond
)

// Freshness is the evidence that a node's version is current.
type Freshness struct {
	// LogAt is a time such that all records appended before it have been folded.
	LogAt time.Time
	// PeersAt is a time such that a majority of entries was heard from at or after it.
	PeersAt time.Time
	// BehindUntil is the deadline to fetch a newer version. It is zero if no newer
	// version is known.
	BehindUntil time.Time
}

// ExpiresAt returns the expiry time of the evidence, zero if there is none.
func (f Freshness) ExpiresAt() time.Time {
	at := f.LogAt
	if f.PeersAt.After(at) {
		at = f.PeersAt
	}
	if at.IsZero() {
		return at
	}
	at = at.Add(EvidenceTTL)
	if !f.BehindUntil.IsZero() && f.BehindUntil.Before(at) {
		at = f.BehindUntil
	}
	return at
}

// Fresh reports whether new work may be accepted.
func (f Freshness) Fresh(now time.Time) bool { return now.Before(f.ExpiresAt()) }

// Confirmation is what the node that accepts a patch knows about one entry.
type Confirmation struct {
	Name    string
	Version uint64
	// HeardAt is the latest time at which the entry is known to have been running.
	// It is zero if the entry was never heard from.
	HeardAt time.Time
}

// Acceptance decides when an accepted version is in force on all entries.
type Acceptance struct {
	Version uint64
	// MajorityAt is when a majority of entries was first known to have confirmed.
	MajorityAt time.Time
}

// Unconfirmed returns the entries whose confirmation is missing, or none if the version
// is in force. The confirmations must cover all known entries that have not stopped.
//
// Silent entries need not confirm once SilencePeriod has passed since a majority
// confirmed: by then their evidence has expired or they have learned of the version.
// The members of the majority must be heard from again after MajorityAt, because a
// member that restarted before that time may have lost the version.
func (a *Acceptance) Unconfirmed(now time.Time, known []Confirmation) []string {
	confirmed := 0
	heardAgain := 0
	for _, c := range known {
		if c.Version < a.Version {
			continue
		}
		confirmed++
		if !a.MajorityAt.IsZero() && c.HeardAt.After(a.MajorityAt) {
			heardAgain++
		}
	}
	if confirmed == len(known) {
		return nil
	}
	if a.MajorityAt.IsZero() && 2*confirmed > len(known) {
		a.MajorityAt = now
	}
	silentBefore := now.Add(-SilencePeriod)
	skipSilent := 2*heardAgain > len(known) && !a.MajorityAt.After(silentBefore)
	var unconfirmed []string
	for _, c := range known {
		silent := skipSilent && c.HeardAt.Before(silentBefore)
		if c.Version < a.Version && !silent {
			unconfirmed = append(unconfirmed, c.Name)
		}
	}
	return unconfirmed
}
