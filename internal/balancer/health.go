package balancer

import "time"

const (
	// ejectionBase is the base of the ejection time, which doubles with each consecutive failure.
	ejectionBase = 10 * time.Millisecond
	// maxFailures bounds the counted consecutive failures and so the exponential backoff.
	maxFailures = 9
	// ejectedDivisor is the reciprocal of the largest share of a pool that may be
	// ejected; if more upstreams fail, the cause probably lies elsewhere.
	ejectedDivisor = 3
	// failurePenalty multiplies the cost of a failing upstream that is not ejected
	// because ejectedDivisor limits the ejections.
	failurePenalty = 8.0
	// ejectionSlowStart is the duration of the slow start after an ejection.
	ejectionSlowStart = time.Second
	// slowStartCost is added to the cost factor at the beginning of a slow start.
	slowStartCost = 2.0
	// onceOnlyTrialDelay is the time after a failure during which only an idempotent
	// request may be the trial.
	onceOnlyTrialDelay = 30 * time.Second
	// timeoutRelativeLatency is the relative latency from which a timeout counts as a
	// failure of the upstream; below it the deadline was too short.
	timeoutRelativeLatency = 4.0
)

// health is the failure, ejection and slow-start state of an upstream.
type health struct {
	// failures counts the consecutive failures, up to maxFailures.
	failures int
	failedAt time.Time
	// retryAt is when an ejected upstream gets a trial.
	retryAt time.Time
	ejected bool
	// failedDial is set if the last failure was a failed dial, so that the request
	// certainly did not run.
	failedDial bool
	// probedHealthyAt is when a probe last found the upstream healthy.
	probedHealthyAt time.Time
	// slowStartFrom and slowStartTo are the start and the end of the slow start, in which
	// the upstream gets back to its full share.
	slowStartFrom, slowStartTo time.Time
}

// maxEjected returns the number of upstreams that may be ejected at the same time.
func (p *Pool) maxEjected() int {
	n := len(p.upstreams)
	if n < 2 {
		return 0
	}
	return max(n/ejectedDivisor, 1)
}

func (p *Pool) recordFailure(now time.Time, u *upstream) {
	u.failures = min(u.failures+1, maxFailures)
	u.failedAt = now
	u.retryAt = now.Add(ejectionBase << u.failures)
	if !u.removed && !u.ejected && p.ejected < p.maxEjected() {
		u.ejected = true
		p.ejected++
		p.exclude(u)
	}
	p.recordChange(now, u)
}

// recordSuccess ends an ejection, unless the attempt began before the last failure.
func (p *Pool) recordSuccess(now time.Time, u *upstream, started time.Time) {
	if u.failures == 0 || started.Before(u.failedAt) {
		return
	}
	u.failures = 0
	u.retryAt = time.Time{}
	if u.ejected {
		p.clearEjection(u)
		p.include(u)
		u.beginSlowStart(now, ejectionSlowStart)
	}
	p.recordChange(now, u)
}

func (p *Pool) clearEjection(u *upstream) {
	if u.ejected {
		u.ejected = false
		p.ejected--
	}
}

// admits reports whether an upstream may get the request in spite of its failures. After
// its ejection time, an ejected upstream gets a single request as a trial.
func (u *upstream) admits(now time.Time, requirements Requirements) bool {
	if !u.ejected {
		return true
	}
	if u.inFlight > 0 || now.Before(u.retryAt) {
		return false
	}
	return requirements.Idempotent || u.onceOnlyTrial(now)
}

// onceOnlyTrial reports whether the trial may be a request that must not run twice.
// A failure may leave its outcome unknown, so that an idempotent request is preferred
// as long as one is likely to arrive.
func (h *health) onceOnlyTrial(now time.Time) bool {
	return h.failedDial || h.probedHealthyAt.After(h.failedAt) || now.Sub(h.failedAt) > onceOnlyTrialDelay
}

func (h *health) beginSlowStart(now time.Time, length time.Duration) {
	h.slowStartFrom = now
	h.slowStartTo = now.Add(length)
}

// slowStartLeft returns the remaining fraction of the slow start, from 1 to 0.
func (h *health) slowStartLeft(now time.Time) float64 {
	left := h.slowStartTo.Sub(now)
	if left <= 0 {
		return 0
	}
	return min(float64(left)/float64(h.slowStartTo.Sub(h.slowStartFrom)), 1)
}

// costFactor raises the cost of an upstream that fails or is in a slow start.
func (h *health) costFactor(now time.Time) float64 {
	f := 1 + slowStartCost*h.slowStartLeft(now)
	if now.Before(h.retryAt) {
		f *= failurePenalty
	}
	return f
}
