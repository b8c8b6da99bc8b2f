package balancer

import "time"

// leavingRetention is how long an announcement is kept after it was last received. A
// registration can expire during an outage of the registry and return while the upstream
// still serves what it has begun.
const leavingRetention = 10 * time.Minute

// Announcement is what an upstream states about itself in a response.
type Announcement struct {
	// Leaving is set if the upstream is about to stop and wants no new requests.
	Leaving bool
}

// incarnation identifies one start of an upstream.
type incarnation struct {
	name string
	born int64
}

// departures holds, by incarnation, until when its announcement that it leaves is kept.
type departures map[incarnation]time.Time

// Announce applies what one start of an upstream stated about itself. It may be called
// for an upstream that is not in the configuration.
func (p *Pool) Announce(now time.Time, name string, born int64, a Announcement) {
	if !a.Leaving {
		return
	}
	p.departures.add(now, incarnation{name, born})
	if u, ok := p.byName[name]; ok && u.Born == born {
		p.recordDrainSignal(now, u)
	}
}

// add records an announcement. Without a known start, a later upstream of the same name
// could not be told apart.
func (d departures) add(now time.Time, i incarnation) {
	if i.born == 0 {
		return
	}
	for other, expiresAt := range d {
		if now.After(expiresAt) {
			delete(d, other)
		}
	}
	d[i] = now.Add(leavingRetention)
}

func (d departures) contains(now time.Time, i incarnation) bool {
	expiresAt, ok := d[i]
	return ok && !now.After(expiresAt)
}

// AllLeaving reports whether the pool has upstreams but all of them are leaving.
func (p *Pool) AllLeaving() bool {
	for _, u := range p.upstreams {
		if !u.leaving() {
			return false
		}
	}
	return len(p.upstreams) > 0
}
