package balancer

import "time"

// Attempt is one request sent to an upstream; it holds a slot there until Finish or Release.
type Attempt struct {
	upstream   *upstream
	rank       *rankLatency
	started    time.Time
	prev, next *Attempt
	// unlinked is set once the attempt is no longer in the upstream's list of open attempts.
	unlinked bool
	// interval is the time by which the attempt delays the next one at an upstream that
	// names a rate, 0 if the upstream names none.
	interval time.Duration
	// recheck is set if the attempt may be sent only after a health check has shown that
	// the upstream no longer names a rate.
	recheck bool
	Condition
}

// Recheck reports whether the attempt must not be sent without a preflight probe.
func (a *Attempt) Recheck() bool { return a.recheck }

func (u *upstream) startAttempt(now time.Time, r *rankLatency) *Attempt {
	a := &Attempt{upstream: u, rank: r, started: now, prev: u.newest, Condition: u.conditionNow(now)}
	if u.newest != nil {
		u.newest.next = a
	} else {
		u.oldest = a
	}
	u.newest = a
	u.inFlight++
	return a
}

func (u *upstream) unlink(a *Attempt) {
	if a.prev != nil {
		a.prev.next = a.next
	} else {
		u.oldest = a.next
	}
	if a.next != nil {
		a.next.prev = a.prev
	} else {
		u.newest = a.prev
	}
	a.prev, a.next = nil, nil
}

// relativeLatency returns the time since the start of the attempt as a multiple of the
// mean latency of its rank.
func (a *Attempt) relativeLatency(now time.Time) float64 {
	if a.rank.mean <= 0 {
		return 1
	}
	return float64(now.Sub(a.started)) / float64(a.rank.mean)
}
