package balancer

import (
	"net/netip"
	"slices"
	"time"
)

// Probe names an upstream to probe.
type Probe struct {
	Name    string
	Address netip.AddrPort
}

// exclude records that an upstream gets no requests, so that only probes can show its state.
func (p *Pool) exclude(u *upstream) {
	if !u.excluded && !u.removed {
		u.excluded = true
		p.excluded = append(p.excluded, u)
	}
}

func (p *Pool) include(u *upstream) {
	if u.excluded {
		u.excluded = false
		p.excluded = slices.DeleteFunc(p.excluded, func(o *upstream) bool { return o == u })
	}
}

// NextProbe returns the upstream to probe next. Every second probe goes to an
// upstream that gets no requests, if there is one; the others go to the one of a
// few random upstreams whose last report is oldest.
func (p *Pool) NextProbe(now time.Time) (Probe, bool) {
	if len(p.upstreams) == 0 {
		return Probe{}, false
	}
	p.probes++
	list := p.upstreams
	if len(p.excluded) > 0 && p.probes%2 == 1 {
		list = p.excluded
	}
	var best *upstream
	for range candidateCount {
		u := list[p.random.IntN(len(list))]
		if best == nil || u.lastContact().Before(best.lastContact()) {
			best = u
		}
	}
	best.probedAt = now
	return Probe{Name: best.Name, Address: best.Address}, true
}

// lastContact returns when the upstream was last probed or last reported its load.
func (u *upstream) lastContact() time.Time {
	if u.probedAt.After(u.reportedAt) {
		return u.probedAt
	}
	return u.reportedAt
}

// ProbeAnswered handles the response to a probe. A healthy response ends only a drain that the
// upstream itself signalled; an ejection ends with a request that succeeds.
func (p *Pool) ProbeAnswered(now time.Time, name string, ok, draining bool, r *Report) {
	u, known := p.byName[name]
	if !known {
		return
	}
	if draining {
		p.recordDrainSignal(now, u)
		return
	}
	if !ok {
		return
	}
	u.probedHealthyAt = now
	if u.signalled && u.probedAt.After(u.signalledAt) {
		p.rejoin(now, u)
	}
	if r != nil {
		p.observe(now, u, *r)
	}
}
