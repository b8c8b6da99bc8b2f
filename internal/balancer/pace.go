package balancer

import (
	"math"
	"time"
)

const (
	// paceLife is the time in which knowledge of an upstream's pace falls to 1/e.
	paceLife = 120 * time.Millisecond
	// paceWeight is the weight of a new report in the mean pace.
	paceWeight = 0.02
	// slowPace is the pace from which work that can wait a moment goes elsewhere.
	slowPace = 1.6
	// freshReport is the age up to which a report makes a probe needless.
	freshReport = 15 * time.Millisecond
	// slowKnown and fullKnown are how long an upstream that was found slow or full
	// is passed over without another look. A slow phase lasts longer than a
	// request of others takes to free a slot. Neither is shorter than freshReport,
	// or an upstream known to be full would get work without a look.
	slowKnown = 30 * time.Millisecond
	fullKnown = freshReport
	// fullWeight is the weight of a new look in the share of looks that found an upstream full.
	fullWeight = 0.1
	// crammedShare is the share from which work that is sent without a look most
	// likely meets a full upstream, and adds to its queue or is lost.
	crammedShare = 0.6
	// maxUntold is the number of reports without a pace after which a pool counts
	// as one whose upstreams tell none.
	maxUntold = 3
	// probePenalty keeps work from an upstream that failed to answer a probe.
	probePenalty = 4.0
	// probePenaltyLife is how long that lasts.
	probePenaltyLife = 300 * time.Millisecond
)

func (p *Pool) observe(now time.Time, u *upstream, r Report) {
	u.observe(now, r)
	switch {
	case r.Pace <= 0:
		p.untold++
	case p.meanPace == 0:
		p.meanPace = r.Pace
	default:
		p.meanPace += (r.Pace - p.meanPace) * paceWeight
	}
}

// TellsPace reports whether upstreams of the pool tell their pace.
func (p *Pool) TellsPace() bool { return p.meanPace > 0 }

// paceNow is the expected pace of an upstream: the last one told, which fades to the mean.
func (p *Pool) paceNow(now time.Time, u *upstream) float64 {
	if p.meanPace == 0 {
		return 1
	}
	expected := p.meanPace
	if u.pace > 0 {
		expected += (u.pace - p.meanPace) * math.Exp(-now.Sub(u.pacedAt).Seconds()/paceLife.Seconds())
	}
	if !u.probeFailedAt.IsZero() && now.Sub(u.probeFailedAt) < probePenaltyLife {
		expected *= probePenalty
	}
	return expected
}

// Unsure reports whether a probe should precede the attempt, since nothing
// recent is known of the upstream's pace.
func (p *Pool) Unsure(now time.Time, a *Attempt) bool {
	u := a.upstream
	return (p.TellsPace() || p.untold < maxUntold) && now.Sub(u.reportedAt) >= freshReport
}

// Suits reports whether the probe that preceded an attempt found the upstream
// able to serve at once; a request that is late in any case may go to a slow one.
func (p *Pool) Suits(a *Attempt, anyPace bool) bool {
	u := a.upstream
	return u.running < p.usableSlots(u) && (anyPace || u.pace < slowPace)
}

// Screened takes the result of a probe that preceded an attempt.
func (p *Pool) Screened(a *Attempt, answered bool) {
	sample := 0.0
	if !answered || a.upstream.running >= p.usableSlots(a.upstream) {
		sample = 1
	}
	p.fullShare += (sample - p.fullShare) * fullWeight
}

// Crammed reports whether most upstreams that were looked at lately had no free
// slot. Of upstreams that never told their load, a failed probe tells nothing.
func (p *Pool) Crammed() bool { return p.TellsPace() && p.fullShare > crammedShare }

// Untold notes a probe whose answer told no load.
func (p *Pool) Untold() { p.untold++ }

// shunned reports whether an upstream was found slow or full a moment ago.
func (p *Pool) shunned(now time.Time, u *upstream, anyPace bool) bool {
	if u.pace <= 0 {
		return false
	}
	age := now.Sub(u.pacedAt)
	return u.running >= p.usableSlots(u) && age < fullKnown || !anyPace && u.pace >= slowPace && age < slowKnown
}

// Release gives back the slot of an attempt that was not sent.
func (p *Pool) Release(a *Attempt) {
	a.upstream.inFlight--
	a.answered = true
	a.upstream.unlink(a)
}

// ProbeFailed notes that an upstream did not answer a probe in time.
func (p *Pool) ProbeFailed(now time.Time, name string) {
	if u, ok := p.byName[name]; ok {
		u.probeFailedAt = now
	}
}
