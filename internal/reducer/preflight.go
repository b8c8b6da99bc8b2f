package reducer

import (
	"math"
	"time"

	"github.com/azuretrestle/azuretrestle/internal/balancer"
	"github.com/azuretrestle/azuretrestle/pkg/classifier"
)

const (
	// preflightTimeout is the timeout of a probe that precedes an attempt.
	preflightTimeout = 25 * time.Millisecond
	// maxPreflights limits the upstreams that are probed for a request before it
	// waits for another upstream; maxTotalPreflights limits the probes of one
	// request in all.
	maxPreflights      = 3
	maxTotalPreflights = 9
	// slowProbeInterval is the interval between further probes of a request that waits
	// after maxTotalPreflights, until it misses its target.
	slowProbeInterval = 16 * time.Millisecond
	// recheckInterval is the interval at which waiting requests look for an upstream again.
	recheckInterval = 8 * time.Millisecond
	// minRetryDelay is the minimum delay after which a caller may retry if all
	// upstreams were full. A random delay of up to 1/retrySpreadDivisor of the
	// latency target is added to spread the retries.
	minRetryDelay      = 100 * time.Millisecond
	retrySpreadDivisor = 2
	// shedRetryDelay is the delay after which a caller may retry a request that upstreams
	// refused although they reported free slots. Waiting longer would not help it.
	shedRetryDelay = 5 * time.Millisecond
	// probeBurstSeconds is the capacity of the probe token bucket, in seconds of its rate.
	probeBurstSeconds = 2
)

// preflightState is the state of the probes that precede a request's attempts.
type preflightState struct {
	// pending is the chosen upstream whose probe is in flight, nil if there is none.
	pending *balancer.Choice
	// hedged is set if pending is for a hedged attempt.
	hedged bool
	// preflights counts the probes since the request last waited, totalPreflights all of them.
	preflights      int
	totalPreflights int
	// probeAgainAt is when a request that has used up its probes may cause another one.
	probeAgainAt time.Time
	// unsuitable names the upstreams that the probes found slow or full.
	unsuitable []string
}

// preflight dispatches a request to an upstream, after a probe if there is no
// recent report of the upstream's load. A slowdown lasts longer than a probe, and a
// request that must not run twice can't be retried elsewhere once a slow upstream has
// it. It reports false if the request was queued again because it can't be sent
// without a probe.
func (n *Node) preflight(r *request, c balancer.Choice) bool {
	s := r.service
	hedged := r.openAttempts() > 0
	if n.Managed == nil || !s.pool.NeedsProbe(n.now, c.Attempt) {
		n.launch(r, c, hedged)
		return true
	}
	exhausted := r.totalPreflights >= maxTotalPreflights && (!n.usedUpProbes(r) || n.missesTarget(r))
	if exhausted || !s.takeProbeToken() {
		return n.skipPreflight(r, c, hedged, exhausted)
	}
	r.pending = &c
	r.hedged = hedged
	r.preflights++
	r.totalPreflights++
	if r.totalPreflights >= maxTotalPreflights {
		r.preflights = maxPreflights
		r.probeAgainAt = n.now.Add(slowProbeInterval)
	}
	n.emit(Probe{
		Request: r.id, Service: s.config.Name, Upstream: c.Name, Address: c.Address, Born: c.Born, Connections: c.Connections,
		Path: s.config.ProbePath, Deadline: n.now.Add(preflightTimeout),
	})
	return true
}

// skipPreflight handles an attempt that can't be preceded by a probe, because the
// request has used up its probes (exhausted) or the entry its probe budget. The
// attempt is sent unless most upstreams are full: it would only lengthen their
// queues, and requests that are lost there are retried and add load. One that has no
// share of the rate of its upstream, or whose upstream was last reported too slow for the
// deadline, is not sent either. It reports false if the request was queued again.
func (n *Node) skipPreflight(r *request, c balancer.Choice, hedged, exhausted bool) bool {
	recheck := c.Attempt.Recheck()
	tooSlow := c.Attempt.Pace >= n.deadlineSlowdown(r)
	if !recheck && !tooSlow && !r.service.pool.MostlyFull() {
		n.launch(r, c, hedged)
		return true
	}
	r.service.pool.Release(c.Attempt)
	switch {
	case hedged:
	case recheck, tooSlow:
		if tooSlow && exhausted {
			r.totalPreflights = 0
		}
		n.requeue(r)
		return false
	case exhausted && len(r.attempts) == 0:
		n.refuseSaturated(r)
	default:
		if exhausted {
			r.totalPreflights = 0
		}
		n.requeue(r)
		return false
	}
	return true
}

// usedUpProbes reports whether a request has used up its probes while most upstreams are
// full.
func (n *Node) usedUpProbes(r *request) bool {
	return r.totalPreflights >= maxTotalPreflights && len(r.attempts) == 0 && r.service.pool.MostlyFull()
}

// waitsForReport reports whether a request that has used up its probes has to wait before
// it causes another one. Until then it goes only to an upstream that has just reported a
// free slot with another response.
func (n *Node) waitsForReport(r *request) bool {
	return n.usedUpProbes(r) && n.now.Before(r.probeAgainAt)
}

// refuseSaturated refuses a request that found no free slot. The caller is told to
// retry after a random delay that depends on the latency target, so that callers do
// not all retry at once.
func (n *Node) refuseSaturated(r *request) {
	spread := max(int64(r.rank.Target.Duration/retrySpreadDivisor), 1)
	r.retryAt = n.now.Add(minRetryDelay + time.Duration(n.random.Int64N(spread)))
	n.refuseWaiting(r, classifier.QueueFull)
}

// launch dispatches an attempt that needs no further probe, unless the deadline has passed
// meanwhile: after a pause of the process, its timer may fire after the probe's response.
func (n *Node) launch(r *request, c balancer.Choice, hedged bool) {
	if !n.now.Before(r.deadline) {
		r.service.pool.Release(c.Attempt)
		n.timers.stop(r.timer)
		n.deadlinePassed(r)
		return
	}
	r.preflights = 0
	r.unsuitable = nil
	if hedged && !r.service.hedgeBudget.take() {
		r.service.pool.Release(c.Attempt)
		return
	}
	r.service.pool.MarkSent(n.now, c.Attempt)
	n.dispatch(r, c)
}

// preflightAnswered dispatches the attempt whose probe has ended, or looks for a
// more suitable upstream.
func (n *Node) preflightAnswered(s *service, ev ProbeAnswered) {
	switch {
	case ev.Report != nil:
	case ev.OK:
		s.pool.RecordProbeWithoutLoad()
	default:
		s.pool.ProbeFailed(n.now, ev.Upstream)
	}
	r, ok := n.requests[ev.Request]
	if !ok || r.pending == nil || r.pending.Name != ev.Upstream {
		return
	}
	c := *r.pending
	r.pending = nil
	s.pool.RecordPreflightProbe(c.Attempt, ev.OK || ev.Report != nil)
	if r.relayed {
		s.pool.Release(c.Attempt)
		return
	}
	if (ev.OK || ev.Report != nil) && s.pool.Suitable(n.now, c.Attempt, n.maxSlowdown(r)) {
		n.launch(r, c, r.hedged)
		return
	}
	s.pool.Release(c.Attempt)
	r.unsuitable = append(r.unsuitable, c.Name)
	n.preflightNext(r)
}

// preflightNext picks another upstream; if none is left, the request is queued again.
func (n *Node) preflightNext(r *request) {
	if r.preflights < maxPreflights {
		if next, ok := r.service.pool.Pick(n.now, n.requirements(r)); ok {
			n.preflight(r, next)
			return
		}
	}
	if r.hedged {
		r.preflights = 0
		r.unsuitable = nil
		return
	}
	n.requeue(r)
}

// requeue puts a request back that was taken from the queue. It may go to the upstreams
// again that it found full.
func (n *Node) requeue(r *request) {
	r.preflights = 0
	r.unsuitable = nil
	if !r.service.queue.Requeue(n.now, r.item()) {
		n.refuseRequest(r, classifier.UnknownRank)
		return
	}
	r.queued = true
	n.scheduleRecheck(r.service)
}

// scheduleRecheck schedules a dispatch of the waiting requests, since the state of
// upstreams changes without an event at this entry.
func (n *Node) scheduleRecheck(s *service) {
	if n.Managed == nil || s.recheckScheduled || s.queue.Waiting() == 0 {
		return
	}
	s.recheckScheduled = true
	n.runAt(n.now.Add(recheckInterval), func() {
		s.recheckScheduled = false
		n.dispatchWaiting(s)
	})
}

// missesTarget reports whether a response can no longer meet the latency target.
func (n *Node) missesTarget(r *request) bool {
	return !r.due.IsZero() && n.now.Add(r.service.pool.BaselineLatency(r.rank.Name)).After(r.due)
}

// maxSlowdown returns the slowdown from which an upstream is too slow for a request. One
// that can meet its target waits for a fast upstream. One that can't does so for as long as
// it usually takes: a slow upstream's slot is in use for a multiple of that, and others wait
// for it.
func (n *Node) maxSlowdown(r *request) float64 {
	usual := r.service.pool.BaselineLatency(r.rank.Name)
	if !n.missesTarget(r) || n.now.Before(r.arrivedAt.Add(usual)) {
		return balancer.SlowThreshold
	}
	return n.deadlineSlowdown(r)
}

// deadlineSlowdown returns the slowdown from which an upstream would exceed the deadline of
// a request, at least SlowThreshold.
func (n *Node) deadlineSlowdown(r *request) float64 {
	usual := r.service.pool.BaselineLatency(r.rank.Name)
	if usual <= 0 {
		return math.Inf(1)
	}
	return max(r.deadline.Sub(n.now).Seconds()/usual.Seconds(), balancer.SlowThreshold)
}

// cancelPreflight releases the slot of an attempt whose probe is pending.
func (n *Node) cancelPreflight(r *request) {
	if r.pending == nil {
		return
	}
	r.service.pool.Release(r.pending.Attempt)
	r.pending = nil
	r.unsuitable = nil
	r.preflights = 0
}

// takeProbeToken takes a token from this entry's part of the operator's probe
// budget; it reports false if there is none.
func (s *service) takeProbeToken() bool {
	n := s.node
	rate := n.Managed.ProbeRate * float64(s.pool.Len()) / float64(max(n.entryCount(), minEntryCount)) * managedBudgetFactor
	s.probeTokens = min(s.probeTokens+n.now.Sub(s.probeTokensAt).Seconds()*rate, rate*probeBurstSeconds)
	s.probeTokensAt = n.now
	if s.probeTokens < 1 {
		return false
	}
	s.probeTokens--
	return true
}
