package balancer

import "time"

const (
	// silentFactor is the multiple of a rank's tail latency after which an attempt may be on a silent connection.
	silentFactor = 8
	// leastSilence keeps a stall of a fast rank from counting as silence.
	leastSilence = 100 * time.Millisecond
	// firstSilence applies while no latency is known, unless the target of the rank is longer.
	firstSilence = time.Second
	// freshAfter is the time since the last answer after which once-only work gets a new connection.
	freshAfter = time.Second
	// closeInterval bounds how often the idle connections to an upstream are closed.
	closeInterval = time.Second
	// suspectStalls is the number of stalls in a row that make connections suspect; a
	// single one is most often a slow request.
	suspectStalls = 2
)

// silence is what tells silent connections from a slow upstream.
type silence struct {
	answeredAt time.Time
	// answeredStart is the latest start of an attempt that was answered.
	answeredStart time.Time
	// suspectedAt is set while attempts stall and nothing newer was answered; new
	// attempts then use new connections, which shows whether only the old ones are silent.
	suspectedAt time.Time
	closedAt    time.Time
	// calmUntil is when connections may be suspected again after a trial that stalled.
	calmUntil time.Time
	// stalls counts the attempts in a row that were given up after the tail latency.
	stalls int
	// closeDue is set once a new connection was answered where older ones had stalled.
	closeDue bool
}

// SilenceAfter returns the time from its start after which an attempt should be looked at.
func (p *Pool) SilenceAfter(a *Attempt) time.Duration {
	if a.rank.tail <= 0 {
		return max(firstSilence, a.rank.target.Duration)
	}
	return max(silentFactor*time.Duration(a.rank.tail), leastSilence)
}

// Silent reports whether an attempt is overdue although a newer one on the same upstream was answered.
// Latencies learned since the attempt began may have made it early.
func (p *Pool) Silent(now time.Time, a *Attempt) bool {
	u := a.upstream
	if now.Sub(a.started) < p.SilenceAfter(a) {
		return false
	}
	if u.answeredStart.After(a.started) {
		return true
	}
	u.suspect(now)
	return false
}

// CloseIdle reports whether the idle connections to the upstream of an attempt
// should be closed, at most once a second: if the attempt itself is silent, or if
// earlier ones stalled and one on a new connection was answered.
func (p *Pool) CloseIdle(now time.Time, a *Attempt, silent bool) (Choice, bool) {
	u := a.upstream
	if !silent && !u.closeDue {
		return Choice{}, false
	}
	u.closeDue = false
	if !u.closedAt.IsZero() && now.Sub(u.closedAt) < closeInterval {
		return Choice{}, false
	}
	u.closedAt = now
	return Choice{Name: u.Name, Address: u.Address}, true
}

func (s *silence) heard(now, started time.Time) {
	s.answeredAt = now
	if started.After(s.answeredStart) {
		s.answeredStart = started
	}
	s.stalls = 0
	if !s.suspectedAt.IsZero() && started.After(s.suspectedAt) {
		s.suspectedAt = time.Time{}
		s.closeDue = true
	}
}

// stalled notes an attempt that was given up after the tail latency. If it was
// the trial of a new connection, the upstream is slow rather than its connections silent.
func (s *silence) stalled(now, started time.Time) {
	if !s.suspectedAt.IsZero() {
		if started.After(s.suspectedAt) {
			s.suspectedAt = time.Time{}
			s.stalls = 0
			s.calmUntil = now.Add(closeInterval)
		}
		return
	}
	s.stalls++
	if s.stalls >= suspectStalls {
		s.suspect(now)
	}
}

func (s *silence) suspect(now time.Time) {
	if !now.Before(s.calmUntil) {
		s.suspectedAt = now
	}
}

// onTrial reports whether connections are suspect and a new one is being tried.
func (u *upstream) onTrial() bool {
	return !u.suspectedAt.IsZero() && u.newest != nil && u.newest.started.After(u.suspectedAt)
}

// fresh reports whether a new attempt needs a new connection.
func (s *silence) fresh(now time.Time, need Need) bool {
	if need.Fresh || !s.suspectedAt.IsZero() {
		return true
	}
	return !need.Idempotent && (s.answeredAt.IsZero() || now.Sub(s.answeredAt) > freshAfter)
}
