package balancer

import (
	"math"
	"time"

	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

const (
	// othersWeight is the weight of a new report in the estimate of others' requests.
	othersWeight = 0.25
	// reportLife is the time in which the weight of the last report falls to 1/e.
	reportLife = 500 * time.Millisecond
	// urgentSlack is the room beyond the slots that the most urgent rank may use; it
	// keeps slots busy during the round trip between an answer and the next request.
	urgentSlack = 1
	// roundingSlack keeps a faded trace of others' requests from costing a whole slot.
	roundingSlack = 0.1
	// shedFactor lowers the ceiling of an upstream that shed a request.
	shedFactor = 0.8
	// shedRecovery raises the ceiling per answer.
	shedRecovery = 0.02
	// windowGrowth and windowDecay change the window with each answer.
	windowGrowth = 0.02
	windowDecay  = 0.02
	// shedPause keeps new work away after a request was shed.
	shedPause = 2 * time.Millisecond
)

// upstream is what one entry knows of an upstream.
type upstream struct {
	patcher.Upstream
	inFlight int
	// gone is set once the configuration no longer holds the upstream; attempts may still be open.
	gone bool
	// oldest and newest are the ends of the list of open attempts in the order of their start.
	oldest, newest *Attempt
	// slowness is the latency as a multiple of the mean over all upstreams.
	slowness  float64
	learnedAt time.Time
	// latency is the smoothed latency over all ranks.
	latency time.Duration
	// noted is the last state that was given out as a change.
	noted State
	health
	drain
	silence
	// doubted is set while the upstream is in the pool's list of doubted ones.
	doubted  bool
	probedAt time.Time
	// usedAt is when the upstream last got an attempt.
	usedAt time.Time
	// listedWarm is set while the upstream is in the pool's list of those in use.
	listedWarm bool

	// others estimates the requests of other entries at the upstream.
	others     float64
	reportedAt time.Time
	// pace is how long work took at pacedAt as a multiple of the usual; 0 if it was never told.
	pace    float64
	pacedAt time.Time
	// running is the number of requests that the last report showed.
	running int
	// probeFailedAt is when the upstream last failed to answer a probe.
	probeFailedAt time.Time
	// ceiling bounds the requests in flight of this entry; shedding lowers it.
	ceiling     float64
	pausedUntil time.Time
	// window bounds the requests of less urgent ranks to a little more than what was in use lately.
	window float64
	// least is the limit that less urgent ranks keep even if others use all slots.
	least int
}

func newUpstream(c patcher.Upstream) *upstream {
	return &upstream{Upstream: c, ceiling: float64(c.Slots), window: 1, slowness: 1}
}

// observe takes a report; requests of this entry are taken off, so that only those of others remain.
func (u *upstream) observe(now time.Time, r Report) {
	others := max(float64(r.InFlight+r.Queued-u.inFlight), 0)
	if u.reportedAt.IsZero() {
		u.others = others
	} else {
		u.others += (others - u.others) * othersWeight
	}
	u.reportedAt = now
	u.running = r.InFlight + r.Queued
	if r.Pace > 0 {
		u.pace = r.Pace
		u.pacedAt = now
	}
}

// othersNow is the estimate of others' requests; it fades with the age of the last report.
func (u *upstream) othersNow(now time.Time) float64 {
	if u.reportedAt.IsZero() {
		return 0
	}
	return u.others * math.Exp(-now.Sub(u.reportedAt).Seconds()/reportLife.Seconds())
}

// limit bounds the requests in flight of this entry. Where upstreams tell their
// pace, each attempt is preceded by a look at their load, so that the limit only
// has to keep an entry from what the upstream can't take in any case.
func (p *Pool) limit(now time.Time, u *upstream, urgent bool) int {
	if !p.TellsPace() {
		return u.limit(now, urgent)
	}
	if now.Before(u.pausedUntil) {
		return 0
	}
	room := min(float64(p.usableSlots(u))-u.othersNow(now)+roundingSlack, u.ceiling)
	return max(int(room*(1-u.away(now))), 1)
}

// limit bounds the requests in flight of this entry by the slots that others leave;
// at least one for the most urgent rank and the share of this entry for the others.
func (u *upstream) limit(now time.Time, urgent bool) int {
	if now.Before(u.pausedUntil) {
		return 0
	}
	room := float64(u.Slots) - u.othersNow(now) + roundingSlack
	limit := int(min(room, u.ceiling) * (1 - u.away(now)))
	if !urgent {
		return max(min(limit, int(u.window)), int(float64(u.least)*(1-u.away(now))))
	}
	limit = max(limit, 1)
	if u.ceiling >= float64(limit+urgentSlack) {
		limit += urgentSlack
	}
	return limit
}

func (u *upstream) shed(now time.Time) {
	u.ceiling = max(min(u.ceiling, float64(u.inFlight+1))*shedFactor, 1)
	u.pausedUntil = now.Add(shedPause)
}

// answered raises the ceiling, and the window if it was in use. Without the window
// all entries would fill the free slots of an upstream at once when a flood begins,
// before any report tells them of each other.
func (u *upstream) answered() {
	if u.inFlight+1 >= int(u.window) {
		u.window = min(u.window+windowGrowth, float64(u.Slots))
	} else {
		u.window = max(u.window-windowDecay, 1)
	}
	u.ceiling = min(u.ceiling+shedRecovery, float64(u.Slots))
}
