package bencher

import (
	"slices"
	"time"

	"github.com/azuretrestle/azuretrestle/internal/reducer"
)

// jobsOf returns the open jobs at an upstream in a fixed order.
func (w *world) jobsOf(u *upstream) []*job {
	var out []*job
	for _, e := range w.entries {
		for id, j := range e.jobs {
			if e.places[id] == u && !j.finished {
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

func (u *upstream) lose() {
	jobs := u.world.jobsOf(u)
	u.lost = true
	u.queue = nil
	for _, j := range jobs {
		if j.running {
			u.running--
		}
		j.fail(u, true)
	}
	for _, e := range u.world.entries {
		delete(e.idle, u.config.Name)
	}
}

func (u *upstream) silence() {
	for _, e := range u.world.entries {
		for _, c := range e.idle[u.config.Name] {
			c.silent = true
		}
	}
	for _, j := range u.world.jobsOf(u) {
		j.conn.silent = true
	}
}

// rollingDrain lets each upstream leave in turn and come back cold.
func rollingDrain(n int) []Fault {
	const gap = 300 * time.Millisecond
	var out []Fault
	for i := range n {
		at := early + time.Duration(i)*gap
		out = append(out, Fault{at, func(w *world) { w.upstreams[i].drain() }})
		out = append(out, Fault{at + stoppedForCold, func(w *world) { w.upstreams[i].restart() }})
	}
	return out
}

func (u *upstream) drain() {
	u.drainedAt = u.world.now
	u.tellHosts(true)
}

func (u *upstream) restart() {
	if u.running > 0 {
		u.world.after(10*time.Millisecond, u.restart)
		return
	}
	u.drainedAt = time.Time{}
	u.coldUntil = u.world.now.Add(coldLength)
	u.tellHosts(false)
}

// tellHosts delivers the host list, which lags.
func (u *upstream) tellHosts(leaving bool) {
	w := u.world
	w.after(hostListLag, func() {
		for _, e := range w.entries {
			e.step(reducer.HostsListed{Stamp: w.stamp(), Hosts: []reducer.Host{{
				Name: u.config.Name, Address: u.config.Address, DataCentre: u.config.DataCentre,
				Role: serviceName, Leaving: leaving,
			}}})
		}
	})
}
