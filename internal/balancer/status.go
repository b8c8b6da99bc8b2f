package balancer

import "time"

// State is the state of an upstream as seen by one entry.
type State string

// The states of an upstream.
const (
	Serving   State = "Serving"
	Returning State = "Returning"
	Failing   State = "Failing"
	Ejected   State = "Ejected"
	Leaving   State = "Leaving"
)

// Changes of an upstream that do not affect its State.
const (
	RateLimited   State = "RateLimited"
	RateUnlimited State = "RateUnlimited"
)

// Status describes an upstream for the status page.
type Status struct {
	Name   string
	State  State
	Reason string
	// InFlight is the number of this entry's requests in flight.
	InFlight int
	// Latency is the moving average of the latency over all ranks, 0 if not known.
	Latency time.Duration
	// Rate is the rate of requests that the upstream takes from all entries, nil if it names none.
	Rate *Rate `json:",omitempty"`
}

// Change is a change of an upstream's state.
type Change struct {
	Name   string
	State  State
	Reason string
}

// auditedFailures is the number of consecutive failures from which an ejection counts as
// a change of state; shorter ejections end within a fraction of a second.
const auditedFailures = 4

// Status returns the status of all upstreams in the order of the configuration.
func (p *Pool) Status(now time.Time) []Status {
	out := make([]Status, 0, len(p.upstreams))
	for _, u := range p.upstreams {
		state, reason := u.state(now)
		s := Status{Name: u.Name, State: state, Reason: reason, InFlight: u.inFlight, Latency: u.latency}
		if u.limited {
			rate := u.rate
			s.Rate = &rate
		}
		out = append(out, s)
	}
	return out
}

func (u *upstream) state(now time.Time) (State, string) {
	switch {
	case u.Draining:
		return Leaving, "configuration"
	case u.signalled:
		return Leaving, "own signal"
	case u.listed:
		return Leaving, "host list"
	case u.ejected:
		return Ejected, "failures in a row"
	case u.failures > 0:
		return Failing, "failed last"
	case u.slowStartLeft(now) > 0:
		return Returning, "was away"
	default:
		return Serving, ""
	}
}

// recordChange records the state of an upstream as a change if it differs from the
// last recorded one.
func (p *Pool) recordChange(now time.Time, u *upstream) {
	state, reason := u.state(now)
	switch state {
	case Leaving:
	case Ejected:
		if u.failures < auditedFailures {
			return
		}
	default:
		state, reason = Serving, ""
	}
	if u.recordedState == state || u.recordedState == "" && state == Serving {
		return
	}
	u.recordedState = state
	p.changes = append(p.changes, Change{Name: u.Name, State: state, Reason: reason})
}

// Changes returns the changes of state since the last call.
func (p *Pool) Changes() []Change {
	out := p.changes
	p.changes = nil
	return out
}
