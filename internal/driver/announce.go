package driver

import (
	"net/http"
	"time"

	"github.com/azuretrestle/azuretrestle/internal/reducer"
)

// observer returns a function that reports to the node what an upstream announces in the
// head of a response to a request that is sent now. It is called for every response,
// since one that is not relayed, or whose body is cut off, states as much about the
// upstream as any other.
func (d *Driver) observer(service, upstream string, born int64) func(int, http.Header, bool) {
	sentAt := time.Now()
	return func(status int, h http.Header, matched bool) {
		head := d.codec.ParseResponse(status, h, time.Now())
		if head.Upstream != "" && head.Upstream != upstream {
			return
		}
		ev := reducer.UpstreamAnnounced{Service: service, Upstream: upstream, Born: born, Announcement: head.Announcement}
		if matched && (head.Signed || head.Upstream != "") {
			ev.SentAt = sentAt
		}
		d.announce(ev)
	}
}

// announce reports an announcement of an upstream to the node; mu must not be held. A
// response that announces nothing matters only where an earlier one named a rate.
func (d *Driver) announce(ev reducer.UpstreamAnnounced) {
	if ev.Leaving {
		d.metrics.leavingResponses.Inc()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ctx.Err() != nil || ev.IsZero() && !d.node.RateLimited(ev.Service, ev.Upstream) {
		return
	}
	ev.Stamp = stamp()
	d.step(ev)
}
