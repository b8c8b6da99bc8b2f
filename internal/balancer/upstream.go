package balancer

import (
	"math"
	"time"

	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

const (
	// otherRequestsWeight is the weight of a new report in the estimate of other entries' requests.
	otherRequestsWeight = 0.25
	// reportDecay is the time in which the weight of the last report decays to 1/e.
	reportDecay = 500 * time.Millisecond
	// urgentSlack is the number of requests beyond the limit that the most urgent rank may
	// have in flight; it keeps slots busy during the round trip between a response and the
	// next request.
	urgentSlack = 1
	// roundingSlack keeps a small decayed estimate of other entries' requests from
	// costing a whole slot.
	roundingSlack = 0.1
	// shedFactor multiplies the ceiling of an upstream that shed a request.
	shedFactor = 0.8
	// shedRecovery is added to the ceiling with each response.
	shedRecovery = 0.02
	// windowGrowth is added to the window with a response if the window was used up;
	// otherwise windowDecay is subtracted.
	windowGrowth = 0.02
	windowDecay  = 0.02
	// shedPause is how long an upstream gets no new requests after it shed one.
	shedPause = 2 * time.Millisecond
)

// upstream is the state of an upstream as seen by one entry.
type upstream struct {
	patcher.Upstream
	inFlight int
	// removed is set once the configuration no longer contains the upstream; attempts may
	// still be in flight.
	removed bool
	// oldest and newest are the ends of the list of open attempts in the order of their start.
	oldest, newest *Attempt
	// relativeLatency is the moving average of the latency as a multiple of the mean over
	// all upstreams.
	relativeLatency   float64
	relativeLatencyAt time.Time
	// latency is the moving average of the latency over all ranks.
	latency time.Duration
	// recordedState is the last state that was recorded as a change.
	recordedState State
	health
	drain
	silence
	rateLimit
	// excluded is set while the upstream is in the pool's list of excluded ones.
	excluded bool
	probedAt time.Time
	// usedAt is when the upstream was last picked for an attempt.
	usedAt time.Time
	// inWarmSet is set while the upstream is in the pool's warm set.
	inWarmSet bool

	// otherRequests estimates the requests of other entries at the upstream.
	otherRequests float64
	reportedAt    time.Time
	// slowdown is the factor by which requests took longer than usual at slowdownAt; 0 if
	// it was never reported.
	slowdown   float64
	slowdownAt time.Time
	// running is the number of requests, in flight and queued, in the last report.
	running int
	// probeFailedAt is when the upstream last failed to answer a probe.
	probeFailedAt time.Time
	// ceiling bounds the requests in flight of this entry; it is lowered when the
	// upstream sheds a request and raised with each response.
	ceiling float64
	// pausedUntil is when the upstream may get new requests again after it refused one.
	pausedUntil time.Time
	// window bounds the requests in flight of less urgent ranks to slightly more than
	// were recently in flight.
	window float64
	// fairShare is the limit that less urgent ranks have even if other entries use all slots.
	fairShare int
}

func newUpstream(c patcher.Upstream) *upstream {
	return &upstream{Upstream: c, ceiling: float64(c.Slots), window: 1, relativeLatency: 1}
}

// observe applies a report; the requests of this entry are subtracted, so that only
// those of other entries remain.
func (u *upstream) observe(now time.Time, r Report) {
	others := max(float64(r.InFlight+r.Queued-u.inFlight), 0)
	if u.reportedAt.IsZero() {
		u.otherRequests = others
	} else {
		u.otherRequests += (others - u.otherRequests) * otherRequestsWeight
	}
	u.reportedAt = now
	u.running = r.InFlight + r.Queued
	if r.Pace > 0 {
		u.slowdown = r.Pace
		u.slowdownAt = now
	}
}

// otherRequestsNow returns the estimate of other entries' requests, which decays with
// the age of the last report.
func (u *upstream) otherRequestsNow(now time.Time) float64 {
	if u.reportedAt.IsZero() {
		return 0
	}
	return u.otherRequests * math.Exp(-now.Sub(u.reportedAt).Seconds()/reportDecay.Seconds())
}

// limit returns the maximum number of requests in flight of this entry. Where
// upstreams report their slowdown, a probe of the load precedes each attempt, so that
// the limit only has to exclude what the upstream can't accept in any case.
func (p *Pool) limit(now time.Time, u *upstream, urgent bool) int {
	if !p.ReportsSlowdown() {
		return u.limit(now, urgent)
	}
	if now.Before(u.pausedUntil) {
		return 0
	}
	capacity := min(float64(p.usableSlots(u))-u.otherRequestsNow(now)+roundingSlack, u.ceiling)
	return max(int(capacity*(1-u.slowStartLeft(now))), 1)
}

// limit returns the maximum number of requests in flight of this entry: the slots that
// other entries leave free, but at least one for the most urgent rank and the fair
// share of this entry for the other ranks.
func (u *upstream) limit(now time.Time, urgent bool) int {
	if now.Before(u.pausedUntil) {
		return 0
	}
	capacity := float64(u.Slots) - u.otherRequestsNow(now) + roundingSlack
	limit := int(min(capacity, u.ceiling) * (1 - u.slowStartLeft(now)))
	if !urgent {
		return max(min(limit, int(u.window)), int(float64(u.fairShare)*(1-u.slowStartLeft(now))))
	}
	limit = max(limit, 1)
	if u.ceiling >= float64(limit+urgentSlack) {
		limit += urgentSlack
	}
	return limit
}

func (u *upstream) recordShed(now time.Time) {
	u.ceiling = max(min(u.ceiling, float64(u.inFlight+1))*shedFactor, 1)
	u.pause(now.Add(shedPause))
}

// raiseLimits raises the ceiling, and the window if it was used up. Without the window
// all entries would fill the free slots of an upstream at once when a burst begins,
// before any report shows them each other's requests.
func (u *upstream) raiseLimits() {
	if u.inFlight+1 >= int(u.window) {
		u.window = min(u.window+windowGrowth, float64(u.Slots))
	} else {
		u.window = max(u.window-windowDecay, 1)
	}
	u.ceiling = min(u.ceiling+shedRecovery, float64(u.Slots))
}
