package balancer

import "time"

// coldTime is the time in which an upstream that was away gets to its full share.
const coldTime = 2 * time.Second

// drain is what is known of an upstream's planned stop.
type drain struct {
	// signalled is set once the upstream itself said that it is leaving.
	signalled   bool
	signalledAt time.Time
	// listed is set while the platform's host list names the upstream as leaving.
	listed bool
}

// leaving reports whether an upstream must not get new work.
func (u *upstream) leaving() bool { return u.gone || u.Draining || u.signalled || u.listed }

func (p *Pool) signal(now time.Time, u *upstream) {
	u.signalled = true
	u.signalledAt = now
	p.doubt(u)
	p.note(now, u)
}

// Listed takes over whether the platform's host list names an upstream as
// leaving. Since the list lags, a signal of the upstream itself is dropped only
// if the list named it as leaving before.
func (p *Pool) Listed(now time.Time, name string, leaving bool) {
	u, ok := p.byName[name]
	if !ok || u.listed == leaving {
		return
	}
	u.listed = leaving
	if !leaving {
		p.rejoin(now, u)
	}
	p.note(now, u)
}

// rejoin ends a drain; the upstream may be cold and gets its share step by step.
func (p *Pool) rejoin(now time.Time, u *upstream) {
	u.drain = drain{}
	u.failures = 0
	p.restore(u)
	u.comeBack(now, coldTime)
	p.trust(u)
	p.note(now, u)
}
