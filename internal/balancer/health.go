package balancer

import "time"

const (
	// ejectionBase is doubled with each failure in a row to give the time without work.
	ejectionBase = 10 * time.Millisecond
	// maxFailures bounds the doubling.
	maxFailures = 9
	// ejectedShare is the reciprocal of the largest share of a pool that may be ejected;
	// if more fail, the cause is likely not the upstreams.
	ejectedShare = 3
	// failurePenalty multiplies the cost of a failing upstream that may not be ejected.
	failurePenalty = 8.0
	// returnTime is the time in which an ejected upstream gets back to its full share.
	returnTime = time.Second
	// returnCost is added to the cost factor at the start of a return.
	returnCost = 2.0
	// onceOnlyWait is the time after a failure in which an idempotent trial is waited for.
	onceOnlyWait = 30 * time.Second
	// timeoutSlowness is the slowness from which a timeout counts as a failure of the
	// upstream; below it the deadline was too short.
	timeoutSlowness = 4.0
)

// health is the part of an upstream's state that depends on failures.
type health struct {
	failures int
	failedAt time.Time
	// retryAt is when an ejected upstream gets a trial.
	retryAt time.Time
	ejected bool
	// failedDial is set if the last failure left no doubt that the request did not run.
	failedDial bool
	// provenAt is when a probe last found the upstream healthy.
	provenAt time.Time
	// returnFrom and returnTo are the times between which the upstream gets back to its full share.
	returnFrom, returnTo time.Time
}

// maxEjected is the number of upstreams that may be ejected at a time.
func (p *Pool) maxEjected() int {
	n := len(p.upstreams)
	if n < 2 {
		return 0
	}
	return max(n/ejectedShare, 1)
}

func (p *Pool) failed(now time.Time, u *upstream) {
	u.failures = min(u.failures+1, maxFailures)
	u.failedAt = now
	u.retryAt = now.Add(ejectionBase << u.failures)
	if !u.gone && !u.ejected && p.ejected < p.maxEjected() {
		u.ejected = true
		p.ejected++
		p.doubt(u)
	}
	p.note(now, u)
}

// succeeded ends an ejection, unless the attempt began before the last failure.
func (p *Pool) succeeded(now time.Time, u *upstream, started time.Time) {
	if u.failures == 0 || started.Before(u.failedAt) {
		return
	}
	u.failures = 0
	u.retryAt = time.Time{}
	if u.ejected {
		p.restore(u)
		p.trust(u)
		u.comeBack(now, returnTime)
	}
	p.note(now, u)
}

func (p *Pool) restore(u *upstream) {
	if u.ejected {
		u.ejected = false
		p.ejected--
	}
}

// open reports whether failures leave room for the request. After an ejection
// one request goes on trial.
func (u *upstream) open(now time.Time, need Need) bool {
	if !u.ejected {
		return true
	}
	if u.inFlight > 0 || now.Before(u.retryAt) {
		return false
	}
	return need.Idempotent || u.onceOnlyTrial(now)
}

// onceOnlyTrial reports whether the trial may be a request that must not run
// twice: its failure may leave its outcome unknown, so that an idempotent one is
// better as long as one is likely to come.
func (h *health) onceOnlyTrial(now time.Time) bool {
	return h.failedDial || h.provenAt.After(h.failedAt) || now.Sub(h.failedAt) > onceOnlyWait
}

func (h *health) comeBack(now time.Time, length time.Duration) {
	h.returnFrom = now
	h.returnTo = now.Add(length)
}

// away is the part of the return that is left, from 1 to 0.
func (h *health) away(now time.Time) float64 {
	left := h.returnTo.Sub(now)
	if left <= 0 {
		return 0
	}
	return min(float64(left)/float64(h.returnTo.Sub(h.returnFrom)), 1)
}

// costFactor raises the cost of an upstream that fails or has failed not long ago.
func (h *health) costFactor(now time.Time) float64 {
	f := 1 + returnCost*h.away(now)
	if now.Before(h.retryAt) {
		f *= failurePenalty
	}
	return f
}
