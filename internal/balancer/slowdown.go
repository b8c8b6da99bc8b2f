package balancer

import (
	"math"
	"time"
)

// SlowThreshold is the slowdown from which an upstream is skipped by requests that can
// wait for another one.
const SlowThreshold = 1.6

const (
	// slowdownDecay is the time in which the weight of an upstream's reported slowdown decays to 1/e.
	slowdownDecay = 120 * time.Millisecond
	// slowdownWeight is the weight of a new report in the mean slowdown.
	slowdownWeight = 0.02
	// freshReport is the age up to which a report makes a preflight probe unnecessary.
	freshReport = 15 * time.Millisecond
	// slowSkipPeriod and fullSkipPeriod are how long an upstream that was reported
	// slow or full is skipped without another probe. A slow phase lasts longer than
	// it takes another entry's request to free a slot. Neither is shorter than
	// freshReport, or an upstream known to be full would get requests without a probe.
	slowSkipPeriod = 30 * time.Millisecond
	fullSkipPeriod = freshReport
	// fullWeight is the weight of a new preflight probe in the share of those that
	// found the upstream full.
	fullWeight = 0.1
	// mostlyFullShare is the share of probes that found the upstream full above which a
	// request that is sent without a probe most likely reaches a full upstream, and is
	// queued there or lost.
	mostlyFullShare = 0.6
	// maxWithoutSlowdown is the number of reports without a slowdown after which the
	// upstreams of a pool are assumed not to report any.
	maxWithoutSlowdown = 3
	// probePenalty multiplies the expected slowdown of an upstream that failed to answer a probe.
	probePenalty = 4.0
	// probePenaltyPeriod is how long probePenalty applies.
	probePenaltyPeriod = 300 * time.Millisecond
)

func (p *Pool) observe(now time.Time, u *upstream, r Report) {
	u.observe(now, r)
	switch {
	case r.Pace <= 0:
		p.withoutSlowdown++
	case p.meanSlowdown == 0:
		p.meanSlowdown = r.Pace
	default:
		p.meanSlowdown += (r.Pace - p.meanSlowdown) * slowdownWeight
	}
}

// ReportsSlowdown reports whether upstreams of the pool report their slowdown.
func (p *Pool) ReportsSlowdown() bool { return p.meanSlowdown > 0 }

// expectedSlowdown returns the last reported slowdown of an upstream, which decays to the mean.
func (p *Pool) expectedSlowdown(now time.Time, u *upstream) float64 {
	if p.meanSlowdown == 0 {
		return 1
	}
	expected := p.meanSlowdown
	if u.slowdown > 0 {
		expected += (u.slowdown - p.meanSlowdown) * math.Exp(-now.Sub(u.slowdownAt).Seconds()/slowdownDecay.Seconds())
	}
	if !u.probeFailedAt.IsZero() && now.Sub(u.probeFailedAt) < probePenaltyPeriod {
		expected *= probePenalty
	}
	return expected
}

// NeedsProbe reports whether a preflight probe should precede the attempt, since there is
// no recent report of the upstream's load or it may name a rate of which this entry has
// no share. Otherwise it reports false if the upstreams of the pool don't report their
// slowdown.
func (p *Pool) NeedsProbe(now time.Time, a *Attempt) bool {
	u := a.upstream
	return a.recheck || (p.ReportsSlowdown() || p.withoutSlowdown < maxWithoutSlowdown) && now.Sub(u.reportedAt) >= freshReport
}

// Suitable reports whether the preflight probe of an attempt found the upstream able
// to serve at once, with a slowdown below maxSlowdown. One that began to leave or asked for
// a pause during the probe is not, nor one that names a rate if the attempt has no share of
// it: the entry has none, or did not know of the rate before the probe.
func (p *Pool) Suitable(now time.Time, a *Attempt, maxSlowdown float64) bool {
	u := a.upstream
	if u.limited && a.interval == 0 {
		return false
	}
	return !u.leaving() && !now.Before(u.pausedUntil) && p.hasFreeSlot(u) && u.slowdown < maxSlowdown
}

// RecordPreflightProbe records whether the preflight probe of an attempt found the upstream full;
// a probe without a response counts as if it had.
func (p *Pool) RecordPreflightProbe(a *Attempt, answered bool) {
	sample := 0.0
	if !answered || !p.hasFreeSlot(a.upstream) {
		sample = 1
	}
	p.fullShare += (sample - p.fullShare) * fullWeight
}

// hasFreeSlot reports whether the last report of an upstream showed a slot to use.
func (p *Pool) hasFreeSlot(u *upstream) bool { return u.running < p.usableSlots(u) }

// HadFreeSlot reports whether the upstream of an attempt reported a free slot, so that a
// refusal does not mean that it is full.
func (p *Pool) HadFreeSlot(a *Attempt) bool {
	return !a.upstream.reportedAt.IsZero() && p.hasFreeSlot(a.upstream)
}

// MostlyFull reports whether most of the recent preflight probes found no free slot. A
// failed probe says nothing about upstreams that never reported their load.
func (p *Pool) MostlyFull() bool { return p.ReportsSlowdown() && p.fullShare > mostlyFullShare }

// RecordProbeWithoutLoad records a probe whose response contained no load report.
func (p *Pool) RecordProbeWithoutLoad() { p.withoutSlowdown++ }

// skipped reports whether an upstream was recently reported full or too slow.
func (p *Pool) skipped(now time.Time, u *upstream, maxSlowdown float64) bool {
	if u.slowdown <= 0 {
		return false
	}
	age := now.Sub(u.slowdownAt)
	return !p.hasFreeSlot(u) && age < fullSkipPeriod || u.slowdown >= maxSlowdown && age < slowSkipPeriod
}

// Release releases the slot of an attempt that was not sent.
func (p *Pool) Release(a *Attempt) {
	a.upstream.inFlight--
	a.unlinked = true
	a.upstream.unlink(a)
	a.upstream.returnShare(a)
}

// ProbeFailed records that an upstream did not answer a probe in time.
func (p *Pool) ProbeFailed(now time.Time, name string) {
	if u, ok := p.byName[name]; ok {
		u.probeFailedAt = now
	}
}
