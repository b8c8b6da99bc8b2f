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
	// RetryAt is the time before which the upstream wants no requests from this entry;
	// zero if it names none.
	RetryAt time.Time
	// Rate is the rate of requests that the upstream takes, nil if it names none.
	Rate *Rate
}

// IsZero reports whether the upstream states nothing.
func (a Announcement) IsZero() bool { return a == Announcement{} }

// incarnation identifies one start of an upstream.
type incarnation struct {
	name string
	born int64
}

// departures holds, by incarnation, until when its announcement that it leaves is kept.
type departures map[incarnation]time.Time

// Announce applies what one start of an upstream stated about itself. It may be called
// for an upstream that is not in the configuration. A missing rate changes nothing, since
// not every response needs to name it; see RateOmitted.
func (p *Pool) Announce(now time.Time, name string, born int64, a Announcement) {
	if a.Leaving {
		p.departures.add(now, incarnation{name, born})
	}
	u, ok := p.byName[name]
	if !ok || u.Born != born {
		return
	}
	if a.Leaving {
		p.recordDrainSignal(now, u)
	}
	u.pause(a.RetryAt)
	p.recordRate(now, u, a.Rate)
}

// pause keeps new requests from the upstream until the given time, or until a later time
// that was set before.
func (u *upstream) pause(until time.Time) {
	if until.After(u.pausedUntil) {
		u.pausedUntil = until
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

// mayStartAt returns when the upstream takes the next request of this entry.
func (u *upstream) mayStartAt() time.Time {
	if u.limited && u.opensAt.After(u.pausedUntil) {
		return u.opensAt
	}
	return u.pausedUntil
}

// OpensAt returns the earliest time from which an upstream may get requests; it reports
// false if the pool has upstreams but all of them are leaving. Load, ejections and slow
// starts are not considered, since they may end at any time.
func (p *Pool) OpensAt(now time.Time) (time.Time, bool) {
	var opensAt time.Time
	for _, u := range p.upstreams {
		at := u.mayStartAt()
		switch {
		case u.leaving():
		case !at.After(now):
			return now, true
		case opensAt.IsZero() || at.Before(opensAt):
			opensAt = at
		}
	}
	if len(p.upstreams) == 0 {
		return now, true
	}
	return opensAt, !opensAt.IsZero()
}
