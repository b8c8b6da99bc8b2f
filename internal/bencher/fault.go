package bencher

import (
	"slices"
	"time"

	"github.com/azuretrestle/azuretrestle/internal/reducer"
)

// openJobs returns the unfinished jobs at an upstream in a fixed order.
func (sim *simulation) openJobs(u *upstream) []*job {
	var out []*job
	for _, e := range sim.entries {
		for id, j := range e.jobs {
			if e.upstreamOf[id] == u && !j.finished {
				out = append(out, j)
			}
		}
	}
	slices.SortFunc(out, func(a, b *job) int {
		if a.key.Request != b.key.Request {
			return int(a.key.Request) - int(b.key.Request)
		}
		return int(a.key.Number) - int(b.key.Number)
	})
	return out
}

// crash fails the open jobs of the upstream and drops its queue and idle connections.
func (u *upstream) crash() {
	jobs := u.sim.openJobs(u)
	u.lost = true
	u.queue = nil
	for _, j := range jobs {
		if j.running {
			u.running--
		}
		j.fail(u, true)
	}
	for _, e := range u.sim.entries {
		delete(e.idle, u.config.Name)
	}
}

// silenceConnections makes all existing connections to the upstream silent.
func (u *upstream) silenceConnections() {
	for _, e := range u.sim.entries {
		for _, c := range e.idle[u.config.Name] {
			c.silent = true
		}
	}
	for _, j := range u.sim.openJobs(u) {
		j.conn.silent = true
	}
}

// rollingDrain drains each upstream in turn and restarts it with a slow start.
func rollingDrain(n int) []Fault {
	const gap = 300 * time.Millisecond
	var out []Fault
	for i := range n {
		at := faultStart + time.Duration(i)*gap
		out = append(out, Fault{at, func(sim *simulation) { sim.upstreams[i].drain() }})
		out = append(out, Fault{at + restartDelay, func(sim *simulation) { sim.upstreams[i].restart() }})
	}
	return out
}

func (u *upstream) drain() {
	u.drainedAt = u.sim.now
	u.publishHosts(true)
}

// restart ends the drain with a slow start, once all running requests have ended.
func (u *upstream) restart() {
	if u.running > 0 {
		u.sim.after(10*time.Millisecond, u.restart)
		return
	}
	u.drainedAt = time.Time{}
	u.slowStartUntil = u.sim.now.Add(slowStartDuration)
	u.publishHosts(false)
}

// publishHosts delivers the host list to all entries after hostListLag.
func (u *upstream) publishHosts(leaving bool) {
	sim := u.sim
	sim.after(hostListLag, func() {
		for _, e := range sim.entries {
			e.step(reducer.HostsListed{Stamp: sim.stamp(), Hosts: []reducer.Host{{
				Name: u.config.Name, Address: u.config.Address, DataCentre: u.config.DataCentre,
				Role: serviceName, Leaving: leaving,
			}}})
		}
	})
}
