package balancer

import (
	"net/netip"
	"slices"
	"time"
)

// Probe names an upstream to measure.
type Probe struct {
	Name    string
	Address netip.AddrPort
}

// doubt notes an upstream that gets no work, so that only a probe can tell of it.
func (p *Pool) doubt(u *upstream) {
	if !u.doubted && !u.gone {
		u.doubted = true
		p.doubted = append(p.doubted, u)
	}
}

func (p *Pool) trust(u *upstream) {
	if u.doubted {
		u.doubted = false
		p.doubted = slices.DeleteFunc(p.doubted, func(o *upstream) bool { return o == u })
	}
}

// NextProbe returns the upstream on which a probe tells most. Every second
// probe goes to one that gets no work, if there is one; the others go to the
// one of a few whose last report is oldest.
func (p *Pool) NextProbe(now time.Time) (Probe, bool) {
	if len(p.upstreams) == 0 {
		return Probe{}, false
	}
	p.probes++
	list := p.upstreams
	if len(p.doubted) > 0 && p.probes%2 == 1 {
		list = p.doubted
	}
	var best *upstream
	for range candidates {
		u := list[p.random.IntN(len(list))]
		if best == nil || u.heardAt().Before(best.heardAt()) {
			best = u
		}
	}
	best.probedAt = now
	return Probe{Name: best.Name, Address: best.Address}, true
}

// heardAt is when the upstream was last asked or heard.
func (u *upstream) heardAt() time.Time {
	if u.probedAt.After(u.reportedAt) {
		return u.probedAt
	}
	return u.reportedAt
}

// Probed takes the answer of a probe. That an upstream calls itself healthy
// ends only its own drain signal; an ejection ends by a request that succeeds.
func (p *Pool) Probed(now time.Time, name string, ok, draining bool, r *Report) {
	u, known := p.byName[name]
	if !known {
		return
	}
	if draining {
		p.signal(now, u)
		return
	}
	if !ok {
		return
	}
	u.provenAt = now
	if u.signalled && u.probedAt.After(u.signalledAt) {
		p.rejoin(now, u)
	}
	if r != nil {
		p.observe(now, u, *r)
	}
}
