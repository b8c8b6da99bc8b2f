package balancer

import "time"

const (
	// silentFactor is the multiple of a rank's tail latency after which the connection of
	// an attempt may be silent.
	silentFactor = 8
	// minSilence keeps a short stall from counting as silence in a rank with low latency.
	minSilence = 100 * time.Millisecond
	// initialSilence applies while no latency is known, unless the target of the rank is longer.
	initialSilence = time.Second
	// newConnectionAfter is the time since the last response after which a once-only request
	// gets a new connection.
	newConnectionAfter = time.Second
	// closeIdleInterval is the minimum time until the idle connections to an upstream are
	// closed again. It is also the time after a stalled attempt on a new connection in
	// which connections are not suspected again.
	closeIdleInterval = time.Second
	// suspectStalls is the number of consecutive stalls from which connections are suspect;
	// a single stall is most often a slow request.
	suspectStalls = 2
)

// silence holds the state that distinguishes silent connections from a slow upstream.
type silence struct {
	// answeredAt is when an attempt was last answered.
	answeredAt time.Time
	// answeredStart is the latest start of an attempt that was answered.
	answeredStart time.Time
	// suspectedAt is set while attempts stall and no newer one was answered. New attempts
	// then use new connections, which shows whether only the old ones are silent.
	suspectedAt time.Time
	// closeIdleAt is when the idle connections were last closed.
	closeIdleAt time.Time
	// suspectAfter is when connections may be suspected again after the attempt on a new
	// connection has stalled.
	suspectAfter time.Time
	// stalls counts the consecutive attempts that were abandoned after the tail latency.
	stalls int
	// closeIdleDue is set once an attempt on a new connection was answered while the
	// connections were suspect.
	closeIdleDue bool
}

// SilenceTimeout returns the age from which an attempt has to be checked for silence.
func (p *Pool) SilenceTimeout(a *Attempt) time.Duration {
	if a.rank.tail <= 0 {
		return max(initialSilence, a.rank.target.Duration)
	}
	return max(silentFactor*time.Duration(a.rank.tail), minSilence)
}

// Silent reports whether an attempt is overdue although a newer one on the same
// upstream was answered. It compares the age of the attempt with SilenceTimeout again,
// which may have grown since the attempt began.
func (p *Pool) Silent(now time.Time, a *Attempt) bool {
	u := a.upstream
	if now.Sub(a.started) < p.SilenceTimeout(a) {
		return false
	}
	if u.answeredStart.After(a.started) {
		return true
	}
	u.suspectConnections(now)
	return false
}

// CloseIdle reports whether the idle connections to the upstream of an attempt
// should be closed, at most once a second: if the attempt itself is silent, or if
// earlier ones stalled and an attempt on a new connection was answered.
func (p *Pool) CloseIdle(now time.Time, a *Attempt, silent bool) (Choice, bool) {
	u := a.upstream
	if !silent && !u.closeIdleDue {
		return Choice{}, false
	}
	u.closeIdleDue = false
	if !u.closeIdleAt.IsZero() && now.Sub(u.closeIdleAt) < closeIdleInterval {
		return Choice{}, false
	}
	u.closeIdleAt = now
	return Choice{Name: u.Name, Address: u.Address}, true
}

func (s *silence) recordAnswer(now, started time.Time) {
	s.answeredAt = now
	if started.After(s.answeredStart) {
		s.answeredStart = started
	}
	s.stalls = 0
	if !s.suspectedAt.IsZero() && started.After(s.suspectedAt) {
		s.suspectedAt = time.Time{}
		s.closeIdleDue = true
	}
}

// recordStall records an attempt that was abandoned after the tail latency. If it used
// a new connection, the upstream is slow rather than its connections silent.
func (s *silence) recordStall(now, started time.Time) {
	if !s.suspectedAt.IsZero() {
		if started.After(s.suspectedAt) {
			s.suspectedAt = time.Time{}
			s.stalls = 0
			s.suspectAfter = now.Add(closeIdleInterval)
		}
		return
	}
	s.stalls++
	if s.stalls >= suspectStalls {
		s.suspectConnections(now)
	}
}

func (s *silence) suspectConnections(now time.Time) {
	if !now.Before(s.suspectAfter) {
		s.suspectedAt = now
	}
}

// tryingConnection reports whether connections are suspect and an attempt on a new one
// is in flight.
func (u *upstream) tryingConnection() bool {
	return !u.suspectedAt.IsZero() && u.newest != nil && u.newest.started.After(u.suspectedAt)
}

// needsNewConnection reports whether an attempt has to use a new connection.
func (s *silence) needsNewConnection(now time.Time, requirements Requirements) bool {
	if requirements.Fresh || !s.suspectedAt.IsZero() {
		return true
	}
	return !requirements.Idempotent && (s.answeredAt.IsZero() || now.Sub(s.answeredAt) > newConnectionAfter)
}
