package driver

import (
	"net/http"
	"time"

	"github.com/azuretrestle/azuretrestle/internal/balancer"
	"github.com/azuretrestle/azuretrestle/internal/reducer"
)

// observer returns a function that reports to the node what an upstream announces in the
// head of a response. It is called for every response, since one that is not relayed, or
// whose body is cut off, states as much about the upstream as any other.
func (d *Driver) observer(service, upstream string, born int64) func(int, http.Header) {
	return func(status int, h http.Header) {
		head := d.codec.ParseResponse(status, h, time.Now())
		if head.Upstream == "" || head.Upstream == upstream {
			d.announce(service, upstream, born, head.Announcement)
		}
	}
}

// announce reports an announcement of an upstream to the node; mu must not be held.
func (d *Driver) announce(service, upstream string, born int64, a balancer.Announcement) {
	if a == (balancer.Announcement{}) {
		return
	}
	if a.Leaving {
		d.metrics.leavingResponses.Inc()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ctx.Err() != nil {
		return
	}
	d.step(reducer.UpstreamAnnounced{Stamp: stamp(), Service: service, Upstream: upstream, Born: born, Announcement: a})
}
