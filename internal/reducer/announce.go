package reducer

import (
	"time"

	"github.com/azuretrestle/azuretrestle/pkg/classifier"
)

// replacementDelay is the time after which a caller may retry a request for which no
// upstream is left. A new upstream is known at the latest after a read of the store.
const replacementDelay = pollInterval

// upstreamAnnounced applies what an upstream stated about itself.
func (n *Node) upstreamAnnounced(ev UpstreamAnnounced) {
	s, ok := n.services[ev.Service]
	if !ok {
		return
	}
	s.pool.Announce(n.now, ev.Upstream, ev.Born, ev.Announcement)
	n.auditUpstreams(s)
	n.dispatchWaiting(s)
}

// refuseWithoutUpstreams refuses the waiting requests of a service whose upstreams are
// all leaving. A random delay of up to the same length is added to spread the retries.
func (n *Node) refuseWithoutUpstreams(s *service) {
	for {
		it, ok := s.queue.Next()
		if !ok {
			return
		}
		s.queue.Remove(it.ID)
		r := n.requests[RequestID(it.ID)]
		r.queued = false
		r.retryAt = n.now.Add(replacementDelay + time.Duration(n.random.Int64N(int64(replacementDelay))))
		n.refuseRequest(r, classifier.NoUpstream)
	}
}
