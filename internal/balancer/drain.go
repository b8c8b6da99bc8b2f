package balancer

import "time"

// joinSlowStart is the duration of the slow start of an upstream that joins or ends a drain.
const joinSlowStart = 2 * time.Second

// drain records how it became known that an upstream drains or leaves.
type drain struct {
	// signalled is set once the upstream itself has signalled that it is leaving.
	signalled   bool
	signalledAt time.Time
	// listed is set while the platform's host list names the upstream as leaving.
	listed bool
}

// leaving reports whether an upstream must not get new requests because it drains or was removed.
func (u *upstream) leaving() bool { return u.removed || u.Draining || u.signalled || u.listed }

func (p *Pool) recordDrainSignal(now time.Time, u *upstream) {
	u.signalled = true
	u.signalledAt = now
	p.exclude(u)
	p.recordChange(now, u)
}

// SetListedLeaving records whether the platform's host list shows an upstream as leaving.
// Since the list lags behind, a signal of the upstream itself is cleared only if
// the list showed it as leaving before.
func (p *Pool) SetListedLeaving(now time.Time, name string, leaving bool) {
	u, ok := p.byName[name]
	if !ok || u.listed == leaving {
		return
	}
	u.listed = leaving
	if !leaving {
		p.rejoin(now, u)
	}
	p.recordChange(now, u)
}

// rejoin ends a drain; the upstream may be cold and gets a slow start.
func (p *Pool) rejoin(now time.Time, u *upstream) {
	u.drain = drain{}
	u.failures = 0
	p.clearEjection(u)
	u.beginSlowStart(now, joinSlowStart)
	p.include(u)
	p.recordChange(now, u)
}
