package balancer

import "time"

const (
	// silentFactor is the multiple of a rank's tail latency after which an attempt may be on a silent connection.
	silentFactor = 8
	// leastSilence keeps a stall of a fast rank from counting as silence.
	leastSilence = 100 * time.Millisecond
	// firstSilence applies while no latency is known.
	firstSilence = time.Second
	// freshAfter is the time since the last answer after which once-only work gets a new connection.
	freshAfter = time.Second
	// closeInterval bounds how often the idle connections to an upstream are closed.
	closeInterval = time.Second
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
}

// SilenceAfter returns the time from its start after which an attempt should be looked at.
func (p *Pool) SilenceAfter(a *Attempt) time.Duration {
	if a.rank.tail <= 0 {
		return firstSilence
	}
	return max(silentFactor*time.Duration(a.rank.tail), leastSilence)
}

// Silent reports whether an attempt is overdue although a newer one on the same upstream was answered.
func (p *Pool) Silent(now time.Time, a *Attempt) bool {
	u := a.upstream
	if u.answeredStart.After(a.started) {
		return true
	}
	u.suspectedAt = now
	return false
}

// CloseIdle reports whether the idle connections to the upstream of a silent
// attempt should be closed; it does so at most once a second.
func (p *Pool) CloseIdle(now time.Time, a *Attempt) (Choice, bool) {
	u := a.upstream
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
	if started.After(s.suspectedAt) {
		s.suspectedAt = time.Time{}
	}
}

// fresh reports whether a new attempt needs a new connection.
func (s *silence) fresh(now time.Time, need Need) bool {
	if need.Fresh || !s.suspectedAt.IsZero() {
		return true
	}
	return !need.Idempotent && (s.answeredAt.IsZero() || now.Sub(s.answeredAt) > freshAfter)
}
